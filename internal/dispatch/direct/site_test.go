package direct_test

import (
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

// site is a fleet of dispatchers before shifting backend servers, with callers that
// come back after a refusal.
type site struct {
	servers     *model.Servers
	dispatchers []*direct.Dispatcher
	callers     []callers
	// begun is when play began.
	begun time.Time

	mu     sync.Mutex
	result result
	// lost holds the data centres whose instances take no requests.
	lost map[string]bool
}

// callers is how the callers of one route behave.
type callers struct {
	route string
	// share is the weight of their requests among all.
	share                   int
	goal, timeout, deadline time.Duration
	retries                 int
	// hasty is true where they come back at once, whatever they are told.
	hasty      bool
	idempotent bool
}

// result counts what became of requests.
type result struct {
	asked, inGoal, late, refused, failed int
	// looks counts looks, repeats the requests that came to servers beyond the first.
	looks, repeats int
	// coldMost is the most requests that a cold server got within a second.
	coldMost int
}

// in returns the share of n among the requests asked.
func (r result) in(n int) float64 { return float64(n) / float64(max(r.asked, 1)) }

// Retried implements direct.Counter.
func (s *site) Retried(string, snipefront.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.repeats++
}

// newSite returns a site of instances and servers spread over the data centres.
func newSite(seed uint64, instances, servers int, k model.Kind, c ...callers) *site {
	s := &site{
		servers: &model.Servers{Kind: k, Random: rand.New(rand.NewPCG(seed, 1))},
		callers: c, begun: time.Now(), lost: map[string]bool{},
	}
	v := fleet.View{Servers: map[string]fleet.Server{}, Instances: map[string]fleet.Instance{}}
	for i := range servers {
		var n fleet.Server
		n.Name, n.Service, n.DataCentre, n.Slots = fmt.Sprint("s", i), service, fmt.Sprint("dc", i%dataCentres), k.Slots
		v.Servers[n.Name] = n
	}
	for i := range instances {
		var n fleet.Instance
		n.Name, n.DataCentre, n.Ready = fmt.Sprint("e", i), fmt.Sprint("dc", i%dataCentres), true
		v.Instances[n.Name] = n
	}
	r := &snipefront.Routing{Services: map[string]snipefront.Profile{service: {Name: service, WarmUpRate: k.ColdRate}}}
	for i := range instances {
		set := &health.Set{Self: v.Instances[fmt.Sprint("e", i)].Instance}
		set.Update(time.Now(), v, r)
		s.dispatchers = append(s.dispatchers, &direct.Dispatcher{
			Targets: set, Link: s.servers, Counter: s, Budget: &budget.Share{Burst: 3}, RetryShare: 0.15,
			Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
	}
	return s
}

// at has f called some time after play began.
func (s *site) at(after time.Duration, f func()) { time.AfterFunc(after, f) }

// set puts the servers whose number is picked into condition c.
func (s *site) set(c model.Condition, chosen func(i int) bool) {
	for i := range 100 {
		if chosen(i) {
			s.servers.Set(fmt.Sprint("s", i), c)
		}
	}
}

// lose takes the instances of a data centre away from callers.
func (s *site) lose(dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost[dataCentre] = true
}

// phase is a time with a steady rate of requests.
type phase struct {
	length time.Duration
	rate   float64
}

// play sends requests in all phases and returns what became of them.
func (s *site) play(t *testing.T, seed uint64, phases ...phase) result {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.servers.Run(ctx)
	random := rand.New(rand.NewPCG(seed, 2))
	var all sync.WaitGroup
	for _, p := range phases {
		for end := time.Now().Add(p.length); time.Now().Before(end); {
			time.Sleep(time.Duration(random.ExpFloat64() / p.rate * float64(time.Second)))
			c := s.drawCallers(random)
			var order []*direct.Dispatcher
			for range c.retries + 1 {
				order = append(order, s.drawDispatcher(random))
			}
			all.Go(func() { s.ask(c, order) })
		}
	}
	all.Wait()
	cancel()
	synctest.Wait()
	s.result.looks, s.result.coldMost = s.servers.Looks, s.servers.ColdMost
	return s.result
}

func (s *site) drawCallers(random *rand.Rand) callers {
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

func (s *site) drawDispatcher(random *rand.Rand) *direct.Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		d := s.dispatchers[random.IntN(len(s.dispatchers))]
		if !s.lost[d.Targets.Self.DataCentre] {
			return d
		}
	}
}

// ask is one caller: it asks the dispatchers in turn until it has an answer.
func (s *site) ask(c callers, order []*direct.Dispatcher) {
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
		if e != nil && !c.hasty {
			time.Sleep(min(e.RetryAfter, time.Until(end)/3))
		}
	}
	s.note(c, time.Since(begun), answer, err)
}

func (s *site) note(c callers, taken time.Duration, answer *snipefront.Response, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.asked++
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

// pattern is a load and what happens meanwhile.
type pattern struct {
	kind    model.Kind
	callers []callers
	// happen arranges what happens. Nil is nothing.
	happen func(s *site)
	phases []phase
}

// seeds is the number of times that a pattern is played.
const seeds = 6

// play plays p with a few seeds and adds up the results.
func (p pattern) play(t *testing.T) (sum result) {
	t.Helper()
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(seed, 14, 11, p.kind, p.callers...)
			if p.happen != nil {
				p.happen(s)
			}
			r := s.play(t, seed, p.phases...)
			sum.asked += r.asked
			sum.inGoal += r.inGoal
			sum.late += r.late
			sum.refused += r.refused
			sum.failed += r.failed
			sum.looks += r.looks
			sum.repeats += r.repeats
			sum.coldMost = max(sum.coldMost, r.coldMost)
		})
	}
	t.Logf("%+v", sum)
	return sum
}
