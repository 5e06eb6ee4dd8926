package direct

import (
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/notice"
)

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
	return notice.RetryAfter(max(first, retryAfter)), true
}
