package fleet

import "github.com/snipefront/snipefront"

// Limit is the rate limit that an incarnation of a backend server names.
type Limit struct {
	Server      string
	Incarnation uint64
	snipefront.RateLimit
	// Source is the kind of answer that named or withdrew it.
	Source string
}

// Cold is the warm-up of an incarnation of a backend server, of which an instance has
// heard before the next heartbeat.
type Cold struct {
	Server      string
	Incarnation uint64
	// Millis is the remaining warm-up in milliseconds.
	Millis int64
}

// limit records the rate limit of a registered incarnation. It reports whether that
// changed.
func (s *State) limit(index uint64, c Limit) bool {
	n, ok := s.data.Servers[c.Server]
	if !ok || n.Incarnation != c.Incarnation || n.Limit == c.RateLimit {
		return false
	}
	n.Limit, n.LimitSource, n.LimitIndex, n.Index = c.RateLimit, c.Source, index, index
	s.data.Servers[c.Server] = n
	return true
}

// cold records the warm-up of a registered incarnation that is warm by its registration.
// It reports whether it did. The next heartbeats say when the warm-up is over.
func (s *State) cold(index uint64, c Cold) bool {
	n, ok := s.data.Servers[c.Server]
	if !ok || n.Incarnation != c.Incarnation || n.ColdMillis > 0 || c.Millis <= 0 {
		return false
	}
	n.ColdMillis, n.Index = c.Millis, index
	s.data.Servers[c.Server] = n
	return true
}
