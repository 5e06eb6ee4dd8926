package direct

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/canary"
	"github.com/snipefront/snipefront/internal/dispatch/health"
)

// canaryWait bounds the time for which a request that belongs to the share of a new version
// waits for one of its few backend servers. It then goes to the earlier versions.
const canaryWait = 60 * time.Millisecond

// chooseVersion chooses the versions that c may be sent to, where a rollout of its service
// runs, and a target among them as choose does. It begins again if the rollout changes its
// state while c waits.
func (d *Dispatcher) chooseVersion(ctx context.Context, c *Call, p *progress) (choice, bool) {
	draw := rand.Float64()
	if p.reached {
		draw = 1 // a further attempt takes no part of the share
	}
	for {
		side, changed := d.Targets.Side(time.Now(), c.Service, draw)
		c.side = side
		if changed == nil {
			return d.choose(ctx, c, d.barred(c, p))
		}
		chosen, ok, again := d.chooseOnSide(ctx, c, p, changed)
		if ok {
			// A hedge takes no part of the share either.
			c.side, _ = d.Targets.Side(time.Now(), c.Service, 1)
			return chosen, true
		}
		if !again {
			return chosen, false
		}
		draw = 1
	}
}

// chooseOnSide chooses a target of the side of c. It reports whether a target was chosen, and
// otherwise whether another choice may succeed: the rollout has changed, or c was one of its
// share and has waited for canaryWait.
func (d *Dispatcher) chooseOnSide(ctx context.Context, c *Call, p *progress, changed <-chan struct{}) (chosen choice, ok, again bool) {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	if fallback, _ := d.Targets.Side(time.Now(), c.Service, 1); c.side == health.NewSide && fallback == health.OldSide {
		limited, cancel = context.WithTimeout(limited, canaryWait)
		defer cancel()
		again = true
	}
	go func() {
		select {
		case <-changed:
			cancel()
		case <-limited.Done():
		}
	}()
	chosen, ok = d.choose(limited, c, d.barred(c, p))
	select {
	case <-changed:
		again = true
	default:
	}
	return chosen, ok, again && !ok && ctx.Err() == nil && chosen.refusal == nil
}

// withOtherVersions returns avoid with the targets of the versions that c may not be sent to.
func (d *Dispatcher) withOtherVersions(c *Call, avoid map[string]bool) map[string]bool {
	if c.side == health.AnyVersion {
		return avoid
	}
	all := maps.Clone(avoid)
	for _, t := range d.Targets.Candidates(c.Service) {
		if d.Targets.IsBarred(t, c.side) {
			all[t.Server.Name] = true
		}
	}
	return all
}

// countBegin counts the begin of an attempt at the chosen target for a rollout.
func (d *Dispatcher) countBegin(c *Call, chosen choice) *canary.Attempt {
	n := chosen.target.Server
	a := canary.Attempt{Service: c.Service, Route: c.Route, Version: n.Version, Server: n.Name, Expected: chosen.estimate}
	if chosen.snapshot.Cold {
		a.Expected = 0
	}
	return d.Rollouts.Begun(a)
}

// countEnd counts the end of an attempt for a rollout.
func (d *Dispatcher) countEnd(r attemptResult) { d.Rollouts.Ended(r.counted, r.counts(), r.taken) }

// counts returns what the end of an attempt shows about a version. One that was cut short
// before its answer was overdue shows nothing.
func (r attemptResult) counts() canary.Outcome {
	switch {
	case r.Verdict == snipefront.NotRun:
		return canary.Nothing
	case r.Response != nil && !isServerError(r.Response):
		return canary.Answered
	case r.cut && r.taken < r.overdueAfter():
		return canary.Nothing
	case r.cut:
		return canary.Answered
	case r.Outcome == health.Faulty:
		return canary.Bad
	}
	return canary.Nothing
}
