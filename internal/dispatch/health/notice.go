package health

import (
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/notice"
)

const (
	// maxWithdrawn bounds the states of withdrawn backend servers that have left the view, and
	// withdrawnTime is how long they are kept.
	maxWithdrawn  = 1024
	withdrawnTime = 10 * time.Minute
)

// Hear records the notice of an answer of t. A backend server that drains does so until its
// incarnation ends, and a pause is never shortened.
func (t *Target) Hear(n notice.Notice) {
	if n == (notice.Notice{}) {
		return
	}
	now := time.Now()
	t.mu.Lock()
	first := n.Draining && !t.draining
	t.draining = t.draining || n.Draining
	if n.Pause > 0 {
		t.pause(n.End(now))
	}
	t.mu.Unlock()
	if first {
		t.set.startDraining(t)
	}
	if t.set.Logger != nil && (first || n.Pause > 0) {
		t.set.Logger.Info("backend server drains or asks for a pause", "server", t.Server.Name, "service", t.Server.Service, "incarnation", t.Server.Incarnation, "draining", n.Draining, "pause", n.Pause)
	}
}

// pause pauses t until the given time. The lock is held.
func (t *Target) pause(until time.Time) {
	if until.After(t.pausedUntil) {
		t.pausedUntil = until
	}
	t.resuming, t.resumeSent = true, false
}

// isPaused reports whether t may not receive a request at now: during a pause, and after it
// until the first request has been answered. The lock is held.
func (t *Target) isPaused(now time.Time) bool {
	return now.Before(t.pausedUntil) || t.resuming && t.resumeSent
}

// PauseLeft returns the time until t may receive a request again after a pause. It is zero or
// negative without a pause.
func (t *Target) PauseLeft(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pausedUntil.Sub(now)
}

// UnavailableFor returns the time until t may be chosen again after a pause or a backoff,
// at least one millisecond.
func (t *Target) UnavailableFor(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.pausedUntil.Sub(now), t.retryAt.Sub(now), time.Millisecond)
}

// Draining reports whether t drains, according to its registration or to an answer.
func (t *Target) Draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Server.Draining || t.draining
}

// startDraining records that t drains, and shares it unless the registration of t says so.
func (s *Set) startDraining(t *Target) {
	s.draining.Add(1)
	if s.Sharer != nil && !t.Server.Draining {
		s.Sharer.ShareDraining(t.Server)
	}
}

// withdrawal identifies the incarnation of a backend server.
type withdrawal struct {
	name        string
	incarnation uint64
}

// withdrawnState is the state of a backend server that has left the view.
type withdrawnState struct {
	*state
	address string
	since   time.Time
}

// keepWithdrawn keeps the states of the targets of old that drain or are paused and are not in
// next: the fleet may lose them and register them again, with the same incarnation.
func (s *Set) keepWithdrawn(now time.Time, old, next *targets) {
	for key, w := range s.withdrawn {
		if now.Sub(w.since) >= withdrawnTime {
			delete(s.withdrawn, key)
		}
	}
	if old == nil {
		return
	}
	for name, t := range old.byName {
		if n := next.byName[name]; n != nil && n.state == t.state || t.Server.Incarnation == 0 || !t.isWithdrawn(now) || len(s.withdrawn) >= maxWithdrawn {
			continue
		}
		if s.withdrawn == nil {
			s.withdrawn = map[withdrawal]withdrawnState{}
		}
		s.withdrawn[withdrawal{t.Server.Name, t.Server.Incarnation}] = withdrawnState{state: t.state, address: t.Server.Address, since: now}
	}
}

// restoreNotice gives t, which has a new state, what its incarnation said before: at the
// address of previous, which may be nil, or before it left the view.
func (s *Set) restoreNotice(t, previous *Target) {
	w, ok := s.withdrawn[withdrawal{t.Server.Name, t.Server.Incarnation}]
	if !ok && previous != nil && previous.Server.Incarnation == t.Server.Incarnation && t.Server.Incarnation != 0 {
		w, ok = withdrawnState{state: previous.state, address: previous.Server.Address}, true
	}
	switch {
	case !ok:
	case w.address == t.Server.Address:
		t.state = w.state
	default:
		w.mu.Lock()
		defer w.mu.Unlock()
		t.draining, t.pausedUntil, t.resuming = w.draining, w.pausedUntil, w.resuming
	}
}

// isWithdrawn reports whether t drains or is paused.
func (t *Target) isWithdrawn(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining || now.Before(t.pausedUntil)
}
