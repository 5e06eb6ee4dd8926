package direct_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/health"
)

// limit is the limit on further attempts in these tests.
var limit = snipefront.RetryLimit{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}

// newRetries returns the retry budget of one of n instances, which has just received
// the given number of requests for service.
func newRetries(n, requests int) *budget.Retries {
	r := &budget.Retries{Limit: limit}
	r.SetInstances(time.Now(), n)
	for range requests {
		r.Earn(time.Now(), service)
	}
	return r
}

// edges has many instances send to the backend servers of several services. It runs in
// virtual time and records the arrivals at the backend servers.
type edges struct {
	// failing returns the share of the requests for a service, 0 to 1, that its backend
	// servers refuse at the given time since the start.
	failing func(service string, at time.Duration) float64
	// refusal is the attempt that a refusing backend server makes of a request.
	refusal direct.Attempt

	begun       time.Time
	view        fleet.View
	routing     *snipefront.Routing
	dispatchers []*direct.Dispatcher

	mu     sync.Mutex
	random *rand.Rand
	// arrived holds the requests that have reached a backend server.
	arrived map[string]bool
	// requests and further hold the times of requests and of further arrivals, since the
	// start and by service.
	requests, further map[string][]time.Duration
	answered, failed  int
}

func newEdges(instances int, services ...string) *edges {
	e := &edges{
		refusal: direct.Attempt{Verdict: snipefront.NotRun, Reason: snipefront.ReasonShed, Err: errors.New("refused"), Outcome: health.Neutral},
		begun:   time.Now(),
		view:    fleet.View{Servers: map[string]fleet.Server{}, Instances: map[string]fleet.Instance{}},
		routing: &snipefront.Routing{Services: map[string]snipefront.ServiceProfile{}},
		random:  rand.New(rand.NewPCG(1, 1)), arrived: map[string]bool{},
		requests: map[string][]time.Duration{}, further: map[string][]time.Duration{},
	}
	for _, service := range services {
		e.routing.Services[service] = snipefront.ServiceProfile{Name: service}
		for i := range 12 {
			var n fleet.Server
			n.Name, n.Service, n.DataCentre, n.Slots = fmt.Sprint(service, i), service, "dc0", 3
			e.view.Servers[n.Name] = n
		}
	}
	for i := range instances {
		var n fleet.Instance
		n.Name, n.DataCentre, n.Ready = fmt.Sprint("e", i), "dc0", true
		e.view.Instances[n.Name] = n
	}
	for i := range instances {
		e.dispatchers = append(e.dispatchers, e.start(i))
	}
	return e
}

// start returns the dispatcher of a process of instance i that has just started.
func (e *edges) start(i int) *direct.Dispatcher {
	set := &health.Set{Self: e.view.Instances[fmt.Sprint("e", i)].Instance}
	set.Update(time.Now(), e.view, e.routing)
	return &direct.Dispatcher{
		Targets: set, Link: e, Counter: noCounter{}, Attempts: noCounter{},
		Budget: newRetries(len(e.view.Instances), 0),
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

// restart replaces the process of instance i after the given delay.
func (e *edges) restart(delay time.Duration, i int) {
	time.AfterFunc(delay, func() {
		d := e.start(i)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.dispatchers[i] = d
	})
}

// run sends requests for a service to random instances for the given time. The mean
// rate per second is the given one, and twice as high for the three seconds before burstEnd.
func (e *edges) run(service string, length time.Duration, rate float64, burstEnd time.Duration) {
	random := rand.New(rand.NewPCG(2, uint64(len(service))))
	var all sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		pause := random.ExpFloat64() / rate * float64(time.Second)
		if at := time.Since(e.begun); at < burstEnd && at >= burstEnd-3*time.Second {
			pause /= 2
		}
		time.Sleep(time.Duration(pause))
		all.Go(func() { e.call(service) })
	}
	all.Wait()
}

// call acts as one caller, which resends a failed request twice as a new one.
func (e *edges) call(service string) {
	end := time.Now().Add(3 * time.Second)
	for range 3 {
		d, id := e.receive(service)
		_, err := d.Serve(context.Background(), &direct.Call{
			ID: id, Route: service, Attempts: 2, Goal: time.Now().Add(500 * time.Millisecond),
			Request: &snipefront.Request{Service: service, Idempotent: true, Deadline: end},
		})
		if err == nil {
			e.count(&e.answered)
			return
		}
		var failure *snipefront.Error
		if errors.As(err, &failure) {
			time.Sleep(failure.RetryAfter)
		}
	}
	e.count(&e.failed)
}

// receive records a new request and returns its id and a random instance.
func (e *edges) receive(service string) (*direct.Dispatcher, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests[service] = append(e.requests[service], time.Since(e.begun))
	return e.dispatchers[e.random.IntN(len(e.dispatchers))], fmt.Sprint(service, len(e.requests[service]))
}

func (e *edges) count(n *int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*n++
}

// Probe implements health.Prober.
func (e *edges) Probe(*health.Target) (health.Report, error) {
	time.Sleep(time.Millisecond)
	return health.Report{At: time.Now(), Known: true, Healthy: true, Slots: 3, Pace: 1}, nil
}

// Send implements direct.Link.
func (e *edges) Send(_ context.Context, c *direct.Call, t *health.Target) direct.Attempt {
	time.Sleep(5 * time.Millisecond)
	if e.refuses(c) {
		return e.refusal
	}
	time.Sleep(50 * time.Millisecond)
	return direct.Attempt{
		Verdict: snipefront.Ran, Outcome: health.Answered,
		Response: &snipefront.Response{Status: http.StatusOK, BackendServer: t.Server.Name},
	}
}

// refuses records that c reaches a backend server and reports whether that refuses it.
func (e *edges) refuses(c *direct.Call) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := time.Since(e.begun)
	if e.arrived[c.ID] {
		e.further[c.Service] = append(e.further[c.Service], at)
	}
	e.arrived[c.ID] = true
	return e.random.Float64() < e.failing(c.Service, at)
}

// Up implements direct.Link.
func (e *edges) Up(context.Context, *health.Target) bool { return true }

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
		"instances restart by and by":   {rates: map[string]float64{"balance": 150}, event: restartAll(instances, 60*time.Millisecond)},
		"instances restart by the half": {rates: map[string]float64{"balance": 45}, event: restartAll(instances/2, 0)},
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
		d.Budget = newRetries(1, 9)
		if _, err := d.Serve(t.Context(), newCall(false)); err != nil {
			t.Errorf("not answered after %d attempts: %v", len(s.sent), err)
		}
		s.sent = nil
		if _, err := d.Serve(t.Context(), newCall(false)); err == nil {
			t.Errorf("answered after %d attempts, though the one retry for ten requests was spent", len(s.sent))
		}
	})
}
