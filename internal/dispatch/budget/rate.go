package budget

import (
	"sync"
	"time"
)

// Rate bounds events to a number a second, without any saved up beyond one. Its
// zero value is ready.
type Rate struct {
	mu sync.Mutex
	// last is when the last event was taken.
	last time.Time
}

// Take takes one event at the instant now, or returns false where it would come
// sooner after the last one than perSecond allows.
func (r *Rate) Take(now time.Time, perSecond float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready(now, perSecond) {
		return false
	}
	r.last = now
	return true
}

// Ready returns whether Take would take an event.
func (r *Rate) Ready(now time.Time, perSecond float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready(now, perSecond)
}

func (r *Rate) ready(now time.Time, perSecond float64) bool {
	if perSecond <= 0 {
		return false
	}
	gap := time.Duration(float64(time.Second) / perSecond)
	return r.last.IsZero() || now.Sub(r.last) >= gap
}
