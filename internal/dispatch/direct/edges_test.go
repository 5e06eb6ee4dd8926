package direct_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/health"
)

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
		Retries: newRetries(len(e.view.Instances), 0),
		Logger:  slog.New(slog.NewTextHandler(io.Discard, nil)),
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
