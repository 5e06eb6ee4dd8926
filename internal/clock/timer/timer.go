// Package timer waits for a duration and calls functions at an interval, until a
// context ends.
package timer

import (
	"context"
	"time"
)

// Sleep waits for d. It reports whether d passed before ctx ended.
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

// Every calls f once per interval with the time of the tick. It drops ticks that occur
// while f runs. It returns nil when ctx ends.
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
