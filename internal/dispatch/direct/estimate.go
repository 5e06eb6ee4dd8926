package direct

import (
	"sync"
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/health"
)

const (
	// busyShare is the share of slots in use beyond which a backend server is busy
	// and work takes longer, and busyFactor how much longer.
	busyShare  = 0.8
	busyFactor = 1.7
	// coldFactor is how much longer work takes at a cold target.
	coldFactor = 2
	// faultFactor is the penalty for faults: the estimate for a target that fails
	// all requests grows by this multiple of the base latency.
	faultFactor = 8
	// unhealthyFactor is the penalty for a target that reports itself unhealthy. The
	// report may be wrong, so the target is not excluded.
	unhealthyFactor = 2
	// noReportFactor is the penalty for a target that has answered no load probe yet,
	// or whose reported load is older than maxReportAge.
	noReportFactor = 3
	// remotePenalty is added to the expected latency at a remote target, so that a
	// remote target is chosen only if it is at least this much faster than a local
	// one.
	remotePenalty = 20 * time.Millisecond
	// shortGoalFactor is the multiple of the typical latency below which a latency goal is
	// short.
	shortGoalFactor = 3
	// maxReportAge is the age beyond which the slowdown factor of a load report
	// counts as unknown.
	maxReportAge = 200 * time.Millisecond
	// initialGoalShare is the part of a request's latency goal that is assumed as
	// the typical latency of its workload before any answer.
	initialGoalShare = 0.3
	// typicalStep is the factor by which one answer changes the typical latency.
	typicalStep = 1.04
	// marginUp and marginDown are the factors by which an answer later or earlier
	// than estimated changes the safety margin. They balance if one answer in seven
	// is later.
	marginUp   = 1.08
	marginDown = 1.013
	// creditPerStart is the late credit that the start of a request earns if the
	// request is expected to meet its latency goal. The start of one that may miss its
	// goal costs 1. maxLateCredit is the upper bound of the credit.
	creditPerStart = 0.6
	maxLateCredit  = 3
	// initialMargin is the safety margin before any answer, maxMargin its upper
	// bound.
	initialMargin = 1.2
	maxMargin     = 2.5
)

// Estimate returns the expected latency of a request at the target with snapshot s.
// The base latency is the one at an idle local target of usual speed. Estimate
// returns false if the target has neither a free slot nor queue space to count on.
func Estimate(s health.Snapshot, base time.Duration, now time.Time) (time.Duration, bool) {
	serviceTime := float64(base) * (1 + s.Faults*faultFactor)
	if !s.Report.At.IsZero() && !s.Report.Healthy {
		serviceTime *= unhealthyFactor
	}
	if s.Cold {
		serviceTime *= coldFactor
	}
	requests, slots := occupancy(s)
	switch r := s.Report; {
	case r.Known && now.Sub(r.At) <= maxReportAge && r.Pace > 0:
		serviceTime *= r.Pace
	case r.At.IsZero() || r.Known && now.Sub(r.At) > maxReportAge:
		serviceTime *= noReportFactor
	}
	if requests >= slots+maxQueued {
		return 0, false
	}
	if float64(requests+1) > busyShare*float64(slots) {
		serviceTime *= busyFactor
	}
	wait := serviceTime * float64(max(0, requests+1-slots)) / float64(slots)
	total := time.Duration(serviceTime + wait)
	if !s.Near {
		total += remotePenalty
	}
	return total, true
}

// occupancy returns the number of requests that run or wait at a target, and its
// slots. If the target does not report its load, the requests are those of this
// instance, since no others are known.
func occupancy(s health.Snapshot) (requests, slots int) {
	if r := s.Report; r.Known {
		return r.Running + r.Waiting + s.Sent, r.Slots
	}
	return s.Running, max(s.Slots, 1)
}

// hasFreeSlot reports whether a target has a free slot, by its last load report and
// the requests sent since. It is false if the target has answered no load probe yet.
func hasFreeSlot(s health.Snapshot) bool {
	requests, slots := occupancy(s)
	return !s.Report.At.IsZero() && requests < slots
}

// staysBelowBusy reports whether a target with one more request stays within
// busyShare. It is false if the target has answered no load probe yet.
func staysBelowBusy(s health.Snapshot) bool {
	requests, slots := occupancy(s)
	return !s.Report.At.IsZero() && float64(requests+1) <= busyShare*float64(slots)
}

// estimator learns the typical latency of each workload and the safety margin that
// its estimates need. Its zero value is ready for use. It is safe for concurrent
// use.
type estimator struct {
	mu         sync.Mutex
	byWorkload map[workload]*latencyStats
}

// workload is a class of requests that take similar time: those of one route to one
// service.
type workload struct{ route, service string }

// latencyStats holds what the estimator has learned about a workload.
type latencyStats struct {
	// typical is the moving median of the latency at an idle target of usual speed.
	typical time.Duration
	// margin is the safety margin: the factor on estimates that makes few answers
	// later than estimated.
	margin float64
	// lateCredit is the number of requests that may be started while slots are short
	// although they may miss their latency goal.
	lateCredit float64
	// slowed is the number of requests whose target became slow, and hedgeWins the moving
	// share of them that the second target answered first.
	slowed    int
	hedgeWins float64
}

func (c *Call) workload() workload { return workload{route: c.Route, service: c.Service} }

// baseLatency returns the latency from which estimates for c start: the typical
// latency of its workload times the safety margin.
func (e *estimator) baseLatency(c *Call) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.statsOf(c)
	return time.Duration(s.margin * float64(s.typical))
}

// typicalLatency returns the latency of c at an idle local target of usual speed that half
// of the answers exceed.
func (e *estimator) typicalLatency(c *Call) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.statsOf(c).typical
}

// isShort reports whether the latency goal of c leaves no time for an attempt at a slow
// target.
func (e *estimator) isShort(c *Call) bool {
	return time.Until(c.Goal) < shortGoalFactor*e.typicalLatency(c)
}

// statsOf returns the statistics of the workload of c. The caller must hold the
// lock.
func (e *estimator) statsOf(c *Call) *latencyStats {
	s := e.byWorkload[c.workload()]
	if s == nil {
		s = &latencyStats{typical: time.Duration(initialGoalShare * float64(time.Until(c.Goal))), margin: initialMargin, lateCredit: maxLateCredit, hedgeWins: initialWins}
		s.typical = max(time.Millisecond, s.typical)
		if e.byWorkload == nil {
			e.byWorkload = map[workload]*latencyStats{}
		}
		e.byWorkload[c.workload()] = s
	}
	return s
}

// medianLatency returns the estimate without the safety margin, which is the latency
// that half of the answers exceed.
func (e *estimator) medianLatency(c *Call, estimate time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(estimate) / e.statsOf(c).margin)
}

// hasLateCredit reports whether the late credit of the workload of c allows c to be
// started although it may miss its latency goal.
func (e *estimator) hasLateCredit(c *Call) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.statsOf(c).lateCredit >= 1
}

// recordStart raises the late credit if c, which is started, is expected to meet its
// latency goal, and lowers it otherwise.
func (e *estimator) recordStart(c *Call, meetsGoal bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.statsOf(c)
	if meetsGoal {
		s.lateCredit = min(maxLateCredit, s.lateCredit+creditPerStart)
		return
	}
	s.lateCredit = max(0, s.lateCredit-1)
}

// recordLatency records that c was answered after the time taken, for which the
// estimate was expected. The typical latency and the margin change by fixed factors,
// so that no single answer moves them far.
func (e *estimator) recordLatency(c *Call, taken, estimate time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.statsOf(c)
	if float64(taken)*s.margin > float64(estimate) {
		s.typical = time.Duration(float64(s.typical) * typicalStep)
	} else {
		s.typical = max(time.Millisecond, time.Duration(float64(s.typical)/typicalStep))
	}
	if taken > estimate {
		s.margin = min(maxMargin, s.margin*marginUp)
	} else {
		s.margin = max(1, s.margin/marginDown)
	}
}
