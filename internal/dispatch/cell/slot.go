package cell

import (
	"context"
	"slices"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/limit"
)

const (
	// retrySoon is the time after which a caller may resend a request that was refused
	// for a brief condition, such as a full queue.
	retrySoon = 500 * time.Millisecond
	// retryLater replaces retrySoon for a condition that may last, such as a data centre
	// out of service.
	retryLater = 2 * time.Second
	// serviceTimeDivisor is the inverse weight of one answer in the service time.
	serviceTimeDivisor = 16
)

// SlotRequest describes the slot that a request needs.
type SlotRequest struct {
	Importance snipefront.Importance
	Deadline   time.Time
	// MayQueue lets the request wait for a slot.
	MayQueue bool
	// Avoid names the backend servers not to use. If no other accepts requests, the
	// request is refused.
	Avoid []string
	// FreeOnly asks for a slot that no other request needs now, for a hedge: the queue is
	// empty, the backend server is warm and no spare, and another slot of the cell stays
	// free. Such a request never waits.
	FreeOnly bool
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered is a complete answer before the deadline.
	Answered Outcome = iota
	// Dropped is an attempt that was refused, broke off or passed its deadline.
	Dropped
	// Canceled is an attempt that the caller canceled. Like one that passed its deadline,
	// it counts against the backend server only if it took long.
	Canceled
	// Failed is a complete answer before the deadline that reports a failure, or a
	// connection that couldn't be made. It doesn't change the limit.
	Failed
)

// Slot permits one request in flight at a backend server. The holder must release it
// exactly once, with Done, DoneAfter or Probed.
type Slot struct {
	// BackendServer is where to send the request.
	BackendServer snipefront.BackendServer

	cell     *Cell
	server   *server
	attempt  limit.Attempt
	deadline time.Time
}

// Acquire takes a slot, and waits for one if r.MayQueue is true. It returns a
// *snipefront.Error as soon as it is clear that the request can't be answered in time.
func (c *Cell) Acquire(ctx context.Context, r SlotRequest) (*Slot, error) {
	now := time.Now()
	r.Importance = min(r.Importance, snipefront.Critical)
	c.mu.Lock()
	if err := c.refusal(now, r); err != nil {
		c.mu.Unlock()
		return nil, err
	}
	if r.FreeOnly {
		slot := c.acquireSurplus(now, r)
		c.mu.Unlock()
		if slot == nil {
			return nil, snipefront.Refused(snipefront.ReasonHedge, 0, "no slot to spare")
		}
		return slot, nil
	}
	if c.queue.len() == 0 || !r.MayQueue {
		if s := c.pick(now, r.Avoid); s != nil {
			slot := c.take(now, s, r.Deadline)
			c.mu.Unlock()
			return slot, nil
		}
	}
	if !r.MayQueue {
		err := c.overload(now, "no free slot in the cell")
		c.mu.Unlock()
		return nil, err
	}
	w := &waiter{request: r, granted: make(chan grant, 1)}
	if err := c.enqueue(now, w); err != nil {
		c.mu.Unlock()
		return nil, err
	}
	c.mu.Unlock()
	return c.await(ctx, w)
}

// refusal returns why the cell can't accept the request, or nil.
func (c *Cell) refusal(now time.Time, r SlotRequest) error {
	switch {
	case !c.open:
		return snipefront.Refused(snipefront.ReasonNotOwner, retrySoon, "the cell is not open at this instance")
	case c.rules.Out:
		return snipefront.Refused(snipefront.ReasonDataCentreOut, retryLater, "the data centre is out of service")
	case !now.Before(r.Deadline):
		return snipefront.Refused(snipefront.ReasonDeadline, 0, "the deadline has passed")
	}
	if !c.anyAccepts(now, r.Avoid) {
		return c.noBackendServer(now)
	}
	return nil
}

// anyAccepts reports whether a backend server that isn't in avoid accepts requests.
func (c *Cell) anyAccepts(now time.Time, avoid []string) bool {
	for _, s := range c.order {
		if s.acceptsRequests(now) && !slices.Contains(avoid, s.announced.Name) {
			return true
		}
	}
	return false
}

// noBackendServer returns the refusal of a request that no backend server accepts. The lock
// is held.
func (c *Cell) noBackendServer(now time.Time) *snipefront.Error {
	return snipefront.Refused(snipefront.ReasonNoBackendServer, c.retryAfter(now), "no backend server of the cell accepts the request")
}

// await waits until w gets a slot, is refused, is canceled or expires.
func (c *Cell) await(ctx context.Context, w *waiter) (*Slot, error) {
	t := time.NewTimer(time.Until(w.expires))
	defer t.Stop()
	select {
	case g := <-w.granted:
		return g.slot, g.err
	case <-ctx.Done():
		return c.withdraw(w, snipefront.Refused(snipefront.ReasonCanceled, 0, "the caller went away"))
	case <-t.C:
		return c.withdraw(w, snipefront.Refused(snipefront.ReasonOverload, retrySoon, "no slot became free in time"))
	}
}

// withdraw removes w from the queue and returns err. If w was granted a slot meanwhile,
// withdraw releases the slot.
func (c *Cell) withdraw(w *waiter, err *snipefront.Error) (*Slot, error) {
	c.mu.Lock()
	c.queue.remove(w)
	c.mu.Unlock()
	select {
	case g := <-w.granted:
		if g.slot != nil {
			g.slot.Done(Canceled)
		}
	default:
	}
	return nil, err
}

// take takes a slot of s. The lock is held.
func (c *Cell) take(now time.Time, s *server, deadline time.Time) *Slot {
	s.inFlight++
	c.inFlight++
	a := limit.Attempt{Taken: now, Position: s.inFlight}
	return &Slot{BackendServer: s.announced, cell: c, server: s, attempt: a, deadline: deadline}
}

// Done releases the slot and records the outcome of the attempt.
func (s *Slot) Done(o Outcome) {
	now := time.Now()
	c := s.cell
	c.mu.Lock()
	defer c.mu.Unlock()
	s.record(now, o)
	s.release(now)
}

// DoneAfter is Done for an attempt that this instance has ended while the backend server
// may still run it. The slot stays taken for d, the time until the backend server notices.
func (s *Slot) DoneAfter(o Outcome, d time.Duration) {
	c := s.cell
	c.mu.Lock()
	defer c.mu.Unlock()
	s.record(time.Now(), o)
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		s.release(time.Now())
	})
}

// release frees the slot and grants it to a waiter. The lock is held.
func (s *Slot) release(now time.Time) {
	s.server.inFlight--
	s.cell.inFlight--
	s.cell.grantWaiters(now)
}

// record applies the outcome to the limiter and to the latency estimates of the cell. It
// ignores an attempt at an earlier incarnation. The lock is held.
func (s *Slot) record(now time.Time, o Outcome) {
	if s.server.announced.Incarnation != s.BackendServer.Incarnation {
		return
	}
	elapsed := now.Sub(s.attempt.Taken)
	switch o {
	case Answered:
		s.server.lastContact = now
		s.server.limiter.Answered(now, s.attempt)
		s.cell.updateServiceTime(elapsed)
		s.cell.tailLatency.add(elapsed)
	case Dropped:
		s.recordDropped(now, elapsed)
	case Failed:
		s.server.limiter.Failed(now)
	case Canceled:
		s.server.limiter.Unanswered(now, elapsed)
	}
}

// recordDropped records an attempt that was refused, broke off or passed its deadline.
// For one that passed its deadline only the time elapsed counts, since the request may
// have spent most of its time in the queue.
func (s *Slot) recordDropped(now time.Time, elapsed time.Duration) {
	if now.Before(s.deadline) {
		s.server.limiter.Dropped(now)
		return
	}
	s.server.limiter.Unanswered(now, elapsed)
}

func (c *Cell) updateServiceTime(elapsed time.Duration) {
	if c.serviceTime == 0 {
		c.serviceTime = elapsed
		return
	}
	c.serviceTime += (elapsed - c.serviceTime) / serviceTimeDivisor
}
