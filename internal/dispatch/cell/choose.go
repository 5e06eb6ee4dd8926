package cell

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/snipefront/snipefront"
)

// tier is the rank of a backend server in the order of use. One of a later tier is used
// only if none of an earlier tier has a free slot.
type tier uint8

const (
	regular tier = iota
	spare
	suspended
	tiers
)

// acceptsRequests reports whether s is neither draining nor expired, and has not asked for a
// pause.
func (s *server) acceptsRequests(now time.Time) bool {
	return !s.announced.Draining && !s.withdrawn.isActive(now) && now.Before(s.announced.Expires)
}

// pick returns the backend server for the next request, or nil. It uses a suspended one
// only if all that accept the request are suspended. The lock is held.
func (c *Cell) pick(now time.Time, avoid []string) *server {
	var counts [tiers]int
	for t := regular; t < tiers; t++ {
		if t == suspended && counts[regular]+counts[spare] > 0 {
			break
		}
		s, n := c.pickFromTier(now, avoid, t)
		if s != nil {
			return s
		}
		counts[t] = n
	}
	return nil
}

// pickFromTier returns a backend server of tier t with a free slot, or nil, and the
// number of backend servers of the tier that accept the request.
func (c *Cell) pickFromTier(now time.Time, avoid []string, t tier) (*server, int) {
	candidates, servers := c.candidates[:0], c.candidateServers[:0]
	for _, s := range c.order {
		n := s.announced.Name
		if !s.acceptsRequests(now) || slices.Contains(avoid, n) || c.tier(now, s) != t {
			continue
		}
		candidates = append(candidates, snipefront.Candidate{
			Name:     n,
			InFlight: s.inFlight,
			Limit:    s.limiter.Limit(),
			Latency:  s.limiter.TypicalLatency(),
		})
		servers = append(servers, s)
	}
	c.candidates, c.candidateServers = candidates, servers
	if len(candidates) == 0 {
		return nil, 0
	}
	i := c.Picker.Pick(candidates, c.random())
	if i < 0 {
		return nil, len(candidates)
	}
	return servers[i], len(candidates)
}

func (c *Cell) tier(now time.Time, s *server) tier {
	switch {
	case s.limiter.Suspended(now):
		return suspended
	case len(c.rules.Spares) > 0 && c.rules.Spares[s.announced.Name]:
		return spare
	default:
		return regular
	}
}

func (c *Cell) random() uint64 {
	if c.Random != nil {
		return c.Random()
	}
	return rand.Uint64()
}
