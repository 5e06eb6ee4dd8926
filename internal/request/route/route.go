// Package route chooses the cell for a request and hands the request to the
// cell's owner, which may be this instance.
//
// The cells of the request's service are ordered by their free slots: exact for
// the cells that this instance owns, else as the owners last reported. Each is
// asked in turn for a slot at once. Where none has one, the request waits in the
// queue of the best cell. A forwarded request goes to the one cell it was sent
// to, so there is never a second hop.
package route

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// retryLater is the time after which a caller may ask again where the cause may
// last.
const retryLater = 2 * time.Second

// hopTime is about what handing a request to another instance and getting the
// answer back takes.
const hopTime = time.Millisecond

// maxWaits is the most cells that refuse a request for overload.
const maxWaits = 2

// Forwarder hands a request to the instance at address.
type Forwarder interface {
	Forward(ctx context.Context, address string, epoch uint64, c snipefront.Cell, r *snipefront.Request, mayQueue bool) (peers.Answer, error)
}

// Counter counts requests that move on to another cell.
type Counter interface {
	Retried(service string, reason snipefront.Reason)
}

// Lease tells whether this instance may dispatch.
type Lease interface {
	Held(now time.Time) bool
}

// Cells runs requests in the cells of this instance.
type Cells interface {
	// Announce takes in an announcement and returns for how long it holds.
	Announce(now time.Time, b snipefront.BackendServer) time.Duration
	// Count returns the counts of c, and false where c is unknown.
	Count(now time.Time, c snipefront.Cell) (cell.Counts, bool)
	// Serve runs r in c, waiting for a slot where mayQueue allows it.
	Serve(ctx context.Context, c snipefront.Cell, r *snipefront.Request, s snipefront.Service, mayQueue bool) (*snipefront.Response, error)
}

// Router implements snipefront.Handler. Set the exported fields before use.
type Router struct {
	// Self is the name of this instance.
	Self      string
	View      func() *member.View
	Lease     Lease
	Cells     Cells
	Forwarder Forwarder
	Counter   Counter

	hints hints
	plans atomic.Pointer[plan]
	// turn spreads the choices among cells that are equally good.
	turn atomic.Uint64
}

// choice is a cell that may take a request.
type choice struct {
	*place
	// free is the number of free slots less the requests that wait.
	free int
	// short is true for an own cell where the wait takes less time than a hop.
	short bool
}

// Serve implements snipefront.Handler.
func (t *Router) Serve(ctx context.Context, r *snipefront.Request) (*snipefront.Response, error) {
	v := t.View()
	list := t.choices(time.Now(), v, r.Service)
	if len(list) == 0 {
		return nil, snipefront.Refused(snipefront.ReasonDataCentreOut, retryLater, "no data centre in service has an instance")
	}
	q := &search{request: r, verdict: snipefront.NotRun}
	if c := list[0]; c.own && c.short {
		return t.wait(ctx, v, list, q)
	}
	for _, c := range list {
		if c.free <= 0 {
			break
		}
		resp, err := t.try(ctx, v, c, q.request, false)
		if err == nil {
			return resp, nil
		}
		if e := q.note(err); !t.mayMoveOn(ctx, r, e) {
			return nil, e
		}
	}
	return t.wait(ctx, v, list, q)
}

// wait lets the request queue at the best cell, and at the next where that one
// cannot take it. Owners that are overloaded are few to be asked, since each one
// costs them and the caller a hop.
func (t *Router) wait(ctx context.Context, v *member.View, list []choice, q *search) (*snipefront.Response, error) {
	var last *snipefront.Error
	full := 0
	for _, c := range list {
		resp, err := t.try(ctx, v, c, q.request, true)
		if err == nil {
			return resp, nil
		}
		last = q.note(err)
		if last.Reason == snipefront.ReasonOverload {
			full++
		}
		if !t.mayMoveOn(ctx, q.request, last) || full == maxWaits {
			break
		}
	}
	return nil, last
}

// Forwarded implements peers.Owner. Where a wait takes less time than a hop to
// another cell, the request waits even if it came for a free slot.
func (t *Router) Forwarded(ctx context.Context, c snipefront.Cell, r *snipefront.Request, mayQueue bool) (peers.Answer, error) {
	if n, ok := t.Cells.Count(time.Now(), c); ok && n.Wait <= hopTime {
		mayQueue = true
	}
	resp, err := t.run(ctx, t.View(), c, r, mayQueue)
	a := peers.Answer{Response: resp}
	if n, ok := t.Cells.Count(time.Now(), c); ok {
		a.Free, a.Queued, a.Counted = n.Free, n.Queued, true
	}
	return a, err
}

// Announced implements peers.Owner.
func (t *Router) Announced(b snipefront.BackendServer) time.Duration {
	return t.Cells.Announce(time.Now(), b)
}

// Choices returns the owners of the cells of service that are in service, with
// the free slots of each.
func (t *Router) Choices(now time.Time, service string) (owners []snipefront.Instance, free []int) {
	for _, c := range t.choices(now, t.View(), service) {
		owners = append(owners, c.owner)
		free = append(free, c.free)
	}
	return owners, free
}

// choices returns the cells of service that are in service, the best first.
func (t *Router) choices(now time.Time, v *member.View, service string) []choice {
	all := t.places(v, service)
	list := make([]choice, len(all))
	first := 0
	if len(all) > 0 {
		first = int(t.turn.Add(1) % uint64(len(all)))
	}
	for i := range all {
		list[i] = t.count(now, &all[(first+i)%len(all)])
	}
	order(list)
	return list
}

// count returns p with what is known of its load.
func (t *Router) count(now time.Time, p *place) choice {
	if !p.own {
		return choice{place: p, free: p.hint.left(now)}
	}
	n, _ := t.Cells.Count(now, p.cell)
	return choice{place: p, free: n.Free - n.Queued, short: n.Wait <= hopTime}
}

// order sorts a short list in place, the best first. Equals keep their order.
func order(list []choice) {
	for i := 1; i < len(list); i++ {
		for j := i; j > 0 && better(list[j], list[j-1]); j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
}

// better puts an own cell first where a slot is free or soon will be, since
// that takes less time than a hop.
func better(a, b choice) bool {
	nearA := a.own && (a.free > 0 || a.short)
	nearB := b.own && (b.free > 0 || b.short)
	if nearA != nearB {
		return nearA
	}
	return a.free > b.free
}

// try runs r in the cell of c, here or at its owner.
func (t *Router) try(ctx context.Context, v *member.View, c choice, r *snipefront.Request, mayQueue bool) (*snipefront.Response, error) {
	if c.own {
		return t.run(ctx, v, c.cell, r, mayQueue)
	}
	if !t.Lease.Held(time.Now()) {
		return nil, noLease()
	}
	c.hint.take()
	a, err := t.Forwarder.Forward(ctx, c.owner.PeerAddress, v.Epoch.Number, c.cell, r, mayQueue)
	if a.Counted {
		c.hint.note(time.Now(), a.Free, a.Queued)
	} else {
		c.hint.note(time.Now(), 0, 0)
	}
	return a.Response, err
}

// run runs r in a cell of this instance.
func (t *Router) run(ctx context.Context, v *member.View, c snipefront.Cell, r *snipefront.Request, mayQueue bool) (*snipefront.Response, error) {
	if !t.Lease.Held(time.Now()) {
		return nil, noLease()
	}
	return t.Cells.Serve(ctx, c, r, v.Config.Services[c.Service], mayQueue)
}

// mayMoveOn returns whether another cell may be asked after e, and counts it.
func (t *Router) mayMoveOn(ctx context.Context, r *snipefront.Request, e *snipefront.Error) bool {
	if ctx.Err() != nil || !time.Now().Before(r.Deadline) {
		return false
	}
	if e.Verdict != snipefront.NotRun && !r.Idempotent || e.Broken >= snipefront.MaxBroken {
		return false
	}
	switch e.Reason {
	case snipefront.ReasonDeadline, snipefront.ReasonCanceled, snipefront.ReasonRetryBudget, snipefront.ReasonNoLease,
		snipefront.ReasonQuarantined, snipefront.ReasonAnswerTooBig, snipefront.ReasonBadRequest, snipefront.ReasonTooLarge:
		return false
	}
	t.Counter.Retried(r.Service, e.Reason)
	return true
}

func noLease() *snipefront.Error {
	return &snipefront.Error{
		Verdict:    snipefront.NotRun,
		Reason:     snipefront.ReasonNoLease,
		Status:     http.StatusServiceUnavailable,
		RetryAfter: retryLater,
		Detail:     "this instance has lost contact with the control quorum",
	}
}
