// Package cell dispatches the requests of one cell to its backend servers.
//
// The owner of a cell is the only instance that sends requests to its backend
// servers, so its counts of requests in flight are exact and it enforces limits
// without messages to other instances. A request takes a Slot of a backend server,
// or waits in a queue that is ordered by importance and then by deadline, or is
// refused immediately if it can't be answered in time.
//
// Each cell has one lock, which guards all its state. Cells share no lock.
package cell

import (
	"sync"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/limit"
)

// Rules are the parts of the configuration that apply to a cell.
type Rules struct {
	// ColdLimit is the limit of a cold backend server, at least 1.
	ColdLimit int
	// WarmUp is the time after its start for which a backend server is cold.
	WarmUp time.Duration
	// Out is true if the data centre is out of service and receives no new requests.
	Out bool
	// Spares holds the names of the spare backend servers. They receive requests only if
	// no other backend server has a free slot.
	Spares map[string]bool
}

// Cell is the dispatcher of one cell. Set the exported fields before use.
type Cell struct {
	Name   snipefront.Cell
	Picker snipefront.Picker
	// MaxQueue is the most requests that wait at once.
	MaxQueue int
	// Random returns uniformly distributed numbers. If nil, a randomly seeded source is
	// used.
	Random func() uint64

	mu      sync.Mutex
	rules   Rules
	open    bool
	servers map[string]*server
	// superseded holds the earlier announcements of backend servers that have changed
	// their address, until Expire returns them.
	superseded []snipefront.BackendServer
	// withdrawn holds the notices of backend servers whose announcements have expired, by name.
	withdrawn map[string]withdrawal
	// order lists the backend servers in the order of their first announcements.
	order []*server
	queue queue
	// inFlight is the number of slots that are taken.
	inFlight int
	// serviceTime is the moving average of the time from taking a slot to the answer.
	serviceTime time.Duration
	// tailLatency is the 95th percentile of that time.
	tailLatency quantile
	// candidates and candidateServers are buffers that pickFromTier reuses.
	candidates       []snipefront.Candidate
	candidateServers []*server
}

// server is the state of one backend server in the cell.
type server struct {
	announced snipefront.BackendServer
	limiter   limit.Limiter
	inFlight  int
	// lastContact is when it last answered, was last probed, or started.
	lastContact time.Time
	// withdrawn holds the notices of the incarnation.
	withdrawn withdrawal
}

// Announce applies the announcement of a backend server. It ignores one of an older
// incarnation than the last.
func (c *Cell) Announce(now time.Time, b snipefront.BackendServer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servers == nil {
		c.servers = map[string]*server{}
	}
	s := c.servers[b.Name]
	switch {
	case s == nil:
		s = &server{withdrawn: c.recall(b)}
		c.servers[b.Name] = s
		c.order = append(c.order, s)
		c.beginColdStart(now, s, b)
	case b.Incarnation < s.announced.Incarnation:
		return
	case b.Incarnation > s.announced.Incarnation || b.Address != s.announced.Address:
		if b.Incarnation > s.announced.Incarnation {
			s.withdrawn = withdrawal{}
		}
		c.beginColdStart(now, s, b)
		if b.Address != s.announced.Address {
			c.superseded = append(c.superseded, s.announced)
		}
	}
	s.announced = b
	s.limiter.Ceiling = max(b.Slots, s.limiter.Cold)
	c.grantWaiters(now)
}

// beginColdStart starts the warm-up of a new incarnation. The lock is held.
func (c *Cell) beginColdStart(now time.Time, s *server, b snipefront.BackendServer) {
	s.lastContact = now
	s.limiter = limit.Limiter{
		Cold:    max(1, c.rules.ColdLimit),
		Ceiling: max(b.Slots, c.rules.ColdLimit),
		WarmUp:  c.rules.WarmUp,
	}
	s.limiter.Reset(now)
}

// SetRules replaces the rules. It refuses the waiting requests if the data centre is out
// of service.
func (c *Cell) SetRules(now time.Time, r Rules) {
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
	c.grantWaiters(now)
}

// Open starts dispatch. A previous owner may still have requests in flight at the backend
// servers, which this instance can't count, so each backend server starts at its cold
// limit.
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
	c.grantWaiters(now)
}

// Close stops dispatch and refuses the waiting requests.
func (c *Cell) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = false
	c.refuseAll(snipefront.Refused(snipefront.ReasonNotOwner, retrySoon, "the cell moved to another instance"))
}

// Expire removes the backend servers whose announcements have expired and that have no
// request in flight. It returns the announcements to whose addresses no new request is
// sent: those of the removed backend servers, and the earlier ones of backend servers that
// have changed their address.
func (c *Cell) Expire(now time.Time) []snipefront.BackendServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	removed := c.superseded
	c.superseded = nil
	kept := c.order[:0]
	for _, s := range c.order {
		if now.Before(s.announced.Expires) || s.inFlight > 0 {
			kept = append(kept, s)
			continue
		}
		c.remember(now, s)
		delete(c.servers, s.announced.Name)
		removed = append(removed, s.announced)
	}
	clear(c.order[len(kept):])
	c.order = kept
	c.grantWaiters(now)
	return removed
}

// Size returns the number of backend servers in the cell.
func (c *Cell) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.order)
}

// InFlight returns the number of slots that are taken.
func (c *Cell) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}
