package cell

import (
	"context"
	"slices"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/limit"
)

const (
	// retrySoon is the time after which a caller may ask again where the cause
	// passes within moments.
	retrySoon = 500 * time.Millisecond
	// retryLater is the same where the cause may last.
	retryLater = 2 * time.Second
	// serviceWeight is the inverse weight of one request in the service time.
	serviceWeight = 16
)

// Wanted is what a request asks of a cell.
type Wanted struct {
	Importance snipefront.Importance
	Deadline   time.Time
	// MayQueue lets the request wait for a slot.
	MayQueue bool
	// Avoid names the backend servers not to use. Where no other accepts work, the
	// request is refused.
	Avoid []string
	// FreeOnly asks for a slot that nobody else needs now: no request waits, the
	// backend server is warm and no spare, and another slot of the cell stays
	// free. It never waits.
	FreeOnly bool
}

// Outcome tells the cell how an attempt went.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered is a whole answer in time.
	Answered Outcome = iota
	// Troubled is a refusal, a broken or a late attempt.
	Troubled
	// Canceled is an attempt given up by the one who asked. Like a late one it
	// tells of the backend server only where it took long.
	Canceled
	// Failed is a whole answer in time that tells of a failure, or a connection
	// that could not be made. It says nothing of what the backend server bears.
	Failed
)

// Slot is the right to have one request in flight at a backend server. Done
// must be called exactly once.
type Slot struct {
	// BackendServer is where the request goes.
	BackendServer snipefront.BackendServer

	cell   *Cell
	server *server
	taken  limit.Attempt
	// deadline is that of the request.
	deadline time.Time
}

// Acquire takes a slot, waiting for one where w allows it. It returns a
// *snipefront.Error as soon as the request cannot be answered in time.
func (c *Cell) Acquire(ctx context.Context, w Wanted) (*Slot, error) {
	now := time.Now()
	w.Importance = min(w.Importance, snipefront.Critical)
	c.mu.Lock()
	if err := c.refusal(now, w); err != nil {
		c.mu.Unlock()
		return nil, err
	}
	if w.FreeOnly {
		slot := c.surplus(now, w)
		c.mu.Unlock()
		if slot == nil {
			return nil, snipefront.Refused(snipefront.ReasonHedge, 0, "no slot to spare")
		}
		return slot, nil
	}
	if c.queue.len() == 0 || !w.MayQueue {
		if s := c.pick(now, w.Avoid); s != nil {
			slot := c.take(now, s, w.Deadline)
			c.mu.Unlock()
			return slot, nil
		}
	}
	if !w.MayQueue {
		err := c.overload(now, "no free slot in the cell")
		c.mu.Unlock()
		return nil, err
	}
	x := &waiter{wanted: w, granted: make(chan grant, 1)}
	if err := c.enqueue(now, x); err != nil {
		c.mu.Unlock()
		return nil, err
	}
	c.mu.Unlock()
	return c.await(ctx, x)
}

// refusal returns why no request may be dispatched now, or nil.
func (c *Cell) refusal(now time.Time, w Wanted) error {
	switch {
	case !c.open:
		return snipefront.Refused(snipefront.ReasonNotOwner, retrySoon, "the cell is not open at this instance")
	case c.rules.Out:
		return snipefront.Refused(snipefront.ReasonDataCentreOut, retryLater, "the data centre is out of service")
	case !now.Before(w.Deadline):
		return snipefront.Refused(snipefront.ReasonDeadline, 0, "the deadline has passed")
	}
	if !c.accepts(now, w.Avoid) {
		return noBackendServer()
	}
	return nil
}

// accepts returns whether a backend server not in avoid accepts work.
func (c *Cell) accepts(now time.Time, avoid []string) bool {
	for _, s := range c.order {
		if s.usable(now) && !slices.Contains(avoid, s.announced.Name) {
			return true
		}
	}
	return false
}

func noBackendServer() *snipefront.Error {
	return snipefront.Refused(snipefront.ReasonNoBackendServer, retryLater, "no backend server of the cell accepts the request")
}

// await waits until x is granted or refused, or until it is too late.
func (c *Cell) await(ctx context.Context, x *waiter) (*Slot, error) {
	t := time.NewTimer(time.Until(x.giveUp))
	defer t.Stop()
	select {
	case g := <-x.granted:
		return g.slot, g.err
	case <-ctx.Done():
		return c.withdraw(x, snipefront.Refused(snipefront.ReasonCanceled, 0, "the caller went away"))
	case <-t.C:
		return c.withdraw(x, snipefront.Refused(snipefront.ReasonOverload, retrySoon, "no slot became free in time"))
	}
}

// withdraw takes x out of the queue. A slot that was granted meanwhile is given
// back.
func (c *Cell) withdraw(x *waiter, err *snipefront.Error) (*Slot, error) {
	c.mu.Lock()
	c.queue.remove(x)
	c.mu.Unlock()
	select {
	case g := <-x.granted:
		if g.slot != nil {
			g.slot.Done(Canceled)
		}
	default:
	}
	return nil, err
}

// take gives a slot of s. The lock is held.
func (c *Cell) take(now time.Time, s *server, deadline time.Time) *Slot {
	s.inFlight++
	c.inFlight++
	a := limit.Attempt{Taken: now, Position: s.inFlight}
	return &Slot{BackendServer: s.announced, cell: c, server: s, taken: a, deadline: deadline}
}

// Done gives the slot back with the outcome of the attempt.
func (s *Slot) Done(o Outcome) {
	now := time.Now()
	c := s.cell
	c.mu.Lock()
	defer c.mu.Unlock()
	s.learn(now, o)
	s.release(now)
}

// DoneAfter is Done for an attempt that was given up while it may be running. The
// slot stays taken for d, the time in which the backend server learns of it.
func (s *Slot) DoneAfter(o Outcome, d time.Duration) {
	c := s.cell
	c.mu.Lock()
	defer c.mu.Unlock()
	s.learn(time.Now(), o)
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		s.release(time.Now())
	})
}

// release gives the slot to the next request. The lock is held.
func (s *Slot) release(now time.Time) {
	s.server.inFlight--
	s.cell.inFlight--
	s.cell.serve(now)
}

// learn takes in the outcome of the attempt. The lock is held.
func (s *Slot) learn(now time.Time, o Outcome) {
	if s.server.announced.Incarnation != s.BackendServer.Incarnation {
		return
	}
	held := now.Sub(s.taken.Taken)
	switch o {
	case Answered:
		s.server.news = now
		s.server.limiter.Answered(now, s.taken)
		s.cell.average(held)
		s.cell.high.add(held)
	case Troubled:
		s.trouble(now, held)
	case Failed:
		s.server.limiter.Failed(now)
	case Canceled:
		s.server.limiter.Unanswered(now, held)
	}
}

// trouble takes in a failed attempt. One that ended at its deadline tells of the
// backend server only how long it took: most of the time may have gone in the
// queue.
func (s *Slot) trouble(now time.Time, held time.Duration) {
	if now.Before(s.deadline) {
		s.server.limiter.Dropped(now)
		return
	}
	s.server.limiter.Unanswered(now, held)
}

func (c *Cell) average(held time.Duration) {
	if c.service == 0 {
		c.service = held
		return
	}
	c.service += (held - c.service) / serviceWeight
}
