package direct_test

import (
	"slices"
	"testing"
	"time"
)

// The users' rules on further attempts (BUDGET), as these tests count them: touchWindow
// after a request has crashed its third backend server, it reaches backend servers three
// times more at most; three requests at most reach more backend servers than the attempts
// of their route, those that ended not counted; 20 at most are handed more time than their
// caller has left; and in each window the further attempts stay within the limit.
const (
	touchWindow       = 3 * time.Second
	maxLateArrivals   = 3
	maxOverAttempts   = 3
	maxOvertime       = 20
	overtimeTolerance = 500 * time.Millisecond
	routeAttempts     = 2
)

// harmlessLimit bounds the shares of all callers that are refused as quarantined once at
// least though their requests are harmless, and of those of them that are never answered,
// for rare and popular requests. The users' rules name no figures.
type harmlessLimit struct{ rareRefused, popularRefused, rareLost, popularLost float64 }

var (
	usualHarmless = harmlessLimit{rareRefused: 0.005, popularRefused: 0.0005, rareLost: 0.0005}
	// soakHarmless is for days on which most backend servers may be down together, so that
	// callers come back to a fleet that has no room.
	soakHarmless = harmlessLimit{rareRefused: 0.005, popularRefused: 0.005, rareLost: 0.002, popularLost: 0.0005}
)

// checkBudget checks the four rules.
func (f *crashFleet) checkBudget(t *testing.T) {
	t.Helper()
	for fingerprint, at := range f.crashes {
		late := 0
		for _, a := range f.arrivals[fingerprint] {
			if len(at) >= 3 && a.inTouch && a.at > at[2]+touchWindow {
				late++
			}
		}
		t.Logf("request %d crashed %d backend servers, at %v, and reached %d later than %v after the third", fingerprint, len(at), firstOf(at, 8), late, touchWindow)
		if late > maxLateArrivals {
			t.Errorf("request %d reached backend servers %d times later than %v after it crashed the third, want %d at most", fingerprint, late, touchWindow, maxLateArrivals)
		}
	}
	if f.overAttempts > maxOverAttempts {
		t.Errorf("%d requests reached more than %d backend servers", f.overAttempts, routeAttempts)
	}
	if f.overtime > maxOvertime {
		t.Errorf("%d requests had more time left at a backend server than their caller gave them", f.overtime)
	}
	f.checkFurther(t)
}

// checkHarmless checks what harmless requests have suffered from quarantines.
func (f *crashFleet) checkHarmless(t *testing.T, most harmlessLimit) {
	t.Helper()
	h := f.harmless
	t.Logf("harmless requests: %+v", h)
	if float64(h.rareQuarantined) > most.rareRefused*h.total() || float64(h.popularQuarantined) > most.popularRefused*h.total() {
		t.Errorf("%d rare and %d popular of %.0f harmless requests were refused as quarantined, want shares of %.4f and %.4f at most",
			h.rareQuarantined, h.popularQuarantined, h.total(), most.rareRefused, most.popularRefused)
	}
	if float64(h.rareLost) > most.rareLost*h.total() || float64(h.popularLost) > most.popularLost*h.total() {
		t.Errorf("%d rare and %d popular of these were never answered, want shares of %.4f and %.4f at most", h.rareLost, h.popularLost, most.rareLost, most.popularLost)
	}
}

func firstOf(list []time.Duration, n int) []time.Duration { return list[:min(n, len(list))] }

// checkFurther checks the limit on further attempts in each window.
func (f *crashFleet) checkFurther(t *testing.T) {
	t.Helper()
	slices.Sort(f.further)
	for _, from := range f.further {
		n := countWithin(f.further, from)
		q := max(countWithin(f.requests, from), countWithin(f.requests, from-limit.Window), countWithin(f.requests, from-limit.Window/2))
		if allowed := limit.Ratio*float64(q) + limit.Slack; float64(n) > allowed {
			t.Errorf("%d further attempts from %v on for %d requests, want %.0f at most", n, from, q, allowed)
			return
		}
	}
}
