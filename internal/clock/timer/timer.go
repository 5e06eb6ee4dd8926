// Package timer waits for a time or for the end of a context, whichever is first.
package timer

import (
	"context"
	"time"
)

// Sleep waits for d and returns false where ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls f at each interval until ctx ends, and then returns nil.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			f(now)
		}
	}
}
