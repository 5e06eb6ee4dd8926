package cell

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/snipefront/snipefront"
)

// tier is how readily a backend server is used: a higher one only where no
// lower one has a free slot.
type tier uint8

const (
	regular tier = iota
	spare
	suspended
	tiers
)

// usable returns whether s accepts new work.
func (s *server) usable(now time.Time) bool {
	return !s.announced.Draining && now.Before(s.announced.Expires)
}

// pick returns the backend server for the next request, or nil. A suspended one
// is used only where all are suspended. The lock is held.
func (c *Cell) pick(now time.Time, avoid []string) *server {
	var counts [tiers]int
	for t := regular; t < tiers; t++ {
		if t == suspended && counts[regular]+counts[spare] > 0 {
			break
		}
		s, n := c.pickAmong(now, avoid, t)
		if s != nil {
			return s
		}
		counts[t] = n
	}
	return nil
}

// pickAmong returns a backend server of the tier, or nil, and how many of the
// tier there are.
func (c *Cell) pickAmong(now time.Time, avoid []string, t tier) (*server, int) {
	list, from := c.candidates[:0], c.candidateOf[:0]
	for _, s := range c.order {
		n := s.announced.Name
		if !s.usable(now) || slices.Contains(avoid, n) || c.tier(now, s) != t {
			continue
		}
		list = append(list, snipefront.Candidate{
			Name:     n,
			InFlight: s.inFlight,
			Limit:    s.limiter.Limit(),
			Latency:  s.limiter.TypicalLatency(),
		})
		from = append(from, s)
	}
	c.candidates, c.candidateOf = list, from
	if len(list) == 0 {
		return nil, 0
	}
	i := c.Picker.Pick(list, c.random())
	if i < 0 {
		return nil, len(list)
	}
	return from[i], len(list)
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
