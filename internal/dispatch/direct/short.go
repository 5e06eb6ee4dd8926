package direct

import (
	"context"
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/health"
)

const (
	// firstProbes is the number of targets that are probed first for a request with a short
	// goal.
	firstProbes = 2
	// promptFactor is the multiple of the base latency up to which a target is prompt.
	promptFactor = 1.1
	// checkShare is the part of the typical latency after which the target of a request with a
	// short goal is probed again.
	checkShare = 0.45
	// slowedFactor is the multiple of the slowdown factor at the choice from which a target has
	// become slow.
	slowedFactor = 1.5
	// minHedgeWins is the share of winning hedges, among those of requests at slowed targets, below
	// which such hedges are made rarely: requests that run already aren't slowed then. winWeight
	// is the weight of one hedge in the moving share, which begins at initialWins.
	minHedgeWins = 0.3
	winWeight    = 0.1
	initialWins  = 0.6
	// rareHedge is the number of requests at slowed targets of which one is hedged while hedges
	// seldom win.
	rareHedge = 10
)

// probeInTurn refreshes the load reports of the targets of list, a few at first and the rest
// if none of these is prompt. It returns as soon as a prompt one has answered: the wait for
// the others, and their processor time, would cost more than a better choice gains.
func (d *Dispatcher) probeInTurn(ctx context.Context, c *Call, list []*health.Target, base time.Duration) {
	first := min(firstProbes, len(list))
	if !d.probeUntilPrompt(ctx, c, list[:first], base) {
		d.probeUntilPrompt(ctx, c, list[first:], base)
	}
}

// probeUntilPrompt refreshes the load reports of all targets of list concurrently until a
// prompt one has answered, and reports whether one has. It waits for at most probeWait.
func (d *Dispatcher) probeUntilPrompt(ctx context.Context, c *Call, list []*health.Target, base time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	refreshed := make(chan *health.Target, len(list))
	for _, t := range list {
		go func() {
			t.Refresh(ctx, d.Link, d.mayProbe)
			refreshed <- t
		}()
	}
	for range list {
		if t := <-refreshed; d.isPrompt(c, t, base) {
			return true
		}
	}
	return false
}

// isPrompt reports whether t is known to run c at once and at usual speed.
func (d *Dispatcher) isPrompt(c *Call, t *health.Target, base time.Duration) bool {
	now := time.Now()
	s := t.Snapshot(now)
	estimate, ok := Estimate(s, base, now)
	return ok && s.Report.Known && !s.Cold && float64(estimate) <= promptFactor*float64(base) && t.Available(now) && t.HasQuota(now, c.priority(now, base))
}

// slownessCheck returns a timer that fires when the target of an attempt that begins now is to
// be probed again, to find out whether it has become slow, and a channel for the result. The
// channel is nil, and the timer fires after an hour, if c isn't hedged for slowness.
func (d *Dispatcher) slownessCheck(c *Call) (*time.Timer, chan bool) {
	check := time.NewTimer(time.Hour)
	if !c.Idempotent || !d.estimator.isShort(c) {
		return check, nil
	}
	after := time.Duration(checkShare * float64(d.estimator.typicalLatency(c)))
	latest := time.Until(c.Goal) - d.estimator.typicalLatency(c) - probeWait
	if latest > 0 {
		check.Reset(min(after, latest))
	}
	return check, make(chan bool, 1)
}

// hasSlowed probes the target of an attempt that began at the given time and reports whether
// it has become so slow that c will probably miss its latency goal there. It may have become
// slow at any time since the attempt began, so half of that time counts as slow.
func (d *Dispatcher) hasSlowed(ctx context.Context, c *Call, chosen choice, begun time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	chosen.target.Refresh(ctx, d.Link, d.mayProbe)
	before, now := chosen.snapshot.Report, chosen.target.Snapshot(time.Now()).Report
	slowdown := now.Pace / max(1, before.Pace)
	if !now.Known || !before.Known || !now.At.After(before.At) || slowdown < slowedFactor {
		return false
	}
	elapsed := float64(time.Since(begun))
	done := elapsed/2 + elapsed/2/slowdown
	left := max(0, float64(d.estimator.medianLatency(c, chosen.estimate))-done) * slowdown
	return time.Now().Add(time.Duration(left)).After(c.Goal)
}

// mayHedgeSlow reports whether c, whose target has become slow, may be hedged.
func (e *estimator) mayHedgeSlow(c *Call) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.statsOf(c)
	s.slowed++
	return s.hedgeWins >= minHedgeWins || s.slowed%rareHedge == 0
}

// recordSlowHedge records whether the second target was the first to answer c, whose first
// target had become slow.
func (e *estimator) recordSlowHedge(c *Call, won bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.statsOf(c)
	s.hedgeWins *= 1 - winWeight
	if won {
		s.hedgeWins += winWeight
	}
}
