package server

import (
	"context"
	"time"
)

// period is the state of a server from the beginning of one cold start to the
// beginning of the next.
type period struct {
	// inFlight is the number of requests that were admitted in this period and have
	// not ended.
	inFlight int
	// coldUntil is the end of the cold start.
	coldUntil time.Time
	// downUntil is the end of the time for which the server fails its requests
	// after an overload failure. Zero means that it has not failed.
	downUntil time.Time
	// failed is a context that fail cancels when the server has an overload failure.
	failed context.Context
	fail   context.CancelFunc
}

type admission uint8

const (
	admitted admission = iota
	refused
	failing
)

func (s *Server) newPeriod(start time.Time) *period {
	p := &period{coldUntil: start.Add(s.ColdFor)}
	p.failed, p.fail = context.WithCancel(context.Background())
	return p
}

// admit counts a request as in flight, unless the server refuses or fails it. It
// begins the cold start that follows an overload failure. Each admitted request must
// end with finish.
func (s *Server) admit(now time.Time) (*period, admission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.period
	if !p.downUntil.IsZero() && now.Before(p.downUntil) {
		return p, failing
	}
	if !p.downUntil.IsZero() {
		p = s.newPeriod(p.downUntil)
		s.period = p
	}
	if s.mode.Shed || s.mode.Draining || s.stopping.Load() {
		s.counts.Refused++
		return p, refused
	}
	if s.ShedAbove > 0 && s.inFlight >= s.ShedAbove {
		s.counts.Refused++
		return p, refused
	}
	s.inFlight++
	p.inFlight++
	s.load.add(now, s.inFlight)
	s.counts.MostAtOnce = max(s.counts.MostAtOnce, s.inFlight)
	if now.Before(p.coldUntil) {
		s.checkColdCapacity(p, now)
	}
	return p, admitted
}

// checkColdCapacity causes an overload failure if more requests of p are in flight
// than the capacity in cold start. The lock is held.
func (s *Server) checkColdCapacity(p *period, now time.Time) {
	s.counts.MostAtOnceCold = max(s.counts.MostAtOnceCold, p.inFlight)
	if p.inFlight <= s.ColdBearing {
		return
	}
	s.counts.FellOver++
	p.downUntil = now.Add(s.FallOverFor)
	p.fail()
	s.Log.Warn("overload failure in cold start; dropping the requests in flight", "name", s.Name, "in_flight", p.inFlight, "capacity", s.ColdBearing)
}

func (s *Server) finish(p *period, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	p.inFlight--
	s.load.add(now, s.inFlight)
}

// serviceTime returns the service time of the next run: random unless Fixed, and
// adjusted to the speed, the mode and a cold start.
func (s *Server) serviceTime(p *period, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := float64(s.Latency)
	if !s.Fixed {
		d *= s.rng.ExpFloat64()
	}
	d /= s.speed
	if s.mode.Slow > 0 {
		d *= s.mode.Slow
	}
	if now.Before(p.coldUntil) {
		d *= s.ColdSlow
	}
	return time.Duration(d)
}

// loadHistory holds the recent numbers of requests in flight, so that the server can
// report the load that it had one lag earlier.
type loadHistory struct {
	lag     time.Duration
	samples []sample
}

type sample struct {
	at       time.Time
	inFlight int
}

// add records the number of requests in flight and removes the samples that no
// report needs any more.
func (h *loadHistory) add(now time.Time, inFlight int) {
	h.prune(now)
	h.samples = append(h.samples, sample{at: now, inFlight: inFlight})
}

// lagged returns the number of requests in flight one lag before now.
func (h *loadHistory) lagged(now time.Time) int {
	h.prune(now)
	if len(h.samples) == 0 || h.samples[0].at.After(now.Add(-h.lag)) {
		return 0
	}
	return h.samples[0].inFlight
}

// prune removes the samples that are at least one lag old, except the latest of them.
func (h *loadHistory) prune(now time.Time) {
	first := 0
	for first+1 < len(h.samples) && !h.samples[first+1].at.After(now.Add(-h.lag)) {
		first++
	}
	h.samples = append(h.samples[:0], h.samples[first:]...)
}
