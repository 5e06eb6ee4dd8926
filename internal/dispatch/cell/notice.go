package cell

import (
	"math/rand/v2"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/notice"
)

const (
	// returnSpread is the largest share of a pause by which a caller is asked to come back
	// later than its end, so that not all come at the same moment.
	returnSpread = 0.25
	// maxWithdrawn bounds the backend servers that are remembered as draining or paused
	// after their announcements have expired.
	maxWithdrawn = 256
)

// withdrawal is what an incarnation of a backend server has said in its answers.
type withdrawal struct {
	incarnation uint64
	draining    bool
	pausedUntil time.Time
}

// isActive reports whether the backend server accepts no requests at now for what it has said.
func (w withdrawal) isActive(now time.Time) bool { return w.draining || now.Before(w.pausedUntil) }

// Hear records what an answer of b says of it. That lasts for the incarnation of b.
func (c *Cell) Hear(now time.Time, b snipefront.BackendServer, n notice.Notice) {
	if n == (notice.Notice{}) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[b.Name]
	if s == nil || s.announced.Incarnation != b.Incarnation {
		return
	}
	s.withdrawn.incarnation = b.Incarnation
	s.withdrawn.draining = s.withdrawn.draining || n.Draining
	if end := n.End(now); n.Pause > 0 && end.After(s.withdrawn.pausedUntil) {
		s.withdrawn.pausedUntil = end
		time.AfterFunc(end.Sub(now), c.grant)
	}
	c.grantWaiters(now)
}

// grant gives free slots to the waiters.
func (c *Cell) grant() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grantWaiters(time.Now())
}

// remember keeps what s has said beyond the end of its announcements. The lock is held.
func (c *Cell) remember(now time.Time, s *server) {
	if !s.withdrawn.isActive(now) {
		return
	}
	if c.withdrawn == nil {
		c.withdrawn = map[string]withdrawal{}
	}
	if len(c.withdrawn) < maxWithdrawn {
		c.withdrawn[s.announced.Name] = s.withdrawn
	}
}

// recall returns what the incarnation b had said before its announcements ended. The lock is
// held.
func (c *Cell) recall(b snipefront.BackendServer) withdrawal {
	w := c.withdrawn[b.Name]
	delete(c.withdrawn, b.Name)
	if w.incarnation != b.Incarnation {
		return withdrawal{}
	}
	return w
}

// comeBack returns the time after which a caller may come back where no backend server
// accepts its request: when the first pause ends, and a little later.
func (c *Cell) comeBack(now time.Time) time.Duration {
	first := time.Duration(0)
	for _, s := range c.order {
		left := s.withdrawn.pausedUntil.Sub(now)
		if left > 0 && !s.withdrawn.draining && !s.announced.Draining && (first == 0 || left < first) {
			first = left
		}
	}
	if first == 0 {
		return retryLater
	}
	return first + time.Duration(returnSpread*rand.Float64()*float64(first))
}
