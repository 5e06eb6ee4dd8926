package budget

import (
	"sync"
	"time"
)

// Rate limits events to a number per second, without bursts. Its zero value is ready
// for use.
type Rate struct {
	mu sync.Mutex
	// last is when the last event was taken.
	last time.Time
}

// Take takes one event at the time now. It returns false if less than 1/perSecond
// seconds have passed since the last event, or if perSecond isn't positive.
func (r *Rate) Take(now time.Time, perSecond float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready(now, perSecond) {
		return false
	}
	r.last = now
	return true
}

// Ready reports whether Take would take an event.
func (r *Rate) Ready(now time.Time, perSecond float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready(now, perSecond)
}

func (r *Rate) ready(now time.Time, perSecond float64) bool {
	if perSecond <= 0 {
		return false
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	return r.last.IsZero() || now.Sub(r.last) >= interval
}
