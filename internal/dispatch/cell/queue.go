package cell

import (
	"container/heap"
	"time"

	"github.com/snipefront/snipefront"
)

// grant ends the wait of a request: exactly one of the fields is set.
type grant struct {
	slot *Slot
	err  error
}

// waiter is a request in the queue.
type waiter struct {
	wanted Wanted
	// granted has room for the one grant.
	granted chan grant
	// giveUp is the instant after which an answer in time is unlikely.
	giveUp time.Time
	// at is the place in the heap, or -1.
	at int
}

// queue holds the waiters, a heap for each importance.
type queue [snipefront.Critical + 1]waiters

// waiters is a heap with the earliest deadline first.
type waiters []*waiter

// Len implements heap.Interface.
func (q waiters) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waiters) Less(i, j int) bool {
	return q[i].wanted.Deadline.Before(q[j].wanted.Deadline)
}

// Swap implements heap.Interface.
func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].at, q[j].at = i, j
}

// Push implements heap.Interface.
func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.at = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waiters) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.at = -1
	return w
}

// len returns the number of waiters.
func (q *queue) len() int {
	n := 0
	for i := range q {
		n += len(q[i])
	}
	return n
}

// ahead returns the number of waiters that may be served before a new one of
// the importance i.
func (q *queue) ahead(i snipefront.Importance) int {
	n := 0
	for _, l := range q[i:] {
		n += len(l)
	}
	return n
}

func (q *queue) push(w *waiter) {
	heap.Push(&q[w.wanted.Importance], w)
}

// pop takes out the first waiter, or returns nil.
func (q *queue) pop() *waiter {
	for i := len(q) - 1; i >= 0; i-- {
		if len(q[i]) > 0 {
			return heap.Pop(&q[i]).(*waiter)
		}
	}
	return nil
}

// popBelow takes out a waiter of the lowest importance that is less than i, or
// returns nil. It is one of those with the latest deadlines.
func (q *queue) popBelow(i snipefront.Importance) *waiter {
	for j := range q[:i] {
		if n := len(q[j]); n > 0 {
			return heap.Remove(&q[j], n-1).(*waiter)
		}
	}
	return nil
}

func (q *queue) remove(w *waiter) {
	if w.at >= 0 {
		heap.Remove(&q[w.wanted.Importance], w.at)
	}
}

// refuse ends the wait with err.
func (w *waiter) refuse(err error) {
	w.granted <- grant{err: err}
}

// enqueue puts x into the queue, or returns the refusal where it would wait too
// long. A full queue gives up a less important waiter. The lock is held.
func (c *Cell) enqueue(now time.Time, x *waiter) error {
	x.giveUp = x.wanted.Deadline.Add(-answerMargin * c.service)
	if c.expectedWait(now, x.wanted.Importance) > x.giveUp.Sub(now)/waitShare {
		return c.overload(now, "the queue is too long for the deadline")
	}
	if c.queue.len() >= c.MaxQueue {
		l := c.queue.popBelow(x.wanted.Importance)
		if l == nil {
			return c.overload(now, "the queue is full")
		}
		l.refuse(c.overload(now, "the queue is full of more important requests"))
	}
	c.queue.push(x)
	return nil
}

// expectedWait is the time until a new waiter of the importance i is served.
func (c *Cell) expectedWait(now time.Time, i snipefront.Importance) time.Duration {
	slots := 0
	for _, s := range c.order {
		if s.usable(now) && !s.limiter.Suspended(now) {
			slots += s.limiter.Limit()
		}
	}
	return c.service * time.Duration(c.queue.ahead(i)+1) / time.Duration(max(1, slots))
}

// overload returns a refusal that asks the caller to stay away until the queue
// has surely emptied.
func (c *Cell) overload(now time.Time, detail string) *snipefront.Error {
	wait := backlogFactor * c.expectedWait(now, snipefront.Background)
	return snipefront.Refused(snipefront.ReasonOverload, max(retrySoon, wait), detail)
}

// serve gives free slots to the waiters. One that avoids the only backend server
// with a free slot lets the others pass. The lock is held.
func (c *Cell) serve(now time.Time) {
	if !c.open || c.rules.Out || c.queue.len() == 0 {
		return
	}
	if !c.accepts(now, "") {
		c.refuseAll(noBackendServer())
		return
	}
	var passed []*waiter
	for w := c.queue.pop(); w != nil; w = c.queue.pop() {
		if s := c.pick(now, w.wanted.Avoid); s != nil {
			w.granted <- grant{slot: c.take(now, s, w.wanted.Deadline)}
			continue
		}
		passed = append(passed, w)
		if w.wanted.Avoid == "" {
			break
		}
	}
	for _, w := range passed {
		c.queue.push(w)
	}
}

// refuseAll ends every wait with err. The lock is held.
func (c *Cell) refuseAll(err error) {
	for w := c.queue.pop(); w != nil; w = c.queue.pop() {
		w.refuse(err)
	}
}

const (
	// answerMargin is the multiple of the mean service time that must be left
	// when a waiter gets its slot.
	answerMargin = 3
	// waitShare is the inverse share of the time left that may go in the queue.
	waitShare = 8
	// backlogFactor is the multiple of the expected wait after which a refused
	// caller may ask again.
	backlogFactor = 2
)
