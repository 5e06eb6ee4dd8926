package direct

import (
	"math/rand/v2"
	"time"
)

// returnSpread is the largest share by which Retry-After exceeds the time until the first
// paused target is available, so that callers do not all resend at the same moment.
const returnSpread = 0.25

// pauseWait returns the Retry-After of a call if all targets of the service are unavailable
// and at least one of them is paused, and reports whether that is so.
func (d *Dispatcher) pauseWait(now time.Time, service string) (wait time.Duration, all bool) {
	var first time.Duration
	paused := false
	for _, t := range d.Targets.Candidates(service) {
		if t.Available(now) {
			return 0, false
		}
		left := t.UnavailableFor(now)
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
