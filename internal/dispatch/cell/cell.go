// Package cell dispatches the requests of one cell to its backend servers.
//
// The owner of a cell is the only instance that sends requests to its backend
// servers, so the counts of requests in flight are exact and a limit holds
// without a message. A request takes a Slot of a backend server, or waits in a
// queue that is ordered by importance and then by deadline, or is refused at
// once where it cannot be answered in time.
//
// All state of a cell is under one lock of its own. No lock is shared between
// cells.
package cell

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/limit"
)

// Rules are the parts of the configuration that bear on a cell.
type Rules struct {
	// ColdLimit is the limit in cold start. At least 1.
	ColdLimit int
	// WarmUp is the time for which a start counts as cold.
	WarmUp time.Duration
	// Out is true where the data centre receives no new work.
	Out bool
	// Spares holds the names of backend servers to use last.
	Spares map[string]bool
}

// Cell is the dispatcher of one cell. Set the exported fields before use.
type Cell struct {
	Name   snipefront.Cell
	Picker snipefront.Picker
	// MaxQueue is the most requests that wait at once.
	MaxQueue int
	// Random returns uniform numbers. Nil is a source seeded by chance.
	Random func() uint64

	mu       sync.Mutex
	rules    Rules
	open     bool
	servers  map[string]*server
	order    []*server
	queue    queue
	inFlight int
	// service is the moving average of the time for which a slot is held.
	service time.Duration
	// high is the time that few attempts exceed.
	high quantile
	// candidates and candidateOf are room for a choice.
	candidates  []snipefront.Candidate
	candidateOf []*server
}

// server is what the cell knows of one backend server.
type server struct {
	announced snipefront.BackendServer
	limiter   limit.Limiter
	inFlight  int
	// news is when it last answered, or was first seen.
	news time.Time
}

// Announce takes in an announcement. An older incarnation changes nothing.
func (c *Cell) Announce(now time.Time, b snipefront.BackendServer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servers == nil {
		c.servers = map[string]*server{}
	}
	s := c.servers[b.Name]
	switch {
	case s == nil:
		s = &server{}
		c.servers[b.Name] = s
		c.order = append(c.order, s)
		c.start(now, s, b)
	case b.Incarnation < s.announced.Incarnation:
		return
	case b.Incarnation > s.announced.Incarnation || b.Address != s.announced.Address:
		c.start(now, s, b)
	}
	s.announced = b
	s.limiter.Ceiling = max(b.Slots, s.limiter.Cold)
	c.serve(now)
}

// start begins the cold start of a new incarnation. The lock is held.
func (c *Cell) start(now time.Time, s *server, b snipefront.BackendServer) {
	s.news = now
	s.limiter = limit.Limiter{
		Cold:    max(1, c.rules.ColdLimit),
		Ceiling: max(b.Slots, c.rules.ColdLimit),
		WarmUp:  c.rules.WarmUp,
	}
	s.limiter.Reset(now)
}

// Rule replaces the rules.
func (c *Cell) Rule(now time.Time, r Rules) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rules = r
	for _, s := range c.order {
		s.limiter.Cold = max(1, r.ColdLimit)
		s.limiter.WarmUp = r.WarmUp
		s.limiter.Ceiling = max(s.announced.Slots, s.limiter.Cold)
	}
	if r.Out {
		c.refuseAll(snipefront.Refused(snipefront.ReasonDataCentreOut, 0, "the data centre is out of service"))
	}
	c.serve(now)
}

// Open lets the cell dispatch. What its backend servers were doing for another
// owner is unknown, so each begins at its cold limit.
func (c *Cell) Open(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open {
		return
	}
	c.open = true
	for _, s := range c.order {
		s.limiter.Reset(now)
	}
	c.serve(now)
}

// Close stops dispatch and refuses the requests that wait.
func (c *Cell) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = false
	c.refuseAll(snipefront.Refused(snipefront.ReasonNotOwner, retrySoon, "the cell moved to another instance"))
}

// Expire forgets the backend servers whose announcements have lapsed.
func (c *Cell) Expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.order[:0]
	for _, s := range c.order {
		if now.Before(s.announced.Expires) || s.inFlight > 0 {
			kept = append(kept, s)
			continue
		}
		delete(c.servers, s.announced.Name)
	}
	clear(c.order[len(kept):])
	c.order = kept
	c.serve(now)
}

// Size returns the number of backend servers that are known.
func (c *Cell) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.order)
}

// InFlight returns the number of slots taken.
func (c *Cell) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// Load is the state of a cell at one instant.
type Load struct {
	// Free is the number of slots that may be taken now.
	Free int
	// Queued is the number of requests that wait.
	Queued   int
	InFlight int
	// Servers tells of each backend server.
	Servers []ServerLoad
}

// ServerLoad is the state of one backend server at one instant.
type ServerLoad struct {
	Announced snipefront.BackendServer
	Limit     int
	InFlight  int
	// Reason tells why it receives no work, and is empty where it may.
	Reason string
}

// Counts is what routers choose by.
type Counts struct {
	// Free is the number of slots that may be taken now.
	Free int
	// Queued is the number of requests that wait.
	Queued int
	// Wait is the expected time until a new request has a slot. It is zero where
	// one is free.
	Wait time.Duration
}

// Count returns the counts at the instant now.
func (c *Cell) Count(now time.Time) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := Counts{Free: c.free(now), Queued: c.queue.len()}
	if n.Free == 0 {
		n.Wait = c.expectedWait(now, snipefront.Background)
	}
	return n
}

// Load returns the whole state.
func (c *Cell) Load(now time.Time) Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := Load{Free: c.free(now), Queued: c.queue.len(), InFlight: c.inFlight}
	for _, s := range c.order {
		l.Servers = append(l.Servers, ServerLoad{
			Announced: s.announced,
			Limit:     s.limiter.Limit(),
			InFlight:  s.inFlight,
			Reason:    c.whyIdle(now, s),
		})
	}
	return l
}

func (c *Cell) free(now time.Time) int {
	if !c.open || c.rules.Out {
		return 0
	}
	n := 0
	for _, s := range c.order {
		if s.usable(now) && !s.limiter.Suspended(now) {
			n += max(0, s.limiter.Limit()-s.inFlight)
		}
	}
	return n
}

// whyIdle returns why s receives no work, or the empty text.
func (c *Cell) whyIdle(now time.Time, s *server) string {
	switch {
	case !c.open:
		return "not owner"
	case c.rules.Out:
		return "data centre out"
	case s.announced.Draining:
		return "draining"
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

// usable returns whether s accepts new work.
func (s *server) usable(now time.Time) bool {
	return !s.announced.Draining && now.Before(s.announced.Expires)
}

// tier is how readily a backend server is used: a higher one only where no
// lower one has a free slot.
type tier uint8

const (
	regular tier = iota
	spare
	suspended
	tiers
)

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
			Latency:  s.limiter.Usual(),
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
