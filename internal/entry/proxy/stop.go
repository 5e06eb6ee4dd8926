package proxy

import (
	"net/http"
	"sync"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/pipe"
)

const (
	// retryAfterStopping is the Retry-After time of a request that comes too late at an
	// instance that stops. Others are there.
	retryAfterStopping = 20 * time.Millisecond
	// slowestPeriod is the time over which the slowest answer of a route is kept, at least.
	slowestPeriod = time.Minute
	// slowestFactor is the multiple of its slowest answer that a request of a route may
	// take.
	slowestFactor = 2
)

// stop is a planned stop of this instance.
type stop struct {
	// certain is when it begins to take only requests that are over by end in any case.
	certain time.Time
	// end is when all requests must be answered.
	end time.Time
}

// Stop begins a planned stop that ends at the given time. From now on, requests that may
// not be answered by then are refused.
func (p *Proxy) Stop(now, end time.Time) {
	p.stopping.Store(&stop{certain: now.Add(end.Sub(now) / 2), end: end})
}

// takes reports whether a request of a route that is read now is answered before the stop
// ends. It is over at its deadline at the latest. In the first half of the stop, in which
// most callers still hold the address of this instance, the slowest recent answer of the
// route counts, too; zero is none.
func (s *stop) takes(now, deadline time.Time, slowest time.Duration) bool {
	if !deadline.After(s.end) {
		return true
	}
	return slowest > 0 && now.Before(s.certain) && !now.Add(slowestFactor*slowest).After(s.end)
}

// Refuse implements pipe.Handler. It refuses what this instance can't answer before its
// planned stop ends.
func (p *Proxy) Refuse(r *http.Request) (pipe.Answer, bool) {
	s := p.stopping.Load()
	t := p.table.Load()
	if s == nil || t == nil {
		return pipe.Answer{}, false
	}
	rt, ok := t.Find(r.Host, r.URL.EscapedPath())
	if !ok {
		return pipe.Answer{}, false
	}
	now := time.Now()
	timeout := rt.Timeout
	if remaining, ok := parseRemaining(r.Header.Get(p.Fields.Remaining)); ok {
		timeout = min(timeout, remaining)
	}
	if s.takes(now, now.Add(timeout), p.slowest.of(now, rt.Name)) {
		return pipe.Answer{}, false
	}
	id := r.Header.Get(p.Fields.RequestID)
	p.Logger.Info("request refused; it may last longer than the planned stop", "request", id, "route", rt.Name, "timeout", timeout, "left", s.end.Sub(now))
	return p.refuse("", id, snipefront.Refused(snipefront.ReasonStopping, retryAfterStopping, "this instance stops")), true
}

// slowest keeps the time that the slowest answer of each route took within slowestPeriod, or
// twice that.
type slowest struct {
	mu     sync.Mutex
	routes map[string]*maxima
}

// maxima holds the slowest answer of the period that began at since, and of the one before.
type maxima struct {
	since            time.Time
	current, earlier time.Duration
}

// observe records an answer of a route.
func (s *slowest) observe(now time.Time, route string, taken time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = map[string]*maxima{}
	}
	m := s.routes[route]
	if m == nil {
		m = &maxima{since: now}
		s.routes[route] = m
	}
	m.advance(now)
	m.current = max(m.current, taken)
}

// of returns the time that the slowest recent answer of a route took, or zero if there is
// none.
func (s *slowest) of(now time.Time, route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.routes[route]
	if m == nil {
		return 0
	}
	m.advance(now)
	return max(m.current, m.earlier)
}

// forget drops the routes that are not in names.
func (s *slowest) forget(names map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.routes {
		if !names[n] {
			delete(s.routes, n)
		}
	}
}

// advance begins a new period if the current one is over.
func (m *maxima) advance(now time.Time) {
	switch passed := now.Sub(m.since); {
	case passed >= 2*slowestPeriod:
		m.since, m.current, m.earlier = now, 0, 0
	case passed >= slowestPeriod:
		m.since, m.current, m.earlier = now, 0, m.current
	}
}
