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

	mu      sync.Mutex
	rules   Rules
	open    bool
	servers map[string]*server
	// moved holds earlier starts of backend servers at addresses that they left,
	// until Expire returns them.
	moved    []snipefront.BackendServer
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
		if b.Address != s.announced.Address {
			c.moved = append(c.moved, s.announced)
		}
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

// Expire forgets the backend servers whose announcements have lapsed. It returns
// those, and the earlier starts of others at an address that they have left.
func (c *Cell) Expire(now time.Time) []snipefront.BackendServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	gone := c.moved
	c.moved = nil
	kept := c.order[:0]
	for _, s := range c.order {
		if now.Before(s.announced.Expires) || s.inFlight > 0 {
			kept = append(kept, s)
			continue
		}
		delete(c.servers, s.announced.Name)
		gone = append(gone, s.announced)
	}
	clear(c.order[len(kept):])
	c.order = kept
	c.serve(now)
	return gone
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
