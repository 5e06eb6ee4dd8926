package direct

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/dispatch/health"
)

const (
	// lookWait bounds the wait for the answers to looks.
	lookWait = 25 * time.Millisecond
	// maxNear and maxFar are the most targets that are looked at for one choice, in
	// the own data centre and beyond it.
	maxNear = 6
	maxFar  = 4
	// goodFactor is the multiple of the usual time up to which a near target is taken
	// without a look at others.
	goodFactor = 1.35
	// spareRoom is how many requests beyond its slots a target is given. More may
	// find no place in its queue.
	spareRoom = 2
	// holdStep is the time between choices of a request that is held.
	holdStep = 25 * time.Millisecond
	// calmLoad is the share of slots in use up to which a request that can't meet its
	// goal takes any room.
	calmLoad = 0.4
	// warmUpShare is the part of what a cold target bears that it is sent.
	warmUpShare = 0.9
)

// choice is the target that is best for a request.
type choice struct {
	target *health.Target
	// takes is how long the request will take there, as estimated.
	takes time.Duration
	sight health.Snapshot
	// load is the share of slots in use or waited for at the targets looked at.
	load float64
}

// choose reserves a request at the target where it takes the least time. A request
// that would be late everywhere is held while a target may still become free in
// time for its goal. One that can't meet its goal any more, or only with luck, is
// given what others leave free. It returns false where no target has room.
func (d *Dispatcher) choose(ctx context.Context, c *Call, avoid map[string]bool) (choice, bool) {
	unit := d.times.unit(c)
	for held := false; len(d.Targets.Candidates(c.Service)) > 0; held = true {
		best, ok := d.best(ctx, c, unit, avoid)
		now := time.Now()
		sure := ok && !now.Add(best.takes).After(c.Goal)
		likely := ok && held && !now.Add(d.times.median(c, best.takes)).After(c.Goal)
		hopeful := now.Add(unit).Before(c.Goal)
		spare := ok && (likely || !hopeful) && d.maySpare(c, best)
		if (sure || spare) && d.reserve(now, best.target) {
			d.times.noteStart(c, sure)
			return best, true
		}
		if !hopeful || !timer.Sleep(ctx, holdStep) {
			d.Logger.Info("no target in time", "request", c.ID, "route", c.Route, "service", c.Service, "goalIn", time.Until(c.Goal), "usual", unit,
				"best", best.name(), "estimated", best.takes, "sight", best.sight)
			return choice{}, false
		}
	}
	return choice{}, false
}

// maySpare returns whether c, which is not sure to meet its goal, may have the chosen
// target. It may where the load is low or the target stays under fullShare, and
// otherwise where a slot is free and such requests have not had their share.
func (d *Dispatcher) maySpare(c *Call, t choice) bool {
	return t.load <= calmLoad || hasFree(t.sight) || hasSlot(t.sight) && d.times.mayStartLate(c)
}

// name returns the name of the chosen target, or nothing.
func (c choice) name() string {
	if c.target == nil {
		return ""
	}
	return c.target.Server.Name
}

// best looks at the targets of c and returns the one where it takes the least time,
// one of the own data centre where that is good enough. It returns false where none
// has room.
func (d *Dispatcher) best(ctx context.Context, c *Call, unit time.Duration, avoid map[string]bool) (choice, bool) {
	near, far := d.split(c.Service, avoid)
	near = sample(near, maxNear)
	d.look(ctx, near)
	b := d.least(near, unit)
	if b.target != nil && float64(b.takes) <= goodFactor*float64(unit) {
		return b, true
	}
	far = sample(far, maxFar)
	d.look(ctx, far)
	b = d.least(append(near, far...), unit)
	return b, b.target != nil
}

// split returns the targets of a service that may be tried, those of the own data
// centre apart.
func (d *Dispatcher) split(service string, avoid map[string]bool) (near, far []*health.Target) {
	now := time.Now()
	for _, t := range d.Targets.Candidates(service) {
		switch {
		case avoid[t.Server.Name] || !t.Available(now):
		case t.Near:
			near = append(near, t)
		default:
			far = append(far, t)
		}
	}
	return near, far
}

// look looks at all of list side by side.
func (d *Dispatcher) look(ctx context.Context, list []*health.Target) {
	ctx, cancel := context.WithTimeout(ctx, lookWait)
	defer cancel()
	var all sync.WaitGroup
	for _, t := range list {
		all.Go(func() { t.Refresh(ctx, d.Link) })
	}
	all.Wait()
}

// least returns the target of list where a request takes the least time. A cold
// target is left to the one instance that warms it up, as fast as it bears.
func (d *Dispatcher) least(list []*health.Target, unit time.Duration) choice {
	var b choice
	now := time.Now()
	used, slots := 0, 0
	for _, t := range list {
		s := t.Snapshot(now)
		if s.Report.Known {
			requests, n := ahead(s)
			used += requests
			slots += n
		}
		e, ok := Estimate(s, unit, now)
		if !ok || b.target != nil && e >= b.takes || !t.Available(now) {
			continue
		}
		if s.Cold && !(d.Targets.WarmsUp(t) && t.CanWarmUp(now, t.Profile.WarmUpRate*warmUpShare)) {
			continue
		}
		b = choice{target: t, takes: e, sight: s}
	}
	b.load = float64(used) / float64(max(slots, 1))
	return b
}

// reserve reserves a request at t.
func (d *Dispatcher) reserve(now time.Time, t *health.Target) bool {
	return t.Reserve(now, t.Profile.WarmUpRate*warmUpShare)
}

// sample returns at most n of list, drawn by lot.
func sample(list []*health.Target, n int) []*health.Target {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
