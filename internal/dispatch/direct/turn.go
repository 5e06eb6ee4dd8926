package direct

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/dispatch/wait"
)

const (
	// rankRetryAfter is what each rank, up to maxSpacedRank, adds to the Retry-After of a refusal
	// for overload.
	rankRetryAfter = 100 * time.Millisecond
	maxSpacedRank  = 4
	// retrySpread is the largest share by which that Retry-After is changed at random.
	retrySpread = 0.25
)

// refusalInterval is the time between two checks whether a call that waits for its turn would
// be refused.
const refusalInterval = 100 * time.Millisecond

// turn is the place of a call in the queue of its service, which the call enters when it first
// waits.
type turn struct {
	dispatcher *Dispatcher
	call       *Call
	ticket     *wait.Ticket
	// served is true if the call has got a target.
	served bool
}

// await waits until the call may choose a target: it is one of the first in the queue, and the
// pause has passed or a request for the service has ended at this instance. The wait also ends
// when the goal gets out of reach, for a last choice, and when the call would be refused. It
// returns false if ctx has ended or too many calls wait.
func (t *turn) await(ctx context.Context, pause, base time.Duration) bool {
	if t.ticket == nil {
		t.ticket = t.dispatcher.waiting.Enter(wait.Request{Service: t.call.Service, Rank: t.call.Rank, Workspace: t.call.Workspace, Goal: t.call.Goal})
	}
	if t.ticket == nil {
		t.dispatcher.Logger.Info("too many requests wait", "request", t.call.ID, "service", t.call.Service, "workspace", t.call.Workspace, "rank", t.call.Rank)
		return false
	}
	latest := t.call.Goal.Add(-base)
	for {
		check := time.Now().Add(refusalInterval)
		if latest.Before(check) {
			return t.ticket.Await(ctx, pause, latest)
		}
		if !t.ticket.Await(ctx, pause, check) {
			return false
		}
		if t.ticket.Active() || t.call.refusal() != nil || !t.dispatcher.hasTarget(t.call.Service) {
			return true
		}
	}
}

// end takes the call out of the queue, if it has waited.
func (t *turn) end() {
	if t.ticket != nil {
		t.ticket.Leave(t.served)
	}
}

// overloadRetryAfter returns the time after which the caller of c, which was refused for
// overload, may come back. It is shorter for more important calls, and spread at random.
func (c *Call) overloadRetryAfter() time.Duration {
	mean := retryAfter + time.Duration(min(max(0, c.Rank), maxSpacedRank))*rankRetryAfter
	return time.Duration(float64(mean) * (1 + retrySpread*(2*rand.Float64()-1)))
}

// hasTarget reports whether any target of the service may be chosen now.
func (d *Dispatcher) hasTarget(service string) bool {
	now := time.Now()
	return slices.ContainsFunc(d.Targets.Candidates(service), func(t *health.Target) bool { return t.Available(now) })
}
