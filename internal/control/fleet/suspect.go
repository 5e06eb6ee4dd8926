package fleet

import "slices"

// keptSuspects bounds the suspects. The oldest make room.
const keptSuspects = 256

// suspect adds the fallen backend servers of c to what is known of its
// fingerprint.
func (s *State) suspect(index uint64, c Suspect) bool {
	i := slices.IndexFunc(s.data.Suspects, func(v Suspect) bool { return v.Fingerprint == c.Fingerprint })
	if i < 0 {
		c.Index = index
		s.data.Suspects = append(s.data.Suspects, c)
		if over := len(s.data.Suspects) - keptSuspects; over > 0 {
			s.data.Suspects = slices.Clone(s.data.Suspects[over:])
		}
		return true
	}
	v := &s.data.Suspects[i]
	changed := false
	for _, f := range c.Crashed {
		if !slices.Contains(v.Crashed, f) {
			v.Crashed = append(slices.Clone(v.Crashed), f)
			v.Index = index
			changed = true
		}
	}
	return changed
}
