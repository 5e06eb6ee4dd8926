package shift

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/control/fleet"
)

const (
	// tickInterval is the time between two decisions.
	tickInterval = 100 * time.Millisecond
	// settleTime is the time for which a new leader waits for the counts of all instances. What
	// the last step counted beyond them is then added, since it was counted by processes that
	// have ended.
	settleTime = 1500 * time.Millisecond
	// proposeTimeout bounds the commit of one step.
	proposeTimeout = time.Second
)

// Log reports who leads the replicated log.
type Log interface {
	Leadership() snipefront.Leadership
}

// Submitter appends a command to the log through its leader.
type Submitter interface {
	Submit(ctx context.Context, command []byte) ([]byte, error)
}

// Metrics exports the shares of versions.
type Metrics interface {
	// VersionShare sets the part of the requests of a service that the version gets.
	VersionShare(service, version string, share float64)
}

// Driver proposes the steps of all rollouts while this instance leads. At the other instances
// it only observes when each step was applied, so that it knows the time left if it leads next.
// Set the exported fields before Run.
type Driver struct {
	// Self is the name of this instance.
	Self   string
	State  *fleet.State
	Log    Log
	Submit Submitter
	Bounds snipefront.RolloutBounds
	// Metrics may be nil.
	Metrics Metrics
	Logger  *slog.Logger

	mu sync.Mutex
	// byOrder holds the counts of each rollout that runs, by its order.
	byOrder map[uint64]*Aggregate

	// known holds what this instance has observed of each rollout that runs, by its order. Only
	// Run uses it.
	known map[uint64]*observed
	// leadsSince is when this instance began to lead, or zero. Only Run uses it.
	leadsSince time.Time
}

// observed is what one instance has observed of a rollout.
type observed struct {
	fleet.Rollout
	// stepAt and stateAt are when the last step was applied here, and the last that changed the
	// state of the rollout.
	stepAt, stateAt time.Time
	// proposed is the number of the last step that this instance has proposed, and proposedAt
	// when it decided on it. The time left of the step is that of this instant.
	proposed   uint64
	proposedAt time.Time
	judge      Judge
	// floor holds the totals of the last step before this instance leads, and base what is
	// added to the sum of the counts in their place once settled.
	floor, base fleet.Totals
	settled     bool
}

// Run decides on the steps of rollouts until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	d.known = map[uint64]*observed{}
	for {
		changed := d.State.Changed()
		if len(d.State.RunningRollouts()) == 0 && !awaitChange(ctx, changed) {
			return nil
		}
		d.tick(ctx, time.Now())
		if !timer.Sleep(ctx, tickInterval) {
			return nil
		}
	}
}

// awaitChange waits for a change and reports whether there is one before ctx ends.
func awaitChange(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	}
}

// tick observes all rollouts and, if this instance leads, decides on their next steps.
func (d *Driver) tick(ctx context.Context, now time.Time) {
	running := d.State.RunningRollouts()
	d.forget(running)
	leads := d.leads()
	switch {
	case !leads:
		d.leadsSince = time.Time{}
	case d.leadsSince.IsZero():
		d.leadsSince = now
	}
	for _, r := range running {
		o := d.observe(now, r)
		if !leads {
			o.settled = false
			continue
		}
		d.decide(ctx, now, o)
	}
}

// leads reports whether this instance leads the replicated log.
func (d *Driver) leads() bool { return d.Log.Leadership().Leader == d.Self }

// forget drops what is known of rollouts that have ended, and exports their last share.
func (d *Driver) forget(running []fleet.Rollout) {
	orders := map[uint64]bool{}
	for _, r := range running {
		orders[r.Order] = true
	}
	for order, o := range d.known {
		if !orders[order] {
			delete(d.known, order)
			r, _ := d.State.Rollout(o.Service)
			d.export(r)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for order := range d.byOrder {
		if !orders[order] {
			delete(d.byOrder, order)
		}
	}
}

// export sets the metric of the share of r.
func (d *Driver) export(r fleet.Rollout) {
	if d.Metrics != nil {
		d.Metrics.VersionShare(r.Service, r.Version, r.Share)
	}
}

// observe records when the last step of r was applied here.
func (d *Driver) observe(now time.Time, r fleet.Rollout) *observed {
	o := d.known[r.Order]
	if o == nil {
		o = &observed{stateAt: now, judge: Judge{Bounds: d.Bounds}}
		d.known[r.Order] = o
	}
	if o.Index != r.Index {
		if o.State != r.State {
			o.stateAt = now
		}
		o.Rollout, o.stepAt = r, now
		if r.Number > 0 && o.proposed == r.Number {
			o.stepAt = o.proposedAt
		}
		d.export(r)
	}
	return o
}

// decide decides on the next step of a rollout and proposes it.
func (d *Driver) decide(ctx context.Context, now time.Time, o *observed) {
	s := d.situation(now, o)
	c := o.judge.Decide(now, s)
	if c.State == "" {
		return
	}
	command := fleet.Command{Step: &fleet.Step{
		Service: o.Service, Order: o.Order, Basis: o.Number, State: c.State, Share: c.Share,
		LeftMillis: s.Left.Milliseconds(), Totals: s.Sum.Totals,
	}}
	o.proposed, o.proposedAt = o.Number+1, now
	taken, err := d.propose(ctx, command)
	d.Logger.Info("rollout step", "service", o.Service, "version", o.Version, "order", o.Order, "number", o.Number+1,
		"from", o.State, "state", c.State, "share", c.Share, "why", c.Why, "finding", c.Finding.String(), "left", s.Left,
		"requests", s.Sum.Requests, "sent", s.Sum.Sent, "answered", s.Sum.Answered, "bad", s.Sum.Bad,
		"servers", s.Servers, "warm", s.Warm, "applied", s.Applied, "taken", taken, "error", err)
}

// propose submits a step and returns the time that this took.
func (d *Driver) propose(ctx context.Context, c fleet.Command) (taken time.Duration, err error) {
	b, err := c.Encode()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	begun := time.Now()
	_, err = d.Submit.Submit(ctx, b)
	return time.Since(begun), errors.WithMessage(err, "step not confirmed; it may still be applied")
}

// situation returns what the judge decides on.
func (d *Driver) situation(now time.Time, o *observed) Situation {
	s := Situation{
		Rollout: o.Rollout, Left: o.Left() - now.Sub(o.stepAt), SinceStep: now.Sub(o.stepAt), SinceState: now.Sub(o.stateAt),
	}
	v := d.State.View()
	s.Servers, s.Warm = countServers(v, o.Rollout)
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.byOrder[o.Order]
	if m == nil {
		m = &Aggregate{}
	}
	s.Sum = m.Sum()
	s.Heard = len(m.last) > 0 || v.Edges() == 0
	s.Applied = s.Heard && appliedByAll(m, v, o.Rollout)
	o.addEarlier(now, d.leadsSince, &s.Sum.Totals)
	return s
}

// countServers returns the number of backend servers of the version of r that accept requests,
// and the number of warm ones among them.
func countServers(v fleet.View, r fleet.Rollout) (servers, warm int) {
	for _, n := range v.Servers {
		if n.Service != r.Service || n.Version != r.Version || n.Draining || v.Out[n.DataCentre] {
			continue
		}
		servers++
		if n.ColdMillis == 0 {
			warm++
		}
	}
	return servers, warm
}

// appliedByAll reports whether all registered edge instances have applied the state of r.
func appliedByAll(m *Aggregate, v fleet.View, r fleet.Rollout) bool {
	for _, i := range v.Instances {
		if !i.Control && !m.Applied(i.Name, r) {
			return false
		}
	}
	return true
}

// addEarlier adds to the totals t what was counted before this instance leads, since leadsSince,
// by instances that have ended.
func (o *observed) addEarlier(now, leadsSince time.Time, t *fleet.Totals) {
	if !o.settled {
		if now.Sub(leadsSince) < tickInterval {
			o.floor = o.Totals
		}
		o.base = fleet.Totals{
			Requests: max(0, o.floor.Requests-t.Requests), Sent: max(0, o.floor.Sent-t.Sent),
			Answered: max(0, o.floor.Answered-t.Answered), Bad: max(0, o.floor.Bad-t.Bad),
		}
		o.settled = now.Sub(leadsSince) >= settleTime
	}
	t.Requests += o.base.Requests
	t.Sent += o.base.Sent
	t.Answered += o.base.Answered
	t.Bad += o.base.Bad
}
