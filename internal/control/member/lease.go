package member

import (
	"sync/atomic"
	"time"
)

// Lease is the right of this instance to dispatch requests. It is checked for
// each request. Its zero value is an expired lease.
type Lease struct {
	// expiry is the instant at which the lease expires, with its monotonic
	// reading, or nil.
	expiry atomic.Pointer[time.Time]
}

// Held reports whether the lease is unexpired at the instant now.
func (l *Lease) Held(now time.Time) bool {
	expiry := l.expiry.Load()
	return expiry != nil && now.Before(*expiry)
}

// Remaining returns the time until the lease expires, or zero if it has expired.
func (l *Lease) Remaining(now time.Time) time.Duration {
	expiry := l.expiry.Load()
	if expiry == nil {
		return 0
	}
	return max(0, expiry.Sub(now))
}

// extend sets the expiry to until, unless it is already later. Only one goroutine
// calls it.
func (l *Lease) extend(until time.Time) {
	if expiry := l.expiry.Load(); expiry == nil || expiry.Before(until) {
		l.expiry.Store(&until)
	}
}

// drop ends the lease.
func (l *Lease) drop() {
	l.expiry.Store(nil)
}
