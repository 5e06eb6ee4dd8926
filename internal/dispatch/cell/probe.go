package cell

import "time"

// idleTime is the time without news after which a backend server is worth a
// probe.
const idleTime = time.Second

// Probe takes a slot of the backend server that most needs a probe, or returns
// nil where none does. One that fails comes before one that is idle. The slot
// counts as a request, so that a probe never adds to a full backend server; it
// is given back with Probed.
func (c *Cell) Probe(now time.Time) *Slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open || c.rules.Out {
		return nil
	}
	var best *server
	for _, s := range c.order {
		if !s.usable(now) || s.inFlight >= s.limiter.Limit() || now.Sub(s.news) < idleTime {
			continue
		}
		if best == nil || s.needier(best) {
			best = s
		}
	}
	if best == nil {
		return nil
	}
	best.news = now
	return c.take(now, best, now.Add(idleTime))
}

// needier returns whether s needs a probe more than o.
func (s *server) needier(o *server) bool {
	if s.limiter.Failing() != o.limiter.Failing() {
		return s.limiter.Failing()
	}
	return s.news.Before(o.news)
}

// Probed gives back the slot of a probe. One that was answered ends a suspension
// and tells nothing of limits and latency; one that was not counts as a failure.
func (s *Slot) Probed(answered bool) {
	now := time.Now()
	c := s.cell
	c.mu.Lock()
	defer c.mu.Unlock()
	s.server.news = now
	switch {
	case s.server.announced.Incarnation != s.BackendServer.Incarnation:
	case answered:
		s.server.limiter.Resume()
	default:
		s.server.limiter.Failed(now)
	}
	s.release(now)
}
