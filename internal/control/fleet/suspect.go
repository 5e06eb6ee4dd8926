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
		s.addSuspect(index, Suspect{Fingerprint: c.Fingerprint, Crashed: c.Crashed, Answered: answeredAt(index, c)})
		return true
	}
	known := &s.data.Suspects[i]
	if c.Trials > 0 {
		return known.grantTrial(index, c.Trials)
	}
	changed := c.Released && len(c.Answered) == 0 && known.release(index)
	for _, a := range c.Answered {
		changed = known.answered(index, a.Software) || changed
	}
	for _, crashed := range c.Crashed {
		if !poison.ContainsServer(known.Crashed, crashed) {
			known.Crashed = append(slices.Clone(known.Crashed), crashed)
			known.Answered = withoutAnswer(known.Answered, crashed.Software())
			known.Index = index
			changed = true
		}
	}
	if known.Index == index && len(known.Crashed) >= poison.CrashLimit {
		s.urgent = index
	}
	return changed
}

// answered records that the software has answered v, and ends the suspicion of v if no
// backend server with another software has crashed. It reports whether that changed v.
func (v *Suspect) answered(index uint64, software poison.Software) bool {
	left := poison.WithoutSoftware(v.Crashed, software)
	if len(left) == 0 {
		return v.release(index)
	}
	known := slices.ContainsFunc(v.Answered, func(a Answered) bool { return a.Software == software })
	if known && len(left) == len(v.Crashed) {
		return false
	}
	v.Answered = append(withoutAnswer(v.Answered, software), Answered{Software: software, Index: index})
	v.Answered = v.Answered[max(0, len(v.Answered)-poison.MaxSoftware):]
	v.Crashed, v.Index = left, index
	return true
}

// withoutAnswer returns a copy of list without the software.
func withoutAnswer(list []Answered, software poison.Software) []Answered {
	var kept []Answered
	for _, a := range list {
		if a.Software != software {
			kept = append(kept, a)
		}
	}
	return kept
}

// answeredAt returns the software that has answered according to c, except that of the later
// crashes of c.
func answeredAt(index uint64, c Suspect) []Answered {
	var list []Answered
	for _, a := range c.Answered {
		if len(poison.WithoutSoftware(c.Crashed, a.Software)) == len(c.Crashed) {
			list = append(list, Answered{Software: a.Software, Index: index})
		}
	}
	return list
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
	v.Crashed, v.Answered, v.Trials, v.ReleasedIndex, v.Index = nil, nil, 0, index, index
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
	return poison.Server{Service: n.Service, DataCentre: n.DataCentre, Name: n.Name, Incarnation: n.Incarnation, Version: n.Version}
}
