package bucket_test

import (
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/clock/bucket"
)

// TestBurstAndRate shows that a burst may happen at once, and then as much as the rate
// lets in, however long nothing happened before.
func TestBurstAndRate(t *testing.T) {
	const rate, burst = 2, 3
	var b bucket.Bucket
	now := time.Unix(0, 0)
	taken := func() (n int) {
		for b.Take(now, rate, burst) {
			n++
		}
		return n
	}
	if n := taken(); n != burst {
		t.Errorf("%d events at once, want %d", n, burst)
	}
	now = now.Add(time.Second)
	if !b.Has(now, rate, burst) {
		t.Error("nothing came in within a second")
	}
	if n := taken(); n != rate {
		t.Errorf("%d events after a second, want %d", n, rate)
	}
	now = now.Add(time.Hour)
	if n := taken(); n != burst {
		t.Errorf("%d events after an hour, want %d", n, burst)
	}
}
