package cell

import "time"

// idleTime is the time since its last contact after which a backend server may be probed.
// It is also the time in which the probe must be answered.
const idleTime = time.Second

// Probe takes a slot of the backend server that most needs a probe, or returns nil if
// none does. One whose last requests failed comes before one that is idle. The slot
// counts as a request, so that a probe never exceeds the limit of a backend server. The
// caller releases it with Probed.
func (c *Cell) Probe(now time.Time) *Slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open || c.rules.Out {
		return nil
	}
	var best *server
	for _, s := range c.order {
		if !s.acceptsRequests(now) || s.inFlight >= s.limiter.Limit() || now.Sub(s.lastContact) < idleTime {
			continue
		}
		if best == nil || s.moreUrgent(best) {
			best = s
		}
	}
	if best == nil {
		return nil
	}
	best.lastContact = now
	return c.take(now, best, now.Add(idleTime))
}

// moreUrgent reports whether s needs a probe more than o does.
func (s *server) moreUrgent(o *server) bool {
	if s.limiter.Failing() != o.limiter.Failing() {
		return s.limiter.Failing()
	}
	return s.lastContact.Before(o.lastContact)
}

// Probed releases the slot of a probe. An answered probe ends a suspension and changes
// neither limit nor typical latency. An unanswered one counts as a failure.
func (s *Slot) Probed(answered bool) {
	now := time.Now()
	c := s.cell
	c.mu.Lock()
	defer c.mu.Unlock()
	s.server.lastContact = now
	switch {
	case s.server.announced.Incarnation != s.BackendServer.Incarnation:
	case answered:
		s.server.limiter.Resume()
	default:
		s.server.limiter.Failed(now)
	}
	s.release(now)
}
