package server

import (
	"context"
	"time"
)

// period is the time from one cold start to the next.
type period struct {
	// inside counts the requests that were admitted in the period and have not
	// left.
	inside int
	// coldUntil is the end of the cold start.
	coldUntil time.Time
	// downUntil is the end of the time for which the server, fallen over, fails
	// its requests. Zero where it has not fallen over.
	downUntil time.Time
	// lost ends when the server falls over.
	lost context.Context
	fall context.CancelFunc
}

type admission uint8

const (
	admitted admission = iota
	refused
	failing
)

func (s *Server) newPeriod(start time.Time) *period {
	p := &period{coldUntil: start.Add(s.ColdFor)}
	p.lost, p.fall = context.WithCancel(context.Background())
	return p
}

// admit counts a request in, unless the server refuses or fails it. The caller
// of admit calls leave for each admitted request.
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
	if s.ShedAbove > 0 && s.inside >= s.ShedAbove {
		s.counts.Refused++
		return p, refused
	}
	s.inside++
	p.inside++
	s.load.add(now, s.inside)
	s.counts.MostAtOnce = max(s.counts.MostAtOnce, s.inside)
	if now.Before(p.coldUntil) {
		s.bearCold(p, now)
	}
	return p, admitted
}

// bearCold lets the server fall over where it has more than it bears.
func (s *Server) bearCold(p *period, now time.Time) {
	s.counts.MostAtOnceCold = max(s.counts.MostAtOnceCold, p.inside)
	if p.inside <= s.ColdBearing {
		return
	}
	s.counts.FellOver++
	p.downUntil = now.Add(s.FallOverFor)
	p.fall()
	s.Log.Warn("fell over", "name", s.Name, "at_once", p.inside, "bearing", s.ColdBearing)
}

func (s *Server) leave(p *period, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inside--
	p.inside--
	s.load.add(now, s.inside)
}

// serviceTime draws the time that the next run takes.
func (s *Server) serviceTime(p *period, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := float64(s.Latency)
	if !s.Fixed {
		d *= s.random.ExpFloat64()
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

// history holds the recent numbers of requests inside, to report an old one.
type history struct {
	lag     time.Duration
	samples []sample
}

type sample struct {
	at     time.Time
	inside int
}

// add records a number and forgets those that no report needs any more.
func (h *history) add(now time.Time, inside int) {
	h.prune(now)
	h.samples = append(h.samples, sample{at: now, inside: inside})
}

// report returns the number that held one lag before now.
func (h *history) report(now time.Time) int {
	h.prune(now)
	if len(h.samples) == 0 || h.samples[0].at.After(now.Add(-h.lag)) {
		return 0
	}
	return h.samples[0].inside
}

// prune keeps only the last of the samples that are at least one lag old.
func (h *history) prune(now time.Time) {
	old := 0
	for old+1 < len(h.samples) && !h.samples[old+1].at.After(now.Add(-h.lag)) {
		old++
	}
	h.samples = append(h.samples[:0], h.samples[old:]...)
}
