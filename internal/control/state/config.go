package state

import "sort"

// maxHistory is the most accepted changes that the history holds. A resend of an
// older change is rejected as a conflict.
const maxHistory = 4096

// Change is one accepted ConfigChange, without the contents of its files. Revision is
// the revision that it created.
type Change struct {
	Revision   uint64
	ChangeID   string
	Version    uint64
	Digest     string
	Written    []string
	Removed    []string
	UnixMillis int64
}

// storedFile is a file and the revision that last wrote it.
type storedFile struct {
	Content  []byte
	Revision uint64
}

// Delta is the difference between an earlier revision and the current one.
// Removed files are deleted before the others are written.
type Delta struct {
	Revision uint64
	Files    []File
	Removed  []string
	// Whole is true if Files is the whole configuration.
	Whole bool
}

// Revision returns the current revision.
func (s *State) Revision() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.data.Revision
}

// DeltaSince returns what changed after the revision applied. If the history does
// not reach back that far, or applied is later than the current revision, it
// returns the whole configuration.
func (s *State) DeltaSince(applied uint64) Delta {
	s.mu.RLock()
	defer s.mu.RUnlock()
	d := Delta{Revision: s.data.Revision}
	if applied == s.data.Revision {
		return d
	}
	d.Whole = applied < s.oldestDeltaBase() || applied > s.data.Revision
	for n, f := range s.data.Files {
		if d.Whole || f.Revision > applied {
			d.Files = append(d.Files, File{Name: n, Content: f.Content})
		}
	}
	sort.Slice(d.Files, func(i, j int) bool { return d.Files[i].Name < d.Files[j].Name })
	if !d.Whole {
		d.Removed = s.removedSince(applied)
	}
	return d
}

// History returns the changes in the history, oldest first.
func (s *State) History() []Change {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return append([]Change(nil), s.data.History...)
}

// oldestDeltaBase returns the lowest revision after which the history is
// complete.
func (s *State) oldestDeltaBase() uint64 {
	if len(s.data.History) == 0 {
		return s.data.Revision
	}
	return s.data.History[0].Revision - 1
}

// removedSince returns the names of the files that changes after the revision applied
// removed. Some may have been written again since.
func (s *State) removedSince(applied uint64) []string {
	var names []string
	seen := map[string]bool{}
	for i := len(s.data.History) - 1; i >= 0 && s.data.History[i].Revision > applied; i-- {
		for _, n := range s.data.History[i].Removed {
			if !seen[n] {
				seen[n] = true
				names = append(names, n)
			}
		}
	}
	return names
}

func (s *State) applyConfig(c *ConfigChange, unixMillis int64) ConfigResult {
	if h, ok := s.findChange(c); ok {
		return ConfigResult{Revision: h.Revision, Repeated: true}
	}
	if c.Version != s.data.Revision {
		return s.conflict()
	}
	h := Change{
		Revision:   s.data.Revision + 1,
		ChangeID:   c.ChangeID,
		Version:    c.Version,
		Digest:     c.Digest,
		Removed:    c.Removed,
		UnixMillis: unixMillis,
	}
	for _, f := range c.Written {
		s.data.Files[f.Name] = storedFile{Content: f.Content, Revision: h.Revision}
		h.Written = append(h.Written, f.Name)
	}
	for _, n := range c.Removed {
		delete(s.data.Files, n)
	}
	s.data.Revision = h.Revision
	s.data.History = append(s.data.History, h)
	if over := len(s.data.History) - maxHistory; over > 0 {
		s.data.History = append([]Change(nil), s.data.History[over:]...)
	}
	return ConfigResult{Revision: h.Revision}
}

// findChange returns the accepted change that c repeats: one with the same
// ChangeID, or with the same folder based on the same version.
func (s *State) findChange(c *ConfigChange) (Change, bool) {
	for i := len(s.data.History) - 1; i >= 0; i-- {
		h := s.data.History[i]
		if h.ChangeID == c.ChangeID || h.Version == c.Version && h.Digest == c.Digest {
			return h, true
		}
	}
	return Change{}, false
}

// conflict returns the result of a change that is based on another revision than the
// current one.
func (s *State) conflict() ConfigResult {
	r := ConfigResult{Revision: s.data.Revision, Conflict: true}
	if last := len(s.data.History) - 1; last >= 0 {
		r.Winner = s.data.History[last].ChangeID
	}
	return r
}
