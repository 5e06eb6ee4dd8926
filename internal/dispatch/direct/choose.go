package direct

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/health"
)

const (
	// probeWait is the longest wait for the answers to the load probes before a
	// choice.
	probeWait = 25 * time.Millisecond
	// maxLocalProbes and maxRemoteProbes are the most targets that are probed for
	// one choice, in the local data centre and in remote ones.
	maxLocalProbes  = 6
	maxRemoteProbes = 4
	// goodEnoughFactor is the multiple of the base latency up to which the expected
	// latency at a local target is good enough to skip the probes of remote ones.
	goodEnoughFactor = 1.35
	// maxQueued is the number of requests that may wait at a target while its slots
	// are taken. The target may have no queue space for more.
	maxQueued = 2
	// choiceInterval is the time between the choices for a request that waits for a
	// target.
	choiceInterval = 25 * time.Millisecond
	// lowLoad is the load, in requests per slot, up to which a request that may miss
	// its latency goal gets any free slot or queue space.
	lowLoad = 0.4
	// warmUpShare is the part of its warm-up rate at which a cold target is sent
	// requests.
	warmUpShare = 0.9
)

// choice is the target with the lowest expected latency for a request. Its target is
// nil if no target can accept the request.
type choice struct {
	target *health.Target
	// estimate is the expected latency of the request at the target.
	estimate time.Duration
	snapshot health.Snapshot
	// load is the number of running and waiting requests divided by that of slots,
	// over all targets that were compared and report their load.
	load float64
	// pauseWait is the Retry-After of the call if all targets are unavailable and at least one
	// is paused, and zero otherwise.
	pauseWait time.Duration
	// choices is the number of choices that it took to find the target.
	choices int
	// quotaWait is the time after which the call may come back if it was refused for the
	// rate limits of all targets, and zero otherwise.
	quotaWait time.Duration
	// refusal is set if the call may begin no further attempt.
	refusal *snipefront.Error
}

// choose chooses the target with the lowest expected latency and reserves c there. As
// long as c would miss its latency goal everywhere but could meet it at an idle target,
// choose waits and tries again. Two kinds of requests that may miss their goal are sent
// if mayMissGoal allows it: those that have waited and would meet the goal without the
// safety margin of the estimate, and those that can't meet the goal any more. A request that
// yields to more important ones waits, too. choose returns false if no target can accept c in
// time, or if c may begin no further attempt.
func (d *Dispatcher) choose(ctx context.Context, c *Call, avoid map[string]bool) (choice, bool) {
	base := d.estimator.baseLatency(c)
	turn := turn{dispatcher: d, call: c}
	defer turn.end()
	if d.waiting.HasWaiting(c.Service, c.Rank) && !turn.await(ctx, 0, base) {
		return choice{}, false
	}
	for n := 1; len(d.Targets.Candidates(c.Service)) > 0; n++ {
		if e := c.refusal(); e != nil {
			return choice{refusal: e}, false
		}
		best, ok := d.bestTarget(ctx, c, base, avoid)
		best.choices = n
		waited := n > 1
		now := time.Now()
		meetsGoal := ok && !now.Add(best.estimate).After(c.Goal)
		likelyMeetsGoal := ok && waited && !now.Add(d.estimator.medianLatency(c, best.estimate)).After(c.Goal)
		goalReachable := now.Add(base).Before(c.Goal)
		lateAllowed := ok && (likelyMeetsGoal || !goalReachable) && d.mayMissGoal(c, best)
		yields := ok && d.yields(c, best)
		if (meetsGoal || lateAllowed) && !yields && d.reserve(now, c, base, best.target) {
			d.estimator.recordStart(c, meetsGoal)
			turn.served = true
			return best, true
		}
		if wait, all := d.pauseWait(now, c.Service); all {
			d.Logger.Info("all targets are unavailable or paused", "request", c.ID, "route", c.Route, "service", c.Service, "wait", wait)
			return choice{pauseWait: wait}, false
		}
		if wait, limited := d.quotaWait(now, c, base, avoid); limited && now.Add(wait).Add(base).After(c.Goal) {
			d.Logger.Info("rate limits of all targets are used up", "request", c.ID, "route", c.Route, "service", c.Service, "rank", c.Rank, "goalIn", time.Until(c.Goal), "wait", wait)
			return choice{quotaWait: wait}, false
		}
		if !goalReachable || !turn.await(ctx, d.choicePause(now, c, best, yields), base) {
			d.Logger.Info("no target available in time", "request", c.ID, "route", c.Route, "service", c.Service, "goalIn", time.Until(c.Goal), "baseLatency", base,
				"best", best.targetName(), "estimated", best.estimate, "load", best.snapshot)
			return choice{}, false
		}
	}
	return choice{}, false
}

// mayMissGoal reports whether c may be sent to the chosen target although it may miss
// its latency goal. It may if the load is low or the target stays within busyShare.
// Otherwise the target needs a free slot and the workload of c needs late credit,
// which limits such requests in proportion to those expected to meet their goal.
func (d *Dispatcher) mayMissGoal(c *Call, chosen choice) bool {
	return chosen.load <= lowLoad || staysBelowBusy(chosen.snapshot) || hasFreeSlot(chosen.snapshot) && d.estimator.hasLateCredit(c)
}

// targetName returns the name of the chosen target, or an empty string if there is
// none.
func (c choice) targetName() string {
	if c.target == nil {
		return ""
	}
	return c.target.Server.Name
}

// bestTarget probes the targets of c and returns the one with the lowest expected
// latency, a local one if that is good enough. It returns false if none can accept
// the request.
func (d *Dispatcher) bestTarget(ctx context.Context, c *Call, base time.Duration, avoid map[string]bool) (choice, bool) {
	local, remote := d.eligible(c.Service, avoid)
	if best := d.fastest(c, d.lightlyLimited(c, local, base), base); best.isGoodEnough(base) {
		return best, true
	}
	preferred, others := split(local)
	near := sample(preferred, maxLocalProbes)
	best := d.compare(ctx, c, near, base)
	if slow, ok := d.slowButInTime(c, near, base, best); ok {
		return slow, true
	}
	if best.isGoodEnough(base) {
		d.stayed(c, best)
		return best, true
	}
	if len(others) > 0 {
		near = append(near, sample(others, maxLocalProbes)...)
		if best = d.compare(ctx, c, near, base); best.isGoodEnough(base) {
			d.stayed(c, best)
			return best, true
		}
	}
	if d.Crossing != nil {
		return d.bestCrossing(ctx, c, best, near, remote, base)
	}
	remote = sample(remote, maxRemoteProbes)
	d.probeAll(ctx, remote)
	best = d.fastest(c, append(near, remote...), base)
	return best, best.target != nil
}

// compare refreshes the load reports of the targets of list and returns the one with the lowest
// expected latency.
func (d *Dispatcher) compare(ctx context.Context, c *Call, list []*health.Target, base time.Duration) choice {
	if d.estimator.isShort(c) || c.canYield {
		d.probeInTurn(ctx, c, list, base)
	} else {
		d.probeAll(ctx, list)
	}
	return d.fastest(c, list, base)
}

// split returns the preferred targets of list and the others.
func split(list []*health.Target) (preferred, others []*health.Target) {
	for _, t := range list {
		if t.Preferred {
			preferred = append(preferred, t)
		} else {
			others = append(others, t)
		}
	}
	return preferred, others
}

// isGoodEnough reports whether the expected latency is so low that no other targets need
// to be compared.
func (c choice) isGoodEnough(base time.Duration) bool {
	return c.target != nil && float64(c.estimate) <= goodEnoughFactor*float64(base)
}

// eligible returns the local and the remote targets of a service, without those in
// avoid and those in a backoff after a failed contact.
func (d *Dispatcher) eligible(service string, avoid map[string]bool) (local, remote []*health.Target) {
	now := time.Now()
	for _, t := range d.Targets.Candidates(service) {
		switch {
		case avoid[t.Server.Name] || !t.Available(now):
		case t.Near:
			local = append(local, t)
		default:
			remote = append(remote, t)
		}
	}
	return local, remote
}

// probeAll refreshes the load reports of all targets of list concurrently, as far as the
// limit on probes allows. It waits for at most probeWait.
func (d *Dispatcher) probeAll(ctx context.Context, list []*health.Target) {
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	var all sync.WaitGroup
	for _, t := range list {
		all.Go(func() { t.Refresh(ctx, d.Link, d.mayProbe) })
	}
	all.Wait()
}

// mayProbe takes one load probe from the limit of all instances.
func (d *Dispatcher) mayProbe() bool { return d.Probes.Take(time.Now()) }

// fastest returns the target of list with the lowest expected latency. It skips a target
// whose rate limit leaves no request for c, and a cold target unless this instance warms
// it up and the warm-up rate allows a request now.
func (d *Dispatcher) fastest(c *Call, list []*health.Target, base time.Duration) choice {
	var best choice
	now := time.Now()
	priority := c.priority(now, base)
	occupied, slots := 0, 0
	for _, t := range list {
		s := t.Snapshot(now)
		if s.Report.Known {
			requests, n := occupancy(s)
			occupied += requests
			slots += n
		}
		estimate, ok := Estimate(s, base, now)
		if !ok || best.target != nil && estimate >= best.estimate || !t.Available(now) {
			continue
		}
		if !t.HasQuota(now, priority) {
			t.SkipForQuota()
			continue
		}
		if s.Cold && !(d.Targets.WarmsUp(t) && t.CanWarmUp(now, t.Profile.WarmUpRate*warmUpShare)) {
			continue
		}
		best = choice{target: t, estimate: estimate, snapshot: s}
	}
	best.load = float64(occupied) / float64(max(slots, 1))
	return best
}

// reserve reserves c at t and reports whether t may receive it.
func (d *Dispatcher) reserve(now time.Time, c *Call, base time.Duration, t *health.Target) bool {
	return t.Reserve(now, t.Profile.WarmUpRate*warmUpShare, c.priority(now, base))
}

// sample returns at most n targets of list, chosen uniformly at random. It reorders
// list.
func sample(list []*health.Target, n int) []*health.Target {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
