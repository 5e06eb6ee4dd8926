package direct_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/health"
)

// limit is the limit on further attempts in these tests.
var limit = snipefront.RetryLimit{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}

// newRetries returns the retry budget of one of n instances, which has just received
// the given number of requests for service. A process that has received none retries
// nothing.
func newRetries(n, requests int) *budget.Retries {
	r := &budget.Retries{Limit: limit}
	r.SetInstances(time.Now(), n)
	for range requests {
		r.Earn(time.Now(), service)
	}
	return r
}

// checkLimit checks the limit for a service in each time of length limit.Window. The
// requests are those of the window, of the one before it or of the one half a window
// before it, whichever are most.
func (e *edges) checkLimit(t *testing.T, service string) {
	t.Helper()
	further, requests := e.further[service], e.requests[service]
	slices.Sort(further)
	excess, worst := 0.0, ""
	for _, from := range further {
		n := countWithin(further, from)
		q := max(countWithin(requests, from), countWithin(requests, from-limit.Window), countWithin(requests, from-limit.Window/2))
		if over := float64(n) - limit.Ratio*float64(q) - limit.Slack; over > excess {
			excess = over
			worst = fmt.Sprintf("%d further attempts from %v on for %d requests, want %.0f at most", n, from, q, limit.Ratio*float64(q)+limit.Slack)
		}
	}
	t.Logf("%d requests, %d further attempts, %d callers answered, %d not", len(requests), len(further), e.answered, e.failed)
	if worst != "" {
		t.Error(worst)
	}
}

// countWithin returns how many times of the sorted list are within limit.Window from the
// given one on.
func countWithin(list []time.Duration, from time.Duration) int {
	begin, _ := slices.BinarySearch(list, from)
	end, _ := slices.BinarySearch(list, from+limit.Window)
	return end - begin
}

// between returns share from one time to the other, and 0 otherwise.
func between(from, to time.Duration, share float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < from || at >= to {
			return 0
		}
		return share
	}
}

// TestFurtherAttemptsOfAllInstances guards against retries that keep a limit at each
// instance, and break it in the sum over all instances or for a single service.
func TestFurtherAttemptsOfAllInstances(t *testing.T) {
	const instances = 60
	for name, test := range map[string]struct {
		// rates are the requests per second of the services.
		rates map[string]float64
		// begin is when the service balance begins to fail. Zero means after 5 s.
		begin    time.Duration
		burstEnd time.Duration
		event    func(e *edges)
	}{
		"one of three services fails":   {rates: map[string]float64{"balance": 250, "charge": 120, "ledger": 120}},
		"a burst of callers ends":       {rates: map[string]float64{"balance": 300}, begin: 13 * time.Second, burstEnd: 13 * time.Second},
		"saved retries of all":          {rates: map[string]float64{"balance": 30}},
		"instances restart one by one":  {rates: map[string]float64{"balance": 150}, event: restartAll(instances, 60*time.Millisecond)},
		"half of the instances restart": {rates: map[string]float64{"balance": 45}, event: restartAll(instances/2, 0)},
		"other backend servers have taken over addresses": {rates: map[string]float64{"balance": 250}, event: func(e *edges) {
			e.refusal = direct.Attempt{Verdict: snipefront.NotRun, Reason: snipefront.ReasonNoBackendServer, Err: errors.New("misdirected"), Outcome: health.Unreachable, Misdirected: true}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var services []string
				for service := range test.rates {
					services = append(services, service)
				}
				e := newEdges(instances, services...)
				begin := test.begin
				if begin == 0 {
					begin = 5 * time.Second
				}
				fails := between(begin, begin+9*time.Second, 0.55)
				e.failing = func(service string, at time.Duration) float64 {
					if service != "balance" {
						return 0
					}
					return fails(at)
				}
				if test.event != nil {
					test.event(e)
				}
				var all sync.WaitGroup
				for service, rate := range test.rates {
					all.Go(func() { e.run(service, begin+15*time.Second, rate, test.burstEnd) })
				}
				all.Wait()
				time.Sleep(settleTime)
				e.checkLimit(t, "balance")
			})
		})
	}
}

// restartAll returns an event that restarts n instances from 6 s on, one after the other
// with the given pause.
func restartAll(n int, pause time.Duration) func(e *edges) {
	return func(e *edges) {
		for i := range n {
			e.restart(6*time.Second+time.Duration(i)*pause, i)
		}
	}
}

// TestUndeliveredRetryIsNotSpent guards against a retry that reaches no backend server
// and yet costs the retry that would have.
func TestUndeliveredRetryIsNotSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLink{}
		s.send = func(context.Context, string) direct.Attempt {
			return []direct.Attempt{shed, {Verdict: snipefront.NotRun, Outcome: health.Unreachable}, answered}[len(s.sent)-1]
		}
		d := newDispatcher(4, s)
		d.Retries = newRetries(1, 9)
		if _, err := d.Serve(t.Context(), newCall(false)); err != nil {
			t.Errorf("not answered after %d attempts: %v", len(s.sent), err)
		}
		s.sent = nil
		if _, err := d.Serve(t.Context(), newCall(false)); err == nil {
			t.Errorf("answered after %d attempts, though the one retry for ten requests was spent", len(s.sent))
		}
	})
}
