package stall_test

import (
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/clock/stall"
)

// TestStallIsNoticed guards against a process that doesn't know that it stood still: before
// its first tick afterwards, after it, and for as long as it reads what has waited.
func TestStallIsNoticed(t *testing.T) {
	var d stall.Detector
	now := time.Now()
	check := func(when string, want bool) {
		t.Helper()
		if got := d.Recent(now); got != want {
			t.Errorf("%s: a stall is recent: %v, want %v", when, got, want)
		}
	}
	check("before it runs", false)
	for range 10 {
		d.Tick(now)
		now = now.Add(50 * time.Millisecond)
	}
	check("while it runs", false)
	now = now.Add(700 * time.Millisecond)
	check("in a gap shorter than callers wait", false)
	d.Tick(now)
	check("after that gap", false)
	now = now.Add(4 * time.Second)
	check("before the first tick after 4 s", true)
	d.Tick(now)
	check("at the first tick", true)
	for range 18 {
		now = now.Add(50 * time.Millisecond)
		d.Tick(now)
	}
	check("0.9 s later", true)
	for range 4 {
		now = now.Add(50 * time.Millisecond)
		d.Tick(now)
	}
	check("1.1 s later", false)
}
