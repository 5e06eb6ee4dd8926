package direct_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/direct"
)

// TestWaitingRequestTakesTargetThatLikelyMeetsGoal guards against waiting until the
// latency goal is missed. Estimates include a safety margin, so that a request that
// has waited goes to a target that meets the goal without the margin.
func TestWaitingRequestTakesTargetThatLikelyMeetsGoal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		var sent time.Duration
		s := &fakeLink{running: 3, send: func(context.Context, string) direct.Attempt {
			sent = time.Since(begun)
			return answered
		}}
		d := newDispatcher(3, s)
		time.AfterFunc(110*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.running = 1
		})
		c := newCall(true)
		c.Goal = begun.Add(320 * time.Millisecond)
		if _, err := d.Serve(t.Context(), c); err != nil {
			t.Fatal(err)
		}
		if sent < 110*time.Millisecond || sent > 150*time.Millisecond {
			t.Errorf("sent after %v, want soon after 110ms", sent)
		}
	})
}

// TestTypicalLatencyIsRobustToSlowAnswers guards against refusals by idle backend
// servers because a few slow answers raised the typical latency above the latency
// goal. As with a noisy neighbour, one answer in five takes eight times as long as
// the load report promised.
func TestTypicalLatencyIsRobustToSlowAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		s := &fakeLink{send: func(context.Context, string) direct.Attempt {
			n++
			time.Sleep(100 * time.Millisecond)
			if n%5 == 0 {
				time.Sleep(700 * time.Millisecond)
			}
			return answered
		}}
		d := newDispatcher(3, s)
		refused := 0
		for range 200 {
			if _, err := d.Serve(t.Context(), newCall(false)); err != nil {
				refused++
			}
		}
		if refused > 0 {
			t.Errorf("%d of 200 requests were refused by idle backend servers", refused)
		}
	})
}

// TestTypicalLatencyIsPerRoute guards against estimating the requests of a route by
// the latency of another route with a much longer latency goal at the same service.
func TestTypicalLatencyIsPerRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLink{running: 1, send: func(context.Context, string) direct.Attempt { return answered }}
		d := newDispatcher(3, s)
		slow := newCall(true)
		slow.Route, slow.Goal = "slow", time.Now().Add(5*time.Second)
		for _, c := range []*direct.Call{slow, newCall(true)} {
			if _, err := d.Serve(t.Context(), c); err != nil {
				t.Errorf("route %q: %v", c.Route, err)
			}
		}
	})
}

// TestServiceWithoutLoadReportsIsServed checks that backend servers whose answers to
// load probes carry no load receive requests, balanced by what this instance itself
// has in flight at each.
func TestServiceWithoutLoadReportsIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLink{noLoad: true, send: func(context.Context, string) direct.Attempt {
			time.Sleep(100 * time.Millisecond)
			return answered
		}}
		d := newDispatcher(3, s)
		var all sync.WaitGroup
		for range 3 {
			all.Go(func() {
				begun := time.Now()
				if _, err := d.Serve(t.Context(), newCall(true)); err != nil || time.Since(begun) > 200*time.Millisecond {
					t.Errorf("error %v after %v, want an answer within 200ms", err, time.Since(begun))
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		all.Wait()
		slices.Sort(s.sent)
		if len(slices.Compact(s.sent)) != 3 {
			t.Errorf("three requests at once went to %v, want three different targets", s.sent)
		}
	})
}
