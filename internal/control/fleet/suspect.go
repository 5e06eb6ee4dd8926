package fleet

import (
	"slices"

	"github.com/snipefront/snipefront/internal/request/poison"
)

// maxSuspects is the number of suspects that are kept.
const maxSuspects = 256

// suspect adds the crashed backend servers of c to the suspect with its fingerprint, or
// ends the suspicion if c says so. It reports whether that changed the state.
func (s *State) suspect(index uint64, c Suspect) bool {
	i := slices.IndexFunc(s.data.Suspects, func(v Suspect) bool { return v.Fingerprint == c.Fingerprint })
	if i < 0 {
		return !c.Released && s.addSuspect(index, c)
	}
	known := &s.data.Suspects[i]
	if c.Released {
		return known.release(index)
	}
	changed := false
	for _, crashed := range c.Crashed {
		if !slices.Contains(known.Crashed, crashed) {
			known.Crashed = append(slices.Clone(known.Crashed), crashed)
			known.Index = index
			changed = true
		}
	}
	return changed
}

// addSuspect adds a suspect. Above maxSuspects it drops one that the fewest backend
// servers crashed with, the oldest of several.
func (s *State) addSuspect(index uint64, c Suspect) bool {
	c.Index = index
	s.data.Suspects = append(slices.Clone(s.data.Suspects), c)
	if len(s.data.Suspects) <= maxSuspects {
		return true
	}
	least := 0
	for i, v := range s.data.Suspects {
		if len(v.Crashed) < len(s.data.Suspects[least].Crashed) {
			least = i
		}
	}
	s.data.Suspects = slices.Delete(s.data.Suspects, least, least+1)
	return true
}

// release ends the suspicion of v and reports whether there was one.
func (v *Suspect) release(index uint64) bool {
	if len(v.Crashed) == 0 {
		return false
	}
	v.Crashed, v.ReleasedIndex, v.Index = nil, index, index
	return true
}

// CrashKey returns the key by which package poison records the incarnation of n.
func (n Server) CrashKey() poison.Server {
	return poison.Server{Service: n.Service, DataCentre: n.DataCentre, Name: n.Name, Incarnation: n.Incarnation}
}
