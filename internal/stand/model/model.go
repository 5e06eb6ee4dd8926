// Package model is a model of backend servers whose pace shifts within fractions of
// a second, for tests of direct dispatch in virtual time. It uses no network.
//
// A server runs as many requests at once as it has slots and queues a few more in
// the order of their arrival. Its pace is drawn anew at the end of each period; a
// request takes as long as the pace at its start says.
package model

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/health"
)

// Kind says how the servers of a service behave.
type Kind struct {
	Slots int
	// Queue is the most requests that wait. A request beyond it is never answered.
	Queue int
	// Work is the mean time of a request at the usual pace, Spread its relative
	// spread.
	Work   time.Duration
	Spread float64
	// RouteWork is the mean time for routes that have another one.
	RouteWork map[string]time.Duration
	// SlowShare is the share of periods in which work takes SlowFactor times as long.
	SlowShare  float64
	SlowFactor float64
	Period     time.Duration
	// FullShare is the share of slots in use beyond which work takes FullFactor times
	// as long.
	FullShare  float64
	FullFactor float64
	// ShedShare is the share of requests that are refused unrun, whatever the load.
	ShedShare float64
	// ColdRate is the number of requests a second that a cold server bears.
	ColdRate float64
	// Delay is the time that a look or a request takes on its way and back.
	Delay time.Duration
}

var (
	errShed = errors.New("refused by the backend server")
	errDead = errors.New("no answer")
)

// Condition is what is wrong with one server. Its zero value is nothing.
type Condition struct {
	// Dead is true where neither looks nor requests are answered.
	Dead bool
	// FaultShare is the share of requests that fail after their work.
	FaultShare float64
	// Drag is how many times longer work takes than the report says. Zero is one.
	Drag float64
	// Ill is true where the report says so.
	Ill bool
	// ColdUntil is when the server is warm. Until then it bears Kind.ColdRate.
	ColdUntil time.Time
}

// Servers implements direct.Link over servers of one kind.
type Servers struct {
	Kind Kind
	// Random is used under a lock.
	Random *rand.Rand

	mu      sync.Mutex
	servers map[string]*server
	// Lost counts the requests that found no place in a queue.
	Lost int
	// Looks counts the looks.
	Looks int
	// ColdMost is the most requests that a cold server got within a second.
	ColdMost int
}

// server is one backend server.
type server struct {
	running, waiting int
	pace             float64
	condition        Condition
	// arrived holds when requests came to the cold server.
	arrived []time.Time
	// free is signalled when a slot becomes free.
	free chan struct{}
}

// Run shifts the pace of the servers until ctx ends.
func (s *Servers) Run(ctx context.Context) {
	t := time.NewTicker(s.Kind.Period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.shift()
		}
	}
}

func (s *Servers) shift() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.servers {
		v.pace = s.draw()
	}
}

// draw returns a pace. The lock is held.
func (s *Servers) draw() float64 {
	if s.Random.Float64() < s.Kind.SlowShare {
		return s.Kind.SlowFactor
	}
	return 1
}

// Set puts the named server into condition c.
func (s *Servers) Set(name string, c Condition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.named(name).condition = c
}

// named returns a server by its name. The lock is held.
func (s *Servers) named(name string) *server {
	if s.servers == nil {
		s.servers = map[string]*server{}
	}
	v := s.servers[name]
	if v == nil {
		v = &server{pace: s.draw(), free: make(chan struct{}, s.Kind.Queue)}
		s.servers[name] = v
	}
	return v
}

// Probe implements health.Prober.
func (s *Servers) Probe(t *health.Target) (health.Report, error) {
	time.Sleep(s.Kind.Delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Looks++
	v := s.named(t.Server.Name)
	if v.condition.Dead {
		return health.Report{}, errDead
	}
	now := time.Now()
	return health.Report{
		At: now, Known: true, Healthy: !v.condition.Ill, Running: v.running, Waiting: v.waiting, Slots: s.Kind.Slots, Pace: v.pace,
		Cold: max(0, v.condition.ColdUntil.Sub(now)),
	}, nil
}

// Send implements direct.Link.
func (s *Servers) Send(ctx context.Context, c *direct.Call, t *health.Target) direct.Attempt {
	time.Sleep(s.Kind.Delay)
	w := s.workOf(c)
	condition, shed := s.arrive(t)
	switch {
	case condition.Dead:
		<-ctx.Done()
		return unanswered(ctx.Err())
	case shed:
		return direct.Attempt{Verdict: snipefront.NotRun, Reason: snipefront.ReasonShed, Err: errShed, Outcome: health.Neutral}
	}
	v, ok := s.enter(ctx, t)
	if !ok {
		return unanswered(ctx.Err())
	}
	done := s.work(ctx, v, w)
	s.leave(v)
	if !done {
		return unanswered(ctx.Err())
	}
	a := direct.Attempt{
		Verdict: snipefront.Ran, Outcome: health.Answered,
		Response: &snipefront.Response{Status: http.StatusOK, BackendServer: t.Server.Name},
	}
	if s.chance(condition.FaultShare) {
		a.Outcome, a.Response.Status = health.Faulty, http.StatusInternalServerError
	}
	return a
}

// unanswered is an attempt that ended with err.
func unanswered(err error) direct.Attempt {
	return direct.Attempt{Verdict: snipefront.MayHaveRun, Reason: snipefront.ReasonBrokenAnswer, Err: err, Outcome: health.Faulty}
}

// workOf returns the mean work of c.
func (s *Servers) workOf(c *direct.Call) time.Duration {
	if w, ok := s.Kind.RouteWork[c.Route]; ok {
		return w
	}
	return s.Kind.Work
}

// arrive counts a request at t. It returns the server's condition, and whether the
// request is refused unrun.
func (s *Servers) arrive(t *health.Target) (Condition, bool) {
	s.mu.Lock()
	v := s.named(t.Server.Name)
	if now := time.Now(); now.Before(v.condition.ColdUntil) {
		v.arrived = append(v.arrived, now)
		n := 0
		for _, at := range v.arrived {
			if now.Sub(at) < time.Second {
				n++
			}
		}
		s.ColdMost = max(s.ColdMost, n)
	}
	c := v.condition
	s.mu.Unlock()
	return c, s.chance(s.Kind.ShedShare)
}

// chance draws whether something with this probability happens.
func (s *Servers) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Random.Float64() < p
}

// Up implements direct.Link.
func (s *Servers) Up(context.Context, *health.Target) bool { return true }

// enter takes a slot of the server of t, or waits for one until ctx ends.
func (s *Servers) enter(ctx context.Context, t *health.Target) (*server, bool) {
	s.mu.Lock()
	v := s.named(t.Server.Name)
	if v.running < s.Kind.Slots {
		v.running++
		s.mu.Unlock()
		return v, true
	}
	if v.waiting >= s.Kind.Queue {
		s.Lost++
		s.mu.Unlock()
		<-ctx.Done()
		return nil, false
	}
	v.waiting++
	s.mu.Unlock()
	select {
	case <-v.free:
		return v, true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-v.free:
		// The slot came at the same moment.
		s.pass(v)
	default:
		v.waiting--
	}
	return nil, false
}

// leave gives a slot back.
func (s *Servers) leave(v *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pass(v)
}

// pass gives a slot to who waits for one. The lock is held.
func (s *Servers) pass(v *server) {
	if v.waiting == 0 {
		v.running--
		return
	}
	v.waiting--
	v.free <- struct{}{}
}

// paceOf returns how long work takes at v. The lock is held.
func (s *Servers) paceOf(v *server) float64 {
	if float64(v.running) > s.Kind.FullShare*float64(s.Kind.Slots) {
		return v.pace * s.Kind.FullFactor
	}
	return v.pace
}

// work does a request's work at the present pace of v, and returns whether ctx let it end.
func (s *Servers) work(ctx context.Context, v *server, mean time.Duration) bool {
	s.mu.Lock()
	takes := float64(mean) * max(0.2, 1+s.Kind.Spread*s.Random.NormFloat64()) * s.paceOf(v)
	if v.condition.Drag > 0 {
		takes *= v.condition.Drag
	}
	s.mu.Unlock()
	return timer.Sleep(ctx, time.Duration(takes))
}
