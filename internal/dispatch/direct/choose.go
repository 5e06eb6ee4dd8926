package direct

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/look"
)

const (
	// lookWait bounds the wait for the answers to looks.
	lookWait = 25 * time.Millisecond
	// maxNear and maxFar are the most targets that are looked at for one request, in
	// the own data centre and beyond it.
	maxNear = 6
	maxFar  = 6
	// goodCost is the cost up to which a near target is taken without a look at
	// others. An idle one has the cost 1.
	goodCost = 1.35
	// farCost is the price of leaving the data centre.
	farCost = 0.3
	// fullShare is the share of slots in use from which work takes longer, and
	// fullFactor how much longer.
	fullShare  = 0.8
	fullFactor = 1.3
	// coldFactor is how much longer work takes at a cold target.
	coldFactor = 2
	// faultCost is the price of a target that fails all requests.
	faultCost = 8
	// illCost is the price of a target that says it is ill. It may be wrong.
	illCost = 6
	// unknownCost is the price of a target of which no fresh report came.
	unknownCost = 3
	// staleAfter is the age from which a report is no longer one.
	staleAfter = 200 * time.Millisecond
	// spareRoom is how many requests beyond its slots a target is given. More may
	// find no place in its queue.
	spareRoom = 2
	// warmUpShare is the part of what a cold target bears that it is sent.
	warmUpShare = 0.9
)

// Cost returns how long a request would take at a target, as a multiple of the
// usual time of work. It is infinite where the target has no room.
func Cost(s look.Sight, now time.Time) float64 {
	r := s.Report
	slots := max(s.Slots, 1)
	if !r.Known || now.Sub(r.At) > staleAfter {
		ahead := float64(s.Running)
		return unknownCost + ahead/float64(slots) + extra(s)
	}
	slots = r.Slots
	ahead := r.Running + r.Waiting + s.Sent
	if ahead >= slots+spareRoom {
		return math.Inf(1)
	}
	pace := r.Pace
	if pace == 0 {
		pace = 1
	}
	if float64(ahead+1) > fullShare*float64(slots) {
		pace *= fullFactor
	}
	if s.Cold {
		pace *= coldFactor
	}
	wait := float64(max(0, ahead+1-slots)) / float64(slots)
	return pace*(1+wait) + extra(s)
}

// extra is the part of the cost that does not depend on the load.
func extra(s look.Sight) float64 {
	c := s.Faults * faultCost
	if !s.Report.At.IsZero() && !s.Report.Healthy {
		c += illCost
	}
	if !s.Near {
		c += farCost
	}
	return c
}

// choice is a target with a request reserved at it.
type choice struct {
	target *look.Target
	cost   float64
	// asked is the number of targets that were looked at.
	asked int
}

// choose reserves a request at the target where it takes the least time. It
// returns false where no target has room. No name in avoid is taken.
func (d *Dispatcher) choose(ctx context.Context, service string, avoid map[string]bool) (choice, bool) {
	near, far := d.split(service, avoid)
	near = sample(near, maxNear)
	c, ok := d.best(ctx, near, goodCost)
	if ok {
		return c, true
	}
	far = sample(far, maxFar)
	d.look(ctx, far)
	c, ok = d.best(ctx, append(near, far...), math.MaxFloat64)
	return c, ok
}

// split returns the targets of a service that may be tried, those of the own data
// centre apart.
func (d *Dispatcher) split(service string, avoid map[string]bool) (near, far []*look.Target) {
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
func (d *Dispatcher) look(ctx context.Context, list []*look.Target) {
	ctx, cancel := context.WithTimeout(ctx, lookWait)
	defer cancel()
	var all sync.WaitGroup
	for _, t := range list {
		all.Go(func() { t.Look(ctx, d.Link) })
	}
	all.Wait()
}

// best looks at list and reserves a request at the target of the least cost, at
// most limit.
func (d *Dispatcher) best(ctx context.Context, list []*look.Target, limit float64) (choice, bool) {
	d.look(ctx, list)
	taken := map[*look.Target]bool{}
	for range list {
		now := time.Now()
		var c choice
		for _, t := range list {
			cost := Cost(t.Sight(now), now)
			if taken[t] || cost > limit || c.target != nil && cost >= c.cost || !t.Available(now) {
				continue
			}
			c = choice{target: t, cost: cost, asked: len(list)}
		}
		if c.target == nil {
			return choice{}, false
		}
		if d.reserve(now, c.target) {
			return c, true
		}
		taken[c.target] = true
	}
	return choice{}, false
}

// reserve reserves a request at t. A cold target is left to the one instance that
// warms it up.
func (d *Dispatcher) reserve(now time.Time, t *look.Target) bool {
	if t.Sight(now).Cold && !d.Targets.WarmsUp(t) {
		return false
	}
	return t.Reserve(now, t.Profile.WarmUpRate*warmUpShare)
}

// sample returns at most n of list, drawn by lot.
func sample(list []*look.Target, n int) []*look.Target {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
