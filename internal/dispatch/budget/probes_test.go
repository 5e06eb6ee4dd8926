package budget_test

import (
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/budget"
)

// takeAll takes all probes that may be sent now and returns how many those were.
func takeAll(p *budget.Probes, now time.Time) (n int) {
	for p.Take(now) {
		n++
	}
	return n
}

// TestProbesStartWithNothing guards against instances that add to the limit each time
// they start.
func TestProbesStartWithNothing(t *testing.T) {
	p := &budget.Probes{PerSecond: 60}
	now := time.Now()
	p.SetFleet(now, 10, 5)
	if n := takeAll(p, now); n != 0 {
		t.Errorf("%d probes at the start, want none", n)
	}
}

// TestProbesFollowTheFleet guards against a limit that doesn't grow with the number of
// backend servers, doesn't shrink with that of instances, or lets unsent probes add up for
// as long as it is calm.
func TestProbesFollowTheFleet(t *testing.T) {
	p := &budget.Probes{PerSecond: 60}
	now := time.Now()
	p.SetFleet(now, 10, 5)
	now = now.Add(time.Second)
	if n := takeAll(p, now); n > 120 || n < 90 {
		t.Errorf("%d probes in a second, want somewhat less than the part of 120", n)
	}
	p.SetFleet(now, 10, 50)
	now = now.Add(time.Second)
	if n := takeAll(p, now); n > 12 || n < 9 {
		t.Errorf("%d probes in a second with ten times the instances, want somewhat less than the part of 12", n)
	}
	now = now.Add(time.Hour)
	if n := takeAll(p, now); n > 120 {
		t.Errorf("%d probes at once after an hour without any, want those of 10 s at most", n)
	}
}
