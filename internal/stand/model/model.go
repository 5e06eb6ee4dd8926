// Package model simulates backend servers whose speed changes within fractions of a
// second, for tests of direct dispatch in virtual time. It uses no network.
//
// A server runs as many requests at once as it has slots and queues a few more in
// the order of their arrival. At the end of each period, it gets a new random
// slowdown factor. The service time of a request depends on the factor at its start.
package model

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
)

// Behaviour describes how the servers of one service behave.
type Behaviour struct {
	Slots int
	// Queue is the maximum number of requests that wait at a server. A request that
	// arrives when the queue is full is never answered.
	Queue int
	// Work is the mean service time at usual speed. Spread is its standard deviation
	// as a share of the mean.
	Work   time.Duration
	Spread float64
	// RouteWork holds, by route, the mean service times that differ from Work.
	RouteWork map[string]time.Duration
	// SlowShare is the probability that the slowdown factor of a server is SlowFactor
	// for a Period. Otherwise it is 1.
	SlowShare  float64
	SlowFactor float64
	Period     time.Duration
	// Continuous makes a new slowdown factor apply to the rest of the requests that run. If it
	// is false, the factor at the start of a request holds to its end.
	Continuous bool
	// FullShare is the share of slots in use above which the service times of requests
	// that start are multiplied by FullFactor.
	FullShare  float64
	FullFactor float64
	// ShedShare is the share of requests that are refused before they run, whatever
	// the load.
	ShedShare float64
	// ColdRate is the capacity of a cold server in requests per second. The simulation
	// does not enforce it: tests set it as the warm-up rate of the service and check
	// Servers.MaxColdRate.
	ColdRate float64
	// Delay is the network round-trip time of a probe or a request. All of it passes
	// before the server receives the probe or request.
	Delay time.Duration
}

var (
	errShed     = errors.New("refused by the backend server")
	errNoAnswer = errors.New("backend server does not answer")
)

// Condition is the simulated condition of one server. Its zero value is a healthy,
// warm server.
type Condition struct {
	// Dead makes each probe fail and leaves each request unanswered.
	Dead bool
	// FaultShare is the share of requests that run and then fail.
	FaultShare float64
	// Drag multiplies the service times. The slowdown factor in the load report does not
	// include it. Zero means 1.
	Drag float64
	// Unhealthy makes the server report that it is unhealthy.
	Unhealthy bool
	// ColdUntil is the end of the warm-up. Until then the server is cold.
	ColdUntil time.Time
	// ShedAll makes the server refuse each request before it runs.
	ShedAll bool
	// Limit is what the answers of the server say of its rate limit. The simulation
	// does not enforce it: tests check Servers.Arrivals.
	Limit quota.Statement
	// NoLimitIn is a kind of answer that leaves Limit out.
	NoLimitIn quota.Source
}

// Servers implements direct.Link with simulated servers of one service.
type Servers struct {
	// Behaviour is that of all servers.
	Behaviour Behaviour
	// Random is the source of random numbers. Servers serializes its use.
	Random *rand.Rand
	// RecordArrivals makes Arrivals available.
	RecordArrivals bool
	// Observe receives each run that has ended, also if it was cut off. Nil observes none.
	Observe func(Run)

	mu      sync.Mutex
	servers map[string]*server
	// Lost counts the requests that arrived when the queue was full.
	Lost int
	// Probes counts the load probes.
	Probes int
	// MaxColdRate is the highest number of requests that a cold server received within
	// one second.
	MaxColdRate int
}

// server is one simulated backend server.
type server struct {
	running, waiting int
	slowdown         float64
	// changed is closed when slowdown changes.
	changed   chan struct{}
	condition Condition
	// arrivals holds the arrivals of requests and probes, if Servers.RecordArrivals is
	// set.
	arrivals []Arrival
	// coldArrivals holds the arrival times of requests while the server was cold.
	coldArrivals []time.Time
	// freeSlot receives a value for each slot that is handed to a waiting request.
	freeSlot chan struct{}
}

// Run gives each server a new random slowdown factor after each Behaviour.Period, until ctx
// ends.
func (s *Servers) Run(ctx context.Context) {
	t := time.NewTicker(s.Behaviour.Period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.changeSpeeds()
		}
	}
}

func (s *Servers) changeSpeeds() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		srv.slowdown = s.randomSlowdown()
		close(srv.changed)
		srv.changed = make(chan struct{})
	}
}

// randomSlowdown returns a random slowdown factor. The lock is held.
func (s *Servers) randomSlowdown() float64 {
	if s.Random.Float64() < s.Behaviour.SlowShare {
		return s.Behaviour.SlowFactor
	}
	return 1
}

// Set sets the condition of the named server.
func (s *Servers) Set(name string, c Condition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byName(name).condition = c
}

// byName returns the named server and adds it if it is new. The lock is held.
func (s *Servers) byName(name string) *server {
	if s.servers == nil {
		s.servers = map[string]*server{}
	}
	srv := s.servers[name]
	if srv == nil {
		srv = &server{slowdown: s.randomSlowdown(), changed: make(chan struct{}), freeSlot: make(chan struct{}, s.Behaviour.Queue)}
		s.servers[name] = srv
	}
	return srv
}

// Probe implements health.Prober.
func (s *Servers) Probe(t *health.Target) (health.Report, error) {
	time.Sleep(s.Behaviour.Delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Probes++
	srv := s.byName(t.Server.Name)
	s.arrive(srv, true)
	if srv.condition.Dead {
		return health.Report{}, errNoAnswer
	}
	now := time.Now()
	return health.Report{
		At: now, Known: true, Healthy: !srv.condition.Unhealthy, Running: srv.running, Waiting: srv.waiting, Slots: s.Behaviour.Slots, Pace: srv.slowdown,
		Cold: max(0, srv.condition.ColdUntil.Sub(now)), Limit: srv.condition.limitIn(quota.Probe),
	}, nil
}

// Send implements direct.Link.
func (s *Servers) Send(ctx context.Context, c *direct.Call, t *health.Target) direct.Attempt {
	time.Sleep(s.Behaviour.Delay)
	mean := s.meanServiceTime(c)
	condition, shed := s.receive(t)
	switch {
	case condition.Dead:
		<-ctx.Done()
		return noAnswer(ctx.Err())
	case shed:
		return direct.Attempt{
			Verdict: snipefront.NotRun, Reason: snipefront.ReasonShed, Err: errShed, Outcome: health.Neutral, Limit: condition.limitIn(quota.Refusal),
		}
	}
	run := Run{Request: c.Request, Arrived: time.Now()}
	srv, ok := s.acquireSlot(ctx, t)
	if !ok {
		return noAnswer(ctx.Err())
	}
	run.Started = time.Now()
	done := s.work(ctx, srv, mean, &run)
	s.releaseSlot(srv)
	if s.Observe != nil {
		s.Observe(run)
	}
	if !done {
		return noAnswer(ctx.Err())
	}
	a := direct.Attempt{
		Verdict: snipefront.Ran, Outcome: health.Answered,
		Response: &snipefront.Response{Status: http.StatusOK, BackendServer: t.Server.Name},
		Limit:    s.condition(t).limitIn(quota.Answer),
	}
	if s.withProbability(condition.FaultShare) {
		a.Outcome, a.Response.Status = health.Faulty, http.StatusInternalServerError
	}
	return a
}

// noAnswer returns an attempt that ended with err instead of an answer.
func noAnswer(err error) direct.Attempt {
	return direct.Attempt{Verdict: snipefront.MayHaveRun, Reason: snipefront.ReasonBrokenAnswer, Err: err, Outcome: health.Faulty}
}

// meanServiceTime returns the mean service time of the route of c at usual speed.
func (s *Servers) meanServiceTime(c *direct.Call) time.Duration {
	if w, ok := s.Behaviour.RouteWork[c.Route]; ok {
		return w
	}
	return s.Behaviour.Work
}

// receive records that a request arrives at t. It returns the condition of the server
// and whether the server refuses the request before it runs.
func (s *Servers) receive(t *health.Target) (Condition, bool) {
	s.mu.Lock()
	srv := s.byName(t.Server.Name)
	s.arrive(srv, false)
	if now := time.Now(); now.Before(srv.condition.ColdUntil) {
		srv.coldArrivals = append(srv.coldArrivals, now)
		n := 0
		for _, at := range srv.coldArrivals {
			if now.Sub(at) < time.Second {
				n++
			}
		}
		s.MaxColdRate = max(s.MaxColdRate, n)
	}
	c := srv.condition
	s.mu.Unlock()
	return c, c.ShedAll || s.withProbability(s.Behaviour.ShedShare)
}

// withProbability returns true with probability p.
func (s *Servers) withProbability(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Random.Float64() < p
}

// Up implements direct.Link.
func (s *Servers) Up(context.Context, *health.Target) bool { return true }

// acquireSlot takes a slot of t, or waits for one until ctx ends. It reports whether
// it got one.
func (s *Servers) acquireSlot(ctx context.Context, t *health.Target) (*server, bool) {
	s.mu.Lock()
	srv := s.byName(t.Server.Name)
	if srv.running < s.Behaviour.Slots {
		srv.running++
		s.mu.Unlock()
		return srv, true
	}
	if srv.waiting >= s.Behaviour.Queue {
		s.Lost++
		s.mu.Unlock()
		<-ctx.Done()
		return nil, false
	}
	srv.waiting++
	s.mu.Unlock()
	select {
	case <-srv.freeSlot:
		return srv, true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-srv.freeSlot:
		// The slot was handed over just as ctx ended.
		s.releaseSlotLocked(srv)
	default:
		srv.waiting--
	}
	return nil, false
}

// releaseSlot releases a slot of srv.
func (s *Servers) releaseSlot(srv *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseSlotLocked(srv)
}

// releaseSlotLocked hands a slot to a waiting request, or frees it if none waits. The
// lock is held.
func (s *Servers) releaseSlotLocked(srv *server) {
	if srv.waiting == 0 {
		srv.running--
		return
	}
	srv.waiting--
	srv.freeSlot <- struct{}{}
}
