package direct_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
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
	"github.com/snipefront/snipefront/internal/stand/model"
)

const (
	dataCentres = 4
	service     = "status"
)

// simulation has dispatchers on several instances send to simulated backend servers
// whose speed changes. Callers resend refused requests. It runs in virtual time.
type simulation struct {
	servers     *model.Servers
	dispatchers []*direct.Dispatcher
	callers     []callerKind
	// begun is when the simulation was created.
	begun time.Time

	mu     sync.Mutex
	result result
	// lost names the data centres whose instances receive no requests.
	lost map[string]bool
}

// callerKind is how the callers of one route behave.
type callerKind struct {
	route string
	// share is the weight of their requests among all.
	share                   int
	goal, timeout, deadline time.Duration
	retries                 int
	// impatient makes them resend immediately, whatever Retry-After says.
	impatient  bool
	idempotent bool
}

// result counts requests by outcome.
type result struct {
	requests, inGoal, late, refused, failed int
	// probes counts load probes, retries the attempts after the first one of a
	// request.
	probes, retries int
	// maxColdRate is the most requests that a cold backend server received within
	// one second.
	maxColdRate int
}

// share returns n as a share of all requests.
func (r result) share(n int) float64 { return float64(n) / float64(max(r.requests, 1)) }

// Retried implements direct.Counter.
func (s *simulation) Retried(string, snipefront.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.retries++
}

// newSimulation returns a simulation of instances and backend servers that are
// spread evenly over the data centres.
func newSimulation(seed uint64, instances, servers int, b model.Behaviour, c ...callerKind) *simulation {
	s := &simulation{
		servers: &model.Servers{Behaviour: b, Random: rand.New(rand.NewPCG(seed, 1))},
		callers: c, begun: time.Now(), lost: map[string]bool{},
	}
	v := fleet.View{Servers: map[string]fleet.Server{}, Instances: map[string]fleet.Instance{}}
	for i := range servers {
		var n fleet.Server
		n.Name, n.Service, n.DataCentre, n.Slots = fmt.Sprint("s", i), service, fmt.Sprint("dc", i%dataCentres), b.Slots
		v.Servers[n.Name] = n
	}
	for i := range instances {
		var n fleet.Instance
		n.Name, n.DataCentre, n.Ready = fmt.Sprint("e", i), fmt.Sprint("dc", i%dataCentres), true
		v.Instances[n.Name] = n
	}
	r := &snipefront.Routing{Services: map[string]snipefront.ServiceProfile{service: {Name: service, WarmUpRate: b.ColdRate}}}
	for i := range instances {
		set := &health.Set{Self: v.Instances[fmt.Sprint("e", i)].Instance}
		set.Update(time.Now(), v, r)
		s.dispatchers = append(s.dispatchers, &direct.Dispatcher{
			Targets: set, Link: s.servers, Counter: s, Attempts: noCounter{}, Retries: newRetries(instances, 0), Probes: newProbes(servers, instances),
			Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
	}
	return s
}

// probeRate is the limit on load probes, per second and backend server.
const probeRate = 60

// newProbes returns the part of one instance in the limit on load probes.
func newProbes(servers, instances int) *budget.Probes {
	p := &budget.Probes{PerSecond: probeRate}
	p.SetFleet(time.Now(), servers, instances)
	return p
}

// after calls f after the given delay.
func (s *simulation) after(delay time.Duration, f func()) { time.AfterFunc(delay, f) }

// setCondition puts the backend servers whose number is chosen into condition c.
func (s *simulation) setCondition(c model.Condition, chosen func(i int) bool) {
	for i := range 100 {
		if chosen(i) {
			s.servers.Set(fmt.Sprint("s", i), c)
		}
	}
}

// loseDataCentre stops callers from sending to the instances of a data centre.
func (s *simulation) loseDataCentre(dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost[dataCentre] = true
}

// phase is a time with a steady mean rate of requests per second.
type phase struct {
	length time.Duration
	rate   float64
}

// run sends requests through all phases and returns their outcomes.
func (s *simulation) run(t *testing.T, seed uint64, phases ...phase) result {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.servers.Run(ctx)
	random := rand.New(rand.NewPCG(seed, 2))
	var all sync.WaitGroup
	for _, p := range phases {
		for end := time.Now().Add(p.length); time.Now().Before(end); {
			time.Sleep(time.Duration(random.ExpFloat64() / p.rate * float64(time.Second)))
			c := s.randomCaller(random)
			var order []*direct.Dispatcher
			for range c.retries + 1 {
				order = append(order, s.randomDispatcher(random))
			}
			all.Go(func() { s.request(c, order) })
		}
	}
	all.Wait()
	cancel()
	time.Sleep(settleTime)
	synctest.Wait() // a probe may have ended since the last request
	s.result.probes, s.result.maxColdRate = s.servers.Probes, s.servers.MaxColdRate
	return s.result
}

func (s *simulation) randomCaller(random *rand.Rand) callerKind {
	sum := 0
	for _, c := range s.callers {
		sum += max(1, c.share)
	}
	n := random.IntN(sum)
	for _, c := range s.callers {
		if n -= max(1, c.share); n < 0 {
			return c
		}
	}
	panic("no callers")
}

func (s *simulation) randomDispatcher(random *rand.Rand) *direct.Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		d := s.dispatchers[random.IntN(len(s.dispatchers))]
		if !s.lost[d.Targets.Self.DataCentre] {
			return d
		}
	}
}

// request acts as one caller: it sends a request to the dispatchers in turn until
// one answers or the caller may not resend, and counts the outcome.
func (s *simulation) request(c callerKind, order []*direct.Dispatcher) {
	begun := time.Now()
	end := begun.Add(c.deadline)
	var err error
	var answer *snipefront.Response
	for try, d := range order {
		now := time.Now()
		left := end.Sub(now)
		call := &direct.Call{ID: "r", Route: c.route, Attempts: 2, Goal: begun.Add(c.goal), Request: &snipefront.Request{
			Service: service, Idempotent: c.idempotent, Deadline: now.Add(min(left, c.timeout)),
		}}
		answer, err = d.Serve(context.Background(), call)
		if err == nil && answer.Status < 500 || try == len(order)-1 {
			break
		}
		var e *snipefront.Error
		if !c.idempotent && (!errors.As(err, &e) || e.Verdict != snipefront.NotRun) {
			break
		}
		if e != nil && !c.impatient {
			time.Sleep(min(e.RetryAfter, time.Until(end)/3))
		}
	}
	s.count(c, time.Since(begun), answer, err)
}

func (s *simulation) count(c callerKind, taken time.Duration, answer *snipefront.Response, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.requests++
	var e *snipefront.Error
	switch {
	case err == nil && answer.Status >= 500:
		s.result.failed++
	case err == nil && taken <= c.goal:
		s.result.inGoal++
	case err == nil:
		s.result.late++
	case errors.As(err, &e) && e.Verdict == snipefront.NotRun:
		s.result.refused++
	default:
		s.result.failed++
	}
}

// pattern is a load with the events that happen under it.
type pattern struct {
	behaviour model.Behaviour
	callers   []callerKind
	// events schedules the events. Nil schedules none.
	events func(s *simulation)
	phases []phase
	// runs is the number of runs. Zero means the constant of that name.
	runs int
}

const (
	// runs is the number of runs of a pattern, each with another seed, unless it has its own.
	runs = 6
	// settleTime is the time after which no load probe is in flight any more. Virtual time
	// stops with the simulation, so that one in flight would never end.
	settleTime = time.Second
	// instanceCount and serverCount are the numbers of instances and backend servers.
	instanceCount = 14
	serverCount   = 11
)

// run runs p with several seeds and returns the sum of the results.
func (p pattern) run(t *testing.T) (sum result) {
	t.Helper()
	for seed := range uint64(cmp.Or(p.runs, runs)) {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(seed, instanceCount, serverCount, p.behaviour, p.callers...)
			if p.events != nil {
				p.events(s)
			}
			r := s.run(t, seed, p.phases...)
			sum.requests += r.requests
			sum.inGoal += r.inGoal
			sum.late += r.late
			sum.refused += r.refused
			sum.failed += r.failed
			sum.probes += r.probes
			sum.retries += r.retries
			sum.maxColdRate = max(sum.maxColdRate, r.maxColdRate)
		})
	}
	t.Logf("%+v", sum)
	return sum
}
