package direct

import (
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/health"
)

const (
	// headroomLoad is the load, in requests per slot, above which less important requests leave
	// the targets of usual speed to more important ones.
	headroomLoad = 0.45
	// slowReserve is the time that a request must have left at a slow target beyond the
	// expected latency there.
	slowReserve = 75 * time.Millisecond
	// maxChoicePause bounds the time between two choices for a request that yields, and
	// pauseShare is the part of the time that it has left.
	maxChoicePause = 200 * time.Millisecond
	pauseShare     = 0.2
)

// yields reports whether c leaves the chosen target to more important requests for now, since
// free slots are scarce and c has time. c doesn't yield a slow target, which is of no use to
// requests with short goals.
func (d *Dispatcher) yields(c *Call, chosen choice) bool {
	if chosen.load <= lowLoad || !c.canYield {
		return false
	}
	return !staysBelowBusy(chosen.snapshot) || chosen.load > headroomLoad && !isSlow(chosen.snapshot)
}

// slowButInTime returns a target of list that runs slowly, but not too slowly for c. Requests
// that yield go there while free slots are scarce, and leave the targets of usual speed to others.
func (d *Dispatcher) slowButInTime(c *Call, list []*health.Target, base time.Duration, best choice) (choice, bool) {
	if best.load <= lowLoad || !c.canYield {
		return choice{}, false
	}
	now := time.Now()
	for _, t := range list {
		s := t.Snapshot(now)
		estimate, ok := Estimate(s, base, now)
		if !ok || !isSlow(s) || !staysBelowBusy(s) || s.Cold || s.Faults > 0 || !t.Available(now) || !t.HasQuota(now, c.priority(now, base)) {
			continue
		}
		if now.Add(estimate + slowReserve).Before(c.Goal) {
			return choice{target: t, estimate: estimate, snapshot: s, load: best.load}, true
		}
	}
	return choice{}, false
}

// isSlow reports whether a target runs slowly, according to its load report.
func isSlow(s health.Snapshot) bool { return s.Report.Known && s.Report.Pace >= slowedFactor }

// canYield reports whether c, which has just been received, may yield: its service has more
// important requests, and its goal is not short.
func (d *Dispatcher) canYield(c *Call) bool {
	best, ok := d.Targets.BestRank(c.Service)
	return ok && best < c.Rank && !d.estimator.isShort(c)
}

// choicePause returns the time until the next choice for c. A request that yields and has much
// time chooses less often.
func (d *Dispatcher) choicePause(now time.Time, c *Call, chosen choice, yields bool) time.Duration {
	if !yields {
		return choiceInterval
	}
	slack := c.Goal.Sub(now.Add(chosen.estimate))
	return min(maxChoicePause, max(choiceInterval, time.Duration(pauseShare*float64(slack))))
}
