package member

import (
	"sync/atomic"
	"time"
)

// Lease is the right of this instance to dispatch, read on the path of each
// request. Its zero value is lapsed.
type Lease struct {
	// until is the monotonic instant of the lapse, as a duration since base.
	until atomic.Int64
}

// base is what instants are measured from, so that they fit an atomic integer
// and stay on the monotonic clock.
var base = time.Now()

// Held returns whether the lease is unexpired at the instant now.
func (l *Lease) Held(now time.Time) bool {
	return int64(now.Sub(base)) < l.until.Load()
}

// Left returns the time until the lapse, or zero.
func (l *Lease) Left(now time.Time) time.Duration {
	return max(0, time.Duration(l.until.Load()-int64(now.Sub(base))))
}

// extend moves the lapse to until, never backwards.
func (l *Lease) extend(until time.Time) {
	l.until.Store(max(l.until.Load(), int64(until.Sub(base))))
}

// drop ends the lease.
func (l *Lease) drop() {
	l.until.Store(0)
}
