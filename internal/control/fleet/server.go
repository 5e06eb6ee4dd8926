package fleet

import "slices"

// register records n unless a newer registration is known for its name or address, or its
// incarnation has deregistered itself. It removes an older backend server with the address
// of n. A Takeover of n makes exceptions. It reports whether it recorded n.
func (s *State) register(index uint64, n Server) bool {
	takeover := n.Takeover
	n.Takeover = nil
	old, ok := s.data.Servers[n.Name]
	if ok && !n.isNewerThan(old) && !takeover.replaces(old) || !ok && s.isDeregistered(n, takeover) {
		return false
	}
	drained, final := s.drainedBefore(n)
	n.Draining = n.Draining || drained && (final || takeover == nil)
	n.DrainingFinal = final
	if ok && old.Incarnation == n.Incarnation {
		n.Limit, n.LimitSource, n.LimitIndex = old.Limit, old.LimitSource, old.LimitIndex
	}
	for name, other := range s.data.Servers {
		if name == n.Name || other.Address != n.Address {
			continue
		}
		if other.Incarnation >= n.Incarnation && n.Incarnation != 0 && !takeover.replaces(other) {
			return false
		}
		s.remove(Removal{Index: index, Server: name})
	}
	n.Index = index
	s.data.Servers[n.Name] = n
	return true
}

// replaces reports whether t replaces the registration n.
func (t *Takeover) replaces(n Server) bool { return t != nil && slices.Contains(t.Replaces, n.Rank()) }

// Rank returns the rank of n.
func (n Server) Rank() Rank {
	return Rank{Server: n.Name, Incarnation: n.Incarnation, Sequence: n.Sequence}
}

// drain records that the incarnation of c drains. It reports whether that is new. That it
// is final isn't told to readers of the state.
func (s *State) drain(index uint64, c Draining) bool {
	n, ok := s.data.Servers[c.Server]
	if !ok || n.Incarnation != c.Incarnation {
		return false
	}
	isNew := !n.Draining
	n.DrainingFinal = n.DrainingFinal || !c.Heartbeat
	if isNew {
		n.Draining, n.Index = true, index
	}
	s.data.Servers[c.Server] = n
	return isNew
}

// drainedBefore reports whether this incarnation of n has said before that it drains, and
// whether it is final, according to its registration or as of its removal.
func (s *State) drainedBefore(n Server) (drained, final bool) {
	if old, ok := s.data.Servers[n.Name]; ok {
		same := old.Incarnation == n.Incarnation
		return same && old.Draining, same && old.DrainingFinal
	}
	for _, r := range s.data.Removals {
		if r.Server == n.Name && r.Drained == n.Incarnation && n.Incarnation != 0 {
			drained, final = true, final || r.DrainedFinal
		}
	}
	return drained, final
}

// isNewerThan reports whether n is of a later incarnation than old, or of the same
// one with a higher sequence.
func (n Server) isNewerThan(old Server) bool {
	if n.Incarnation != old.Incarnation {
		return n.Incarnation > old.Incarnation
	}
	return n.Sequence > old.Sequence
}

// deregister removes the incarnation that n names, or any if it names none. It
// reports whether that changed the state.
func (s *State) deregister(index uint64, n Server) bool {
	old, ok := s.data.Servers[n.Name]
	if n.Incarnation > old.Incarnation {
		return s.deregisterEarly(index, n)
	}
	if !ok || n.Incarnation != 0 && n.Incarnation != old.Incarnation {
		return false
	}
	r := Removal{Index: index, Server: n.Name}
	if !n.Expired {
		r.Incarnation = old.Incarnation
	}
	s.remove(r)
	return true
}

// deregisterEarly records the deregistration of an incarnation that has overtaken its first
// heartbeat, so that the heartbeat doesn't register it any more. It reports whether that
// is new.
func (s *State) deregisterEarly(index uint64, n Server) bool {
	if n.Expired || s.isDeregistered(n, nil) {
		return false
	}
	s.remove(Removal{Index: index, Server: n.Name, Incarnation: n.Incarnation})
	return true
}

// isDeregistered reports whether this incarnation of n has deregistered itself, or a later one,
// which doesn't hold against a takeover.
func (s *State) isDeregistered(n Server, takeover *Takeover) bool {
	return slices.ContainsFunc(s.data.Removals, func(r Removal) bool {
		holds := r.Incarnation == n.Incarnation || r.Incarnation > n.Incarnation && takeover == nil
		return r.Server == n.Name && r.Incarnation != 0 && holds
	})
}

func (s *State) remove(r Removal) {
	if old := s.data.Servers[r.Server]; old.Draining {
		r.Drained, r.DrainedFinal = old.Incarnation, old.DrainingFinal
	}
	delete(s.data.Servers, r.Server)
	s.recordRemoval(r)
}

// recordRemoval records r for DeltaSince and drops the oldest removals above
// maxRemovals.
func (s *State) recordRemoval(r Removal) {
	s.data.Removals = append(s.data.Removals, r)
	for len(s.data.Removals) > maxRemovals {
		s.data.Forgotten = s.data.Removals[0].Index
		s.data.Removals = s.data.Removals[1:]
	}
}
