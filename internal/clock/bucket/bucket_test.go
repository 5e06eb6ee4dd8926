package bucket_test

import (
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/clock/bucket"
)

// TestBurstAndRate guards against a bucket that allows more than its burst, also after
// a long time without events, or more than its rate after a burst.
func TestBurstAndRate(t *testing.T) {
	const rate, burst = 2, 3
	var b bucket.Bucket
	now := time.Unix(0, 0)
	takeAll := func() (n int) {
		for b.Take(now, rate, burst) {
			n++
		}
		return n
	}
	if n := takeAll(); n != burst {
		t.Errorf("a full bucket allows %d events, want its burst of %d", n, burst)
	}
	now = now.Add(time.Second)
	if !b.HasToken(now, rate, burst) {
		t.Error("HasToken is false a second after the bucket was emptied, want true")
	}
	if n := takeAll(); n != rate {
		t.Errorf("%d events a second after the bucket was emptied, want its rate of %d", n, rate)
	}
	now = now.Add(time.Hour)
	if n := takeAll(); n != burst {
		t.Errorf("%d events after an hour, want no more than the burst of %d", n, burst)
	}
}
