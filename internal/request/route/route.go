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
	"sort"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/control/owner"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// retryLater is the time after which a caller may ask again where the cause may
// last.
const retryLater = 2 * time.Second

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
	// Announce takes in an announcement and returns whether this instance owns
	// the cell.
	Announce(now time.Time, b snipefront.BackendServer) bool
	// Count returns the free slots of c and the requests that wait there, and
	// false where c is unknown.
	Count(now time.Time, c snipefront.Cell) (free, queued int, known bool)
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

	hints Hints
}

// choice is a cell that may take a request.
type choice struct {
	cell  snipefront.Cell
	owner snipefront.Instance
	free  int
}

// Serve implements snipefront.Handler.
func (t *Router) Serve(ctx context.Context, r *snipefront.Request) (*snipefront.Response, error) {
	v := t.View()
	list := t.choices(time.Now(), v, r.Service)
	if len(list) == 0 {
		return nil, snipefront.Refused(snipefront.ReasonDataCentreOut, retryLater, "no data centre in service has an instance")
	}
	for _, c := range list {
		if c.free <= 0 {
			break
		}
		resp, err := t.try(ctx, v, c, r, false)
		if err == nil || !t.mayMoveOn(ctx, r, err) {
			return resp, err
		}
	}
	return t.wait(ctx, v, list, r)
}

// wait lets the request queue at the best cell, and at the next where that one
// cannot take it.
func (t *Router) wait(ctx context.Context, v *member.View, list []choice, r *snipefront.Request) (*snipefront.Response, error) {
	var last error
	for _, c := range list {
		resp, err := t.try(ctx, v, c, r, true)
		if err == nil || !t.mayMoveOn(ctx, r, err) {
			return resp, err
		}
		last = err
	}
	return nil, last
}

// Forwarded implements peers.Owner.
func (t *Router) Forwarded(ctx context.Context, c snipefront.Cell, r *snipefront.Request, mayQueue bool) (peers.Answer, error) {
	resp, err := t.run(ctx, t.View(), c, r, mayQueue)
	a := peers.Answer{Response: resp}
	a.Free, a.Queued, a.Counted = t.Cells.Count(time.Now(), c)
	return a, err
}

// Announced implements peers.Owner.
func (t *Router) Announced(b snipefront.BackendServer) bool {
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

func (t *Router) choices(now time.Time, v *member.View, service string) []choice {
	var list []choice
	for _, n := range owner.DataCentres(v.Epoch) {
		if v.Config.DataCentresOut[n] {
			continue
		}
		c := choice{cell: snipefront.Cell{Service: service, DataCentre: n}}
		c.owner, _ = owner.Of(v.Epoch, c.cell)
		c.free = t.free(now, c)
		list = append(list, c)
	}
	sort.SliceStable(list, func(i, j int) bool { return t.better(list[i], list[j]) })
	return list
}

// free returns the free slots of c less the requests that wait there.
func (t *Router) free(now time.Time, c choice) int {
	if c.owner.Name != t.Self {
		return t.hints.Free(now, c.cell)
	}
	free, queued, _ := t.Cells.Count(now, c.cell)
	return free - queued
}

// better puts an own cell with a free slot first, since it saves a hop.
func (t *Router) better(a, b choice) bool {
	ownA := a.owner.Name == t.Self && a.free > 0
	ownB := b.owner.Name == t.Self && b.free > 0
	if ownA != ownB {
		return ownA
	}
	return a.free > b.free
}

// try runs r in the cell of c, here or at its owner.
func (t *Router) try(ctx context.Context, v *member.View, c choice, r *snipefront.Request, mayQueue bool) (*snipefront.Response, error) {
	if c.owner.Name == t.Self {
		return t.run(ctx, v, c.cell, r, mayQueue)
	}
	if !t.Lease.Held(time.Now()) {
		return nil, noLease()
	}
	t.hints.Take(c.cell)
	a, err := t.Forwarder.Forward(ctx, c.owner.PeerAddress, v.Epoch.Number, c.cell, r, mayQueue)
	if a.Counted {
		t.hints.Note(time.Now(), c.cell, a.Free, a.Queued)
	} else {
		t.hints.Note(time.Now(), c.cell, 0, 0)
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

// mayMoveOn returns whether another cell may be asked after err, and counts it.
func (t *Router) mayMoveOn(ctx context.Context, r *snipefront.Request, err error) bool {
	e := snipefront.AsError(err)
	if ctx.Err() != nil || !time.Now().Before(r.Deadline) {
		return false
	}
	if e.Verdict != snipefront.NotRun && !r.Idempotent {
		return false
	}
	switch e.Reason {
	case snipefront.ReasonDeadline, snipefront.ReasonCanceled, snipefront.ReasonRetryBudget, snipefront.ReasonNoLease:
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
