package direct

import (
	"sync"
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/look"
)

const (
	// fullShare is the share of slots in use beyond which work takes longer, and
	// fullFactor how much longer.
	fullShare  = 0.8
	fullFactor = 1.5
	// coldFactor is how much longer work takes at a cold target.
	coldFactor = 2
	// faultFactor is how much longer a request takes, in effect, at a target that
	// fails all.
	faultFactor = 8
	// illFactor is the same for a target that says it is ill. It may be wrong.
	illFactor = 4
	// unknownFactor is the same for a target without a fresh report.
	unknownFactor = 3
	// farCost is the time that leaving the data centre must gain.
	farCost = 20 * time.Millisecond
	// staleAfter is the age from which a report is no longer one.
	staleAfter = 200 * time.Millisecond
	// unitShare is the part of a call's goal that its work is taken to last where
	// nothing is known of it.
	unitShare = 0.4
	// unitStep is the factor by which one answer moves the usual time of work.
	unitStep = 1.04
)

// Estimate returns how long a request would take at a target, where unit is the
// usual time of its work. It returns false where the target has no room.
func Estimate(s look.Sight, unit time.Duration, now time.Time) (time.Duration, bool) {
	work := float64(unit) * (1 + s.Faults*faultFactor)
	if !s.Report.At.IsZero() && !s.Report.Healthy {
		work *= illFactor
	}
	if s.Cold {
		work *= coldFactor
	}
	slots := max(s.Slots, 1)
	ahead := s.Running
	if r := s.Report; r.Known && now.Sub(r.At) <= staleAfter {
		slots = r.Slots
		ahead = r.Running + r.Waiting + s.Sent
		if r.Pace > 0 {
			work *= r.Pace
		}
	} else {
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

// hasFree returns whether a target has a slot free that no one else needs.
func hasFree(s look.Sight) bool {
	r := s.Report
	return r.Known && float64(r.Running+r.Waiting+s.Sent+1) <= fullShare*float64(r.Slots)
}

// units learns the usual time of work of each service.
type units struct {
	mu    sync.Mutex
	known map[string]time.Duration
}

// of returns the usual time of work of c.
func (u *units) of(c *Call) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if v, ok := u.known[c.Service]; ok {
		return v
	}
	return max(time.Millisecond, time.Duration(unitShare*float64(time.Until(c.Goal))))
}

// learn takes in that c took the given time where takes was estimated. The usual
// time goes up or down by a fixed factor, so that no single answer moves it far.
func (u *units) learn(c *Call, taken, takes time.Duration) {
	unit := u.of(c)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.known == nil {
		u.known = map[string]time.Duration{}
	}
	if taken > takes {
		u.known[c.Service] = time.Duration(float64(unit) * unitStep)
		return
	}
	u.known[c.Service] = max(time.Millisecond, time.Duration(float64(unit)/unitStep))
}
