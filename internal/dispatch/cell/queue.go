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
	request SlotRequest
	// granted has a buffer for the one grant, so that sending it never blocks.
	granted chan grant
	// expires is the time from which too little time is left until the deadline for an
	// answer.
	expires time.Time
	// heapIndex is the index in the heap, or -1 if it isn't queued.
	heapIndex int
}

// queue holds the waiters in one heap per importance.
type queue [snipefront.Critical + 1]waiters

// waiters is a heap with the earliest deadline first.
type waiters []*waiter

// Len implements heap.Interface.
func (q waiters) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waiters) Less(i, j int) bool {
	return q[i].request.Deadline.Before(q[j].request.Deadline)
}

// Swap implements heap.Interface.
func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waiters) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.heapIndex = -1
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

// ahead returns the number of waiters of importance i or higher. They may get a slot
// before a new waiter of importance i.
func (q *queue) ahead(i snipefront.Importance) int {
	n := 0
	for _, l := range q[i:] {
		n += len(l)
	}
	return n
}

func (q *queue) push(w *waiter) {
	heap.Push(&q[w.request.Importance], w)
}

// pop removes and returns the first waiter, or returns nil.
func (q *queue) pop() *waiter {
	for i := len(q) - 1; i >= 0; i-- {
		if len(q[i]) > 0 {
			return heap.Pop(&q[i]).(*waiter)
		}
	}
	return nil
}

// popBelow removes and returns a waiter of the lowest importance below i, or returns
// nil. It takes the last waiter of the heap, which has a late deadline but not always
// the latest.
func (q *queue) popBelow(i snipefront.Importance) *waiter {
	for j := range q[:i] {
		if n := len(q[j]); n > 0 {
			return heap.Remove(&q[j], n-1).(*waiter)
		}
	}
	return nil
}

func (q *queue) remove(w *waiter) {
	if w.heapIndex >= 0 {
		heap.Remove(&q[w.request.Importance], w.heapIndex)
	}
}

// refuse ends the wait with err.
func (w *waiter) refuse(err error) {
	w.granted <- grant{err: err}
}

// enqueue adds w to the queue, or returns a refusal if w would wait too long or the queue
// is full. A full queue evicts a waiter of lower importance if it has one. The lock is
// held.
func (c *Cell) enqueue(now time.Time, w *waiter) error {
	w.expires = w.request.Deadline.Add(-minServiceTimes * c.serviceTime)
	if c.expectedWait(now, w.request.Importance) > w.expires.Sub(now)/waitDivisor {
		return c.overload(now, "the queue is too long for the deadline")
	}
	if c.queue.len() >= c.MaxQueue {
		evicted := c.queue.popBelow(w.request.Importance)
		if evicted == nil {
			return c.overload(now, "the queue is full")
		}
		evicted.refuse(c.overload(now, "the queue is full of more important requests"))
	}
	c.queue.push(w)
	return nil
}

// expectedWait estimates the time until a new waiter of importance i gets a slot.
func (c *Cell) expectedWait(now time.Time, i snipefront.Importance) time.Duration {
	slots := 0
	for _, s := range c.order {
		if s.acceptsRequests(now) && !s.limiter.Suspended(now) {
			slots += s.limiter.Limit()
		}
	}
	return c.serviceTime * time.Duration(c.queue.ahead(i)+1) / time.Duration(max(1, slots))
}

// overload returns a refusal whose retry delay is the time in which the queue most
// likely drains.
func (c *Cell) overload(now time.Time, detail string) *snipefront.Error {
	wait := backlogFactor * c.expectedWait(now, snipefront.Background)
	return snipefront.Refused(snipefront.ReasonOverload, max(retrySoon, wait), detail)
}

// grantWaiters gives free slots to the waiters in their order. It skips a waiter that
// avoids the only backend servers with a free slot, so that it blocks no other. The lock
// is held.
func (c *Cell) grantWaiters(now time.Time) {
	if !c.open || c.rules.Out || c.queue.len() == 0 {
		return
	}
	if !c.anyAccepts(now, nil) {
		c.refuseAll(c.noBackendServer(now))
		return
	}
	var skipped []*waiter
	for w := c.queue.pop(); w != nil; w = c.queue.pop() {
		if s := c.pick(now, w.request.Avoid); s != nil {
			w.granted <- grant{slot: c.take(now, s, w.request.Deadline)}
			continue
		}
		skipped = append(skipped, w)
		if len(w.request.Avoid) == 0 {
			break
		}
	}
	for _, w := range skipped {
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
	// minServiceTimes is the number of mean service times that must be left until the
	// deadline when a waiter gets its slot.
	minServiceTimes = 3
	// waitDivisor bounds the queue: a request whose expected wait is longer than
	// 1/waitDivisor of the time until it expires is refused.
	waitDivisor = 6
	// backlogFactor is the multiple of the expected wait after which a refused caller may
	// resend its request.
	backlogFactor = 2
)
