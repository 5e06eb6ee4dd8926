package cell

import (
	"time"

	"github.com/snipefront/snipefront"
)

// Load is the state of a cell at one instant.
type Load struct {
	// Free is the number of slots that can be taken now.
	Free int
	// Queued is the number of waiting requests.
	Queued   int
	InFlight int
	Servers  []ServerLoad
}

// ServerLoad is the state of one backend server at one instant.
type ServerLoad struct {
	Announced snipefront.BackendServer
	Limit     int
	InFlight  int
	// Reason is why the backend server receives no requests, or fewer than another one
	// would. It is empty if there is no such restriction.
	Reason string
}

// Counts is the part of the load by which routers choose a cell.
type Counts struct {
	// Free is the number of slots that can be taken now.
	Free int
	// Queued is the number of waiting requests.
	Queued int
	// Wait is the expected time until a new request gets a slot, or zero if one is free.
	Wait time.Duration
}

// Count returns the counts at the time now.
func (c *Cell) Count(now time.Time) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := Counts{Free: c.free(now), Queued: c.queue.len()}
	if n.Free == 0 {
		n.Wait = c.expectedWait(now, snipefront.Background)
	}
	return n
}

// Load returns the state of the cell and of each backend server at the time now.
func (c *Cell) Load(now time.Time) Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := Load{Free: c.free(now), Queued: c.queue.len(), InFlight: c.inFlight}
	for _, s := range c.order {
		l.Servers = append(l.Servers, ServerLoad{
			Announced: s.announced,
			Limit:     s.limiter.Limit(),
			InFlight:  s.inFlight,
			Reason:    c.restriction(now, s),
		})
	}
	return l
}

// free returns the number of slots that can be taken now. The lock is held.
func (c *Cell) free(now time.Time) int {
	if !c.open || c.rules.Out {
		return 0
	}
	n := 0
	for _, s := range c.order {
		if s.acceptsRequests(now) && !s.limiter.Suspended(now) {
			n += max(0, s.limiter.Limit()-s.inFlight)
		}
	}
	return n
}

// restriction returns why s receives no requests or fewer than another backend server
// would, or the empty string.
func (c *Cell) restriction(now time.Time, s *server) string {
	switch {
	case !c.open:
		return "not owner"
	case c.rules.Out:
		return "data centre out"
	case s.announced.Draining || s.withdrawn.draining:
		return "draining"
	case s.withdrawn.isActive(now):
		return "paused"
	case !now.Before(s.announced.Expires):
		return "announcement lapsed"
	case s.inFlight >= s.limiter.Limit():
		return "at its limit"
	case s.limiter.Suspended(now):
		return "suspended after failures"
	case c.rules.Spares[s.announced.Name]:
		return "spare"
	case s.limiter.IsCold(now):
		return "cold start"
	default:
		return ""
	}
}
