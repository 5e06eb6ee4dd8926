package direct

import (
	"math/rand/v2"
	"time"
)

// returnSpread is the largest share of a wait for paused targets by which a caller is asked
// to come back later than the first of them, so that not all come at the same moment.
const returnSpread = 0.25

// pauseWait returns the time after which a caller may come back if all targets of the
// service are away and one at least has asked for a pause, and reports whether that is so.
// It is a little longer than the time until the first of them may be used again.
func (d *Dispatcher) pauseWait(now time.Time, service string) (wait time.Duration, all bool) {
	var first time.Duration
	paused := false
	for _, t := range d.Targets.Candidates(service) {
		if t.Available(now) {
			return 0, false
		}
		left := t.AwayLeft(now)
		if first == 0 || left < first {
			first = left
		}
		paused = paused || t.PauseLeft(now) > 0
	}
	if !paused {
		return 0, false
	}
	return max(first, retryAfter) + time.Duration(returnSpread*rand.Float64()*float64(first)), true
}
