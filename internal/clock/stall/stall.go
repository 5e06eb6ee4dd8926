// Package stall notices that this process was kept from running, as by SIGSTOP or by a
// machine without a free processor. What the process reads after that may have waited for
// as long.
package stall

import (
	"context"
	"sync"
	"time"

	"github.com/snipefront/snipefront/internal/clock/timer"
)

const (
	// interval is the time between two ticks.
	interval = 50 * time.Millisecond
	// minLength is the length from which a stall counts. Callers wait for a second, so what
	// has waited for less still has its caller.
	minLength = 900 * time.Millisecond
	// settleTime is the time after a stall in which the process reads what has waited.
	settleTime = time.Second
)

// Detector notices stalls while it runs, by the steady clock. Its zero value is ready to use.
type Detector struct {
	mu sync.Mutex
	// ticked is the instant of the last tick. It is zero unless the Detector runs.
	ticked time.Time
	// ended is the end of the last stall.
	ended time.Time
}

// Run ticks until ctx ends.
func (d *Detector) Run(ctx context.Context) error {
	d.Tick(time.Now())
	return timer.Every(ctx, interval, func(time.Time) { d.Tick(time.Now()) })
}

// Tick records that the process runs at the instant now.
func (d *Detector) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ticked.IsZero() && now.Sub(d.ticked) >= minLength {
		d.ended = now
	}
	d.ticked = now
}

// Recent reports whether a stall ends at the instant now, or has ended within settleTime
// before.
func (d *Detector) Recent(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ticked.IsZero() && now.Sub(d.ticked) >= minLength {
		return true
	}
	return !d.ended.IsZero() && now.Sub(d.ended) < settleTime
}
