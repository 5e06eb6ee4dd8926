package member

import (
	"sync/atomic"
	"time"
)

// Lease is the right of this instance to dispatch, read on the path of each
// request. Its zero value is lapsed.
type Lease struct {
	// until is the instant of the lapse with its monotonic reading, or nil.
	until atomic.Pointer[time.Time]
}

// Held returns whether the lease is unexpired at the instant now.
func (l *Lease) Held(now time.Time) bool {
	u := l.until.Load()
	return u != nil && now.Before(*u)
}

// Left returns the time until the lapse, or zero.
func (l *Lease) Left(now time.Time) time.Duration {
	u := l.until.Load()
	if u == nil {
		return 0
	}
	return max(0, u.Sub(now))
}

// extend moves the lapse to until, never backwards. Only one goroutine calls it.
func (l *Lease) extend(until time.Time) {
	if u := l.until.Load(); u == nil || u.Before(until) {
		l.until.Store(&until)
	}
}

// drop ends the lease.
func (l *Lease) drop() {
	l.until.Store(nil)
}
