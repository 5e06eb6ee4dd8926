// Package route chooses the cell for a request and runs the request there, or forwards
// it to the instance that owns the cell.
//
// The cells of the request's service are ordered by their free slots. The counts are
// exact for the cells that this instance owns; for other cells they are the counts that
// the owners last reported. Each cell is tried in turn for a free slot. If none has one,
// the request waits in the queue of the best cell. A forwarded request runs only in
// the cell it was forwarded to, so there is never a second hop.
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

// retryAfterUnavailable is the Retry-After time if the cause of a refusal may last.
const retryAfterUnavailable = 2 * time.Second

// hopLatency is roughly the time to forward a request to another instance and to receive
// its response.
const hopLatency = time.Millisecond

// maxOverloadRefusals is the number of refusals for overload after which a request is
// queued in no further cell.
const maxOverloadRefusals = 2

// Forwarder forwards a request to the instance at address, to run it in the cell c.
type Forwarder interface {
	Forward(ctx context.Context, address string, epoch uint64, c snipefront.Cell, r *snipefront.Request, mayQueue bool) (peers.Answer, error)
}

// Counter counts retries of requests in another cell.
type Counter interface {
	Retried(service string, reason snipefront.Reason)
}

// Lease reports whether this instance may dispatch.
type Lease interface {
	Held(now time.Time) bool
}

// Cells runs requests in the cells of this instance.
type Cells interface {
	// Announce records an announcement and returns the time until it expires.
	Announce(now time.Time, b snipefront.BackendServer) time.Duration
	// Count returns the counts of c, and false if c is unknown.
	Count(now time.Time, c snipefront.Cell) (cell.Counts, bool)
	// Serve runs r in c. It waits for a free slot if mayQueue is true.
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
	// rotation varies the order of cells that are equally good.
	rotation atomic.Uint64
}

// candidate is a cell that a request may run in, with its load.
type candidate struct {
	*plannedCell
	// free is the number of free slots minus the number of queued requests.
	free int
	// shortWait is true if this instance owns the cell and the expected wait is at most
	// hopLatency.
	shortWait bool
}

// Serve implements snipefront.Handler.
func (rt *Router) Serve(ctx context.Context, r *snipefront.Request) (*snipefront.Response, error) {
	v := rt.View()
	list := rt.candidates(time.Now(), v, r.Service)
	if len(list) == 0 {
		return nil, snipefront.Refused(snipefront.ReasonDataCentreOut, retryAfterUnavailable, "no data centre in service has an instance")
	}
	s := &search{request: r, verdict: snipefront.NotRun}
	if c := list[0]; c.owned && c.shortWait {
		return rt.wait(ctx, v, list, s)
	}
	for _, c := range list {
		if c.free <= 0 {
			break
		}
		resp, err := rt.try(ctx, v, c, s.request, false)
		if err == nil {
			return resp, nil
		}
		if e := s.record(err); !rt.mayRetry(ctx, r, e) {
			return nil, e
		}
	}
	return rt.wait(ctx, v, list, s)
}

// wait queues the request in the best cell, and in the next one if that cell refuses
// it. It tries few overloaded cells, since each attempt costs the owner and the caller
// a hop.
func (rt *Router) wait(ctx context.Context, v *member.View, list []candidate, s *search) (*snipefront.Response, error) {
	var last *snipefront.Error
	overloaded := 0
	for _, c := range list {
		resp, err := rt.try(ctx, v, c, s.request, true)
		if err == nil {
			return resp, nil
		}
		last = s.record(err)
		if last.Reason == snipefront.ReasonOverload {
			overloaded++
		}
		if !rt.mayRetry(ctx, s.request, last) || overloaded == maxOverloadRefusals {
			break
		}
	}
	return nil, last
}

// HandleForward implements peers.Owner. If the expected wait is at most hopLatency, the
// request may queue even if it was forwarded for a free slot only, since another hop
// would take longer.
func (rt *Router) HandleForward(ctx context.Context, c snipefront.Cell, r *snipefront.Request, mayQueue bool) (peers.Answer, error) {
	if n, ok := rt.Cells.Count(time.Now(), c); ok && n.Wait <= hopLatency {
		mayQueue = true
	}
	resp, err := rt.run(ctx, rt.View(), c, r, mayQueue)
	a := peers.Answer{Response: resp}
	if n, ok := rt.Cells.Count(time.Now(), c); ok {
		a.Free, a.Queued, a.Counted = n.Free, n.Queued, true
	}
	return a, err
}

// HandleAnnouncement implements peers.Owner.
func (rt *Router) HandleAnnouncement(b snipefront.BackendServer) time.Duration {
	return rt.Cells.Announce(time.Now(), b)
}

// RankedOwners returns the owners of the cells of service in the data centres that are
// not out of service, the best first, and for each cell the number of free slots minus
// the number of queued requests.
func (rt *Router) RankedOwners(now time.Time, service string) (owners []snipefront.Instance, free []int) {
	for _, c := range rt.candidates(now, rt.View(), service) {
		owners = append(owners, c.owner)
		free = append(free, c.free)
	}
	return owners, free
}

// candidates returns the cells of service in the data centres that are not out of
// service, the best first.
func (rt *Router) candidates(now time.Time, v *member.View, service string) []candidate {
	all := rt.plannedCells(v, service)
	list := make([]candidate, len(all))
	first := 0
	if len(all) > 0 {
		first = int(rt.rotation.Add(1) % uint64(len(all)))
	}
	for i := range all {
		list[i] = rt.candidateOf(now, &all[(first+i)%len(all)])
	}
	order(list)
	return list
}

// candidateOf returns p with its load as this instance knows it.
func (rt *Router) candidateOf(now time.Time, p *plannedCell) candidate {
	if !p.owned {
		return candidate{plannedCell: p, free: p.hint.available(now)}
	}
	n, _ := rt.Cells.Count(now, p.cell)
	return candidate{plannedCell: p, free: n.Free - n.Queued, shortWait: n.Wait <= hopLatency}
}

// order sorts a short list in place, the best first. The sort is stable.
func order(list []candidate) {
	for i := 1; i < len(list); i++ {
		for j := i; j > 0 && better(list[j], list[j-1]); j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
}

// better reports whether a is to be tried before b. Cells that this instance owns come
// first if a slot is free or is expected within hopLatency, since that takes less time
// than a hop.
func better(a, b candidate) bool {
	immediateA := a.owned && (a.free > 0 || a.shortWait)
	immediateB := b.owned && (b.free > 0 || b.shortWait)
	if immediateA != immediateB {
		return immediateA
	}
	return a.free > b.free
}

// try runs r in the cell of c, on this instance or by forwarding it to the owner. If
// the owner returns no counts, the cell counts as full for hintLifetime.
func (rt *Router) try(ctx context.Context, v *member.View, c candidate, r *snipefront.Request, mayQueue bool) (*snipefront.Response, error) {
	if c.owned {
		return rt.run(ctx, v, c.cell, r, mayQueue)
	}
	if !rt.Lease.Held(time.Now()) {
		return nil, noLease()
	}
	c.hint.reserve()
	a, err := rt.Forwarder.Forward(ctx, c.owner.PeerAddress, v.Epoch.Number, c.cell, r, mayQueue)
	if a.Counted {
		c.hint.update(time.Now(), a.Free, a.Queued)
	} else {
		c.hint.update(time.Now(), 0, 0)
	}
	return a.Response, err
}

// run runs r in a cell that this instance owns.
func (rt *Router) run(ctx context.Context, v *member.View, c snipefront.Cell, r *snipefront.Request, mayQueue bool) (*snipefront.Response, error) {
	if !rt.Lease.Held(time.Now()) {
		return nil, noLease()
	}
	return rt.Cells.Serve(ctx, c, r, v.Config.Services[c.Service], mayQueue)
}

// mayRetry reports whether r may be tried in another cell after e, and counts the retry.
func (rt *Router) mayRetry(ctx context.Context, r *snipefront.Request, e *snipefront.Error) bool {
	if ctx.Err() != nil || !time.Now().Before(r.Deadline) {
		return false
	}
	if e.Verdict != snipefront.NotRun && !r.Idempotent || e.Broken >= snipefront.MaxBrokenAttempts {
		return false
	}
	switch e.Reason {
	case snipefront.ReasonDeadline, snipefront.ReasonCanceled, snipefront.ReasonRetryBudget, snipefront.ReasonNoLease,
		snipefront.ReasonQuarantined, snipefront.ReasonAnswerTooBig, snipefront.ReasonBadRequest, snipefront.ReasonTooLarge:
		return false
	}
	rt.Counter.Retried(r.Service, e.Reason)
	return true
}

func noLease() *snipefront.Error {
	return &snipefront.Error{
		Verdict:    snipefront.NotRun,
		Reason:     snipefront.ReasonNoLease,
		Status:     http.StatusServiceUnavailable,
		RetryAfter: retryAfterUnavailable,
		Detail:     "this instance has lost contact with the control quorum",
	}
}
