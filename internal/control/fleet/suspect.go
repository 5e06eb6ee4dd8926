package fleet

import (
	"slices"

	"github.com/snipefront/snipefront/internal/request/poison"
)

// maxSuspects is the number of suspects that are kept.
const maxSuspects = 256

// suspect ends the suspicion of the request of c if c says so, and adds the crashed backend
// servers of c. It reports whether that changed the state.
func (s *State) suspect(index uint64, c Suspect) bool {
	i := slices.IndexFunc(s.data.Suspects, func(v Suspect) bool { return v.Fingerprint == c.Fingerprint })
	if i < 0 {
		if len(c.Crashed) == 0 {
			return false
		}
		s.addSuspect(index, Suspect{Fingerprint: c.Fingerprint, Crashed: c.Crashed})
		return true
	}
	known := &s.data.Suspects[i]
	if c.Trials > 0 {
		return known.grantTrial(index, c.Trials)
	}
	changed := c.Released && known.release(index)
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
func (s *State) addSuspect(index uint64, c Suspect) {
	c.Index = index
	s.data.Suspects = append(slices.Clone(s.data.Suspects), c)
	if len(s.data.Suspects) <= maxSuspects {
		return
	}
	least := 0
	for i, v := range s.data.Suspects {
		if len(v.Crashed) < len(s.data.Suspects[least].Crashed) {
			least = i
		}
	}
	s.data.Suspects = slices.Delete(s.data.Suspects, least, least+1)
}

// release ends the suspicion of v and reports whether there was one.
func (v *Suspect) release(index uint64) bool {
	if len(v.Crashed) == 0 {
		return false
	}
	v.Crashed, v.Trials, v.ReleasedIndex, v.Index = nil, 0, index, index
	return true
}

// grantTrial grants the trial run with the number n, if it is the next one. It reports
// whether it did.
func (v *Suspect) grantTrial(index uint64, n int) bool {
	if len(v.Crashed) == 0 || n != v.Trials+1 {
		return false
	}
	v.Trials, v.Index = n, index
	return true
}

// CrashKey returns the key by which package poison records the incarnation of n.
func (n Server) CrashKey() poison.Server {
	return poison.Server{Service: n.Service, DataCentre: n.DataCentre, Name: n.Name, Incarnation: n.Incarnation}
}
