package cell

import (
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/notice"
)

// maxWithdrawn bounds the backend servers that are remembered as draining or paused after
// their announcements have expired.
const maxWithdrawn = 256

// withdrawal holds the notices of an incarnation of a backend server.
type withdrawal struct {
	incarnation uint64
	draining    bool
	pausedUntil time.Time
}

// isActive reports whether the notices keep requests from the backend server at now.
func (w withdrawal) isActive(now time.Time) bool { return w.draining || now.Before(w.pausedUntil) }

// Hear records the notice of an answer of b. It holds for the incarnation of b.
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

// remember keeps the notices of s, whose announcements have expired. The lock is held.
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

// recall returns the notices of the incarnation b from before its announcements expired. The
// lock is held.
func (c *Cell) recall(b snipefront.BackendServer) withdrawal {
	w := c.withdrawn[b.Name]
	delete(c.withdrawn, b.Name)
	if w.incarnation != b.Incarnation {
		return withdrawal{}
	}
	return w
}

// retryAfter returns the Retry-After of a request that no backend server accepts: a little
// more than the time until the first pause ends, or retryLater if none is paused.
func (c *Cell) retryAfter(now time.Time) time.Duration {
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
	return notice.RetryAfter(first)
}
