package model

import (
	"slices"
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
)

// limitIn returns what an answer of the given kind says of the rate limit.
func (c Condition) limitIn(source quota.Source) quota.Statement {
	if source == c.NoLimitIn {
		return quota.Statement{Readable: true}
	}
	return c.Limit
}

// Arrival is the arrival of a request or a probe at a server.
type Arrival struct {
	At    time.Time
	Probe bool
}

// arrive records the arrival of a request or probe. The lock is held.
func (s *Servers) arrive(srv *server, probe bool) {
	if s.RecordArrivals {
		srv.arrivals = append(srv.arrivals, Arrival{At: time.Now(), Probe: probe})
	}
}

// Arrivals returns the arrivals at the named server, in the order of time.
func (s *Servers) Arrivals(name string) []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.byName(name).arrivals)
}

// condition returns the present condition of t.
func (s *Servers) condition(t *health.Target) Condition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byName(t.Server.Name).condition
}
