package fleet

// join records n unless a newer registration of the instance is known. It reports
// whether the registration changed.
func (s *State) join(index uint64, n Instance) bool {
	old, ok := s.data.Instances[n.Name]
	if ok && (n.Incarnation < old.Incarnation || n.Incarnation == old.Incarnation && n.Sequence < old.Sequence) {
		return false
	}
	n.Index = old.Index
	if ok && n == old {
		return false
	}
	n.Index = index
	s.data.Instances[n.Name] = n
	return true
}

// part removes the incarnation of the instance that n names, unless it has registered
// with another keeper since. An empty keeper in n stands for any. It reports whether it
// removed the instance.
func (s *State) part(index uint64, n Instance) bool {
	old, ok := s.data.Instances[n.Name]
	if !ok || old.Incarnation != n.Incarnation || n.Keeper != "" && n.Keeper != old.Keeper {
		return false
	}
	delete(s.data.Instances, n.Name)
	s.recordRemoval(Removal{Index: index, Instance: n.Name})
	return true
}
