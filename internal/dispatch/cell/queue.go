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

// queue is a heap of waiters: the most important first, and the earliest
// deadline first among equals.
type queue []*waiter

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool { return q[i].before(q[j]) }

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].at, q[j].at = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.at = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.at = -1
	return w
}

func (q *queue) remove(w *waiter) {
	if w.at >= 0 {
		heap.Remove(q, w.at)
	}
}

// last returns the waiter that would be served last, or nil.
func (q queue) last() *waiter {
	var l *waiter
	for _, w := range q {
		if l == nil || l.before(w) {
			l = w
		}
	}
	return l
}

func (w *waiter) before(o *waiter) bool {
	if w.wanted.Importance != o.wanted.Importance {
		return w.wanted.Importance > o.wanted.Importance
	}
	return w.wanted.Deadline.Before(o.wanted.Deadline)
}

// refuse ends the wait with err.
func (w *waiter) refuse(err error) {
	w.granted <- grant{err: err}
}

// enqueue puts x into the queue, or returns the refusal where it could not be
// answered in time. A full queue gives up the waiter that would be served last.
// The lock is held.
func (c *Cell) enqueue(now time.Time, x *waiter) error {
	x.giveUp = x.wanted.Deadline.Add(-c.service)
	if !now.Before(x.giveUp) || c.expectedWait(x) > x.giveUp.Sub(now) {
		return snipefront.Refused(snipefront.ReasonOverload, retrySoon, "the queue is too long for the deadline")
	}
	if c.queue.Len() >= c.MaxQueue {
		l := c.queue.last()
		if l == nil || !x.before(l) {
			return snipefront.Refused(snipefront.ReasonOverload, retrySoon, "the queue is full")
		}
		c.queue.remove(l)
		l.refuse(snipefront.Refused(snipefront.ReasonOverload, retrySoon, "the queue is full of more important requests"))
	}
	heap.Push(&c.queue, x)
	return nil
}

// expectedWait is the time until the requests before x have been served.
func (c *Cell) expectedWait(x *waiter) time.Duration {
	slots := 0
	for _, s := range c.order {
		slots += s.limiter.Limit()
	}
	if slots == 0 {
		return 0
	}
	ahead := 0
	for _, w := range c.queue {
		if w.before(x) {
			ahead++
		}
	}
	return c.service * time.Duration(ahead+1) / time.Duration(slots)
}

// serve gives free slots to the waiters. The lock is held.
func (c *Cell) serve(now time.Time) {
	if !c.open || c.rules.Out {
		return
	}
	for c.queue.Len() > 0 {
		w := c.queue[0]
		s := c.pick(now, w.wanted.Avoid)
		if s == nil {
			return
		}
		heap.Pop(&c.queue)
		w.granted <- grant{slot: c.take(now, s, w.wanted.Deadline)}
	}
}

// refuseAll ends every wait with err. The lock is held.
func (c *Cell) refuseAll(err error) {
	for c.queue.Len() > 0 {
		heap.Pop(&c.queue).(*waiter).refuse(err)
	}
}
