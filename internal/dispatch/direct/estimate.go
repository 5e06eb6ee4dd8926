package direct

import (
	"sync"
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/health"
)

const (
	// fullShare is the share of slots in use beyond which work takes longer, and
	// fullFactor how much longer.
	fullShare  = 0.8
	fullFactor = 1.7
	// coldFactor is how much longer work takes at a cold target.
	coldFactor = 2
	// faultFactor is how much longer a request takes, in effect, at a target that
	// fails all.
	faultFactor = 8
	// illFactor is the same for a target that says it is ill. It may be wrong.
	illFactor = 2
	// unknownFactor is the same for a target without a fresh report.
	unknownFactor = 3
	// farCost is the time that leaving the data centre must gain.
	farCost = 20 * time.Millisecond
	// staleAfter is the age from which a report is no longer one.
	staleAfter = 200 * time.Millisecond
	// usualShare is the part of a call's goal that its work is taken to last where
	// nothing is known of it.
	usualShare = 0.3
	// usualStep is the factor by which one answer moves the usual time of work.
	usualStep = 1.04
	// safetyUp and safetyDown are the factors by which an answer later or sooner
	// than estimated moves the safety factor. They even out where one in seven is later.
	safetyUp   = 1.08
	safetyDown = 1.013
	// lateShare is how many requests that are not sure to meet their goal may be
	// started for each that is, where slots are short, and lateBurst how many at once.
	lateShare = 0.6
	lateBurst = 3
	// firstSafety is the safety factor where nothing is known, maxSafety its bound.
	firstSafety = 1.2
	maxSafety   = 2.5
)

// Estimate returns how long a request would take at a target, where unit is the
// usual time of its work. It returns false where the target has no room.
func Estimate(s health.Snapshot, unit time.Duration, now time.Time) (time.Duration, bool) {
	work := float64(unit) * (1 + s.Faults*faultFactor)
	if !s.Report.At.IsZero() && !s.Report.Healthy {
		work *= illFactor
	}
	if s.Cold {
		work *= coldFactor
	}
	ahead, slots := ahead(s)
	switch r := s.Report; {
	case r.Known && now.Sub(r.At) <= staleAfter && r.Pace > 0:
		work *= r.Pace
	case r.At.IsZero() || r.Known && now.Sub(r.At) > staleAfter:
		work *= unknownFactor
	}
	if ahead >= slots+spareRoom {
		return 0, false
	}
	if float64(ahead+1) > fullShare*float64(slots) {
		work *= fullFactor
	}
	wait := work * float64(max(0, ahead+1-slots)) / float64(slots)
	total := time.Duration(work + wait)
	if !s.Near {
		total += farCost
	}
	return total, true
}

// ahead returns the requests at a target that a further one comes behind, and its
// slots. A target that does not tell its load has at least those of this instance.
func ahead(s health.Snapshot) (requests, slots int) {
	if r := s.Report; r.Known {
		return r.Running + r.Waiting + s.Sent, r.Slots
	}
	return s.Running, max(s.Slots, 1)
}

// hasSlot returns whether a target has a slot free by its last report.
func hasSlot(s health.Snapshot) bool {
	requests, slots := ahead(s)
	return !s.Report.At.IsZero() && requests < slots
}

// hasFree returns whether a target has a slot free that no one else needs.
func hasFree(s health.Snapshot) bool {
	requests, slots := ahead(s)
	return !s.Report.At.IsZero() && float64(requests+1) <= fullShare*float64(slots)
}

// times learns how long the work of each route takes at each service, and how far to
// trust estimates. Its zero value is ready.
type times struct {
	mu    sync.Mutex
	known map[work]*timing
}

// work is a kind of work.
type work struct{ route, service string }

// timing is what is known of a kind of work.
type timing struct {
	// usual is the median time of work at an idle target of the usual pace.
	usual time.Duration
	// safety is the factor on estimates that few answers exceed.
	safety float64
	// late is how many requests may be started that are not sure to meet their goal.
	late float64
}

func (c *Call) work() work { return work{route: c.Route, service: c.Service} }

// unit returns the time of work that estimates for c count with.
func (t *times) unit(c *Call) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.at(c)
	return time.Duration(w.safety * float64(w.usual))
}

// at returns what is known of the work of c. The lock is held.
func (t *times) at(c *Call) *timing {
	w := t.known[c.work()]
	if w == nil {
		w = &timing{usual: time.Duration(usualShare * float64(time.Until(c.Goal))), safety: firstSafety, late: lateBurst}
		w.usual = max(time.Millisecond, w.usual)
		if t.known == nil {
			t.known = map[work]*timing{}
		}
		t.known[c.work()] = w
	}
	return w
}

// median returns the time that half of the requests take, for an estimate that few
// exceed.
func (t *times) median(c *Call, takes time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(float64(takes) / t.at(c).safety)
}

// mayStartLate returns whether requests that are not sure to meet their goal have
// not had their share.
func (t *times) mayStartLate(c *Call) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.at(c).late >= 1
}

// noteStart counts a request that was sent, sure to meet its goal or not.
func (t *times) noteStart(c *Call, sure bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.at(c)
	if sure {
		w.late = min(lateBurst, w.late+lateShare)
		return
	}
	w.late = max(0, w.late-1)
}

// learn takes in that c was answered after the given time where takes was
// estimated. Both parts go up or down by fixed factors, so that no single answer
// moves them far.
func (t *times) learn(c *Call, taken, takes time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.at(c)
	if float64(taken)*w.safety > float64(takes) {
		w.usual = time.Duration(float64(w.usual) * usualStep)
	} else {
		w.usual = max(time.Millisecond, time.Duration(float64(w.usual)/usualStep))
	}
	if taken > takes {
		w.safety = min(maxSafety, w.safety*safetyUp)
	} else {
		w.safety = max(1, w.safety/safetyDown)
	}
}
