package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// Delta holds the changes of the state after an index.
type Delta struct {
	// Index is the index of the last change of the state.
	Index uint64
	// Whole is true if the delta holds the whole state and replaces what the reader
	// has.
	Whole bool `json:",omitempty"`
	// Document is nil if it has not changed.
	Document  *Document  `json:",omitempty"`
	Servers   []Server   `json:",omitempty"`
	Instances []Instance `json:",omitempty"`
	Removals  []Removal  `json:",omitempty"`
	// Out lists the data centres out of service. It is nil if the list has not
	// changed.
	Out      *[]string `json:",omitempty"`
	Suspects []Suspect `json:",omitempty"`
	Rollouts []Rollout `json:",omitempty"`
	// Unreadable is the number of entries that were left out when the delta was decoded.
	Unreadable int `json:"-"`
}

// DeltaSince returns what changed after the index applied, or the whole state if
// applied is zero or older than the removals that are kept.
func (s *State) DeltaSince(applied uint64) Delta {
	s.mu.RLock()
	defer s.mu.RUnlock()
	d := Delta{Index: s.data.Index, Whole: applied == 0 || applied < s.data.Forgotten}
	if d.Whole {
		applied = 0
	}
	if applied >= d.Index {
		return d
	}
	if s.data.Document.Index > applied {
		c := s.data.Document
		d.Document = &c
	}
	for _, v := range s.data.Servers {
		if v.Index > applied {
			d.Servers = append(d.Servers, v)
		}
	}
	for _, v := range s.data.Instances {
		if v.Index > applied {
			d.Instances = append(d.Instances, v)
		}
	}
	for _, v := range s.data.Suspects {
		if v.Index > applied {
			d.Suspects = append(d.Suspects, v)
		}
	}
	for _, v := range s.data.Rollouts {
		if v.Index > applied {
			d.Rollouts = append(d.Rollouts, v)
		}
	}
	if d.Whole || s.data.OutIndex > applied {
		// The list is empty rather than nil if no data centre is out of service: nil
		// would mean that nothing has changed.
		out := slices.AppendSeq([]string{}, maps.Keys(s.data.Out))
		slices.Sort(out)
		d.Out = &out
	}
	if !d.Whole {
		d.Removals = s.removalsSince(applied)
	}
	return d
}

func (s *State) removalsSince(applied uint64) []Removal {
	var list []Removal
	for _, r := range s.data.Removals {
		if r.Index > applied {
			list = append(list, r)
		}
	}
	return list
}

// Deregistered reports whether the incarnation of n has deregistered itself according to
// d. A whole state does not tell why a backend server is missing.
func (d Delta) Deregistered(n Server) bool {
	return slices.ContainsFunc(d.Removals, func(r Removal) bool { return r.Server == n.Name && r.Incarnation >= n.Incarnation })
}

// OnlySuspects reports whether d changes nothing but suspects.
func (d Delta) OnlySuspects() bool {
	return !d.Whole && d.Document == nil && d.Out == nil && len(d.Servers)+len(d.Instances)+len(d.Removals)+len(d.Rollouts) == 0
}

// Apply returns v with the changes of d applied. It does not modify v, and shares with it
// what d does not change.
func (v View) Apply(d Delta) View {
	next := v
	next.Index = d.Index
	if d.Whole {
		next.Servers, next.Instances, next.Suspects, next.Rollouts = nil, nil, nil, nil
	}
	if d.Document != nil && d.Document.Version > v.Document.Version {
		next.Document = *d.Document
	}
	if d.Out != nil {
		next.Out = map[string]bool{}
		for _, n := range *d.Out {
			next.Out[n] = true
		}
	}
	var servers, instances []string
	for _, r := range d.Removals {
		servers, instances = append(servers, r.Server), append(instances, r.Instance)
	}
	next.Servers = withChanges(next.Servers, servers, d.Servers, func(n Server) string { return n.Name })
	next.Instances = withChanges(next.Instances, instances, d.Instances, func(n Instance) string { return n.Name })
	next.Suspects = newestSuspects(withChanges(next.Suspects, nil, d.Suspects, func(n Suspect) uint64 { return n.Fingerprint }))
	next.Rollouts = withChanges(next.Rollouts, nil, d.Rollouts, func(n Rollout) string { return n.Service })
	return next
}

// withChanges returns a copy of m without the keys removed and with the values changed, or
// m itself if there are none.
func withChanges[K comparable, V any](m map[K]V, removed []K, changed []V, key func(V) K) map[K]V {
	if m != nil && len(removed)+len(changed) == 0 {
		return m
	}
	next := make(map[K]V, len(m)+len(changed))
	maps.Copy(next, m)
	for _, k := range removed {
		delete(next, k)
	}
	for _, n := range changed {
		next[key(n)] = n
	}
	return next
}

// newestSuspects removes from m all but the maxSuspects that changed last, since a reader
// isn't told which ones the state dropped. It returns m.
func newestSuspects(m map[uint64]Suspect) map[uint64]Suspect {
	if len(m) <= maxSuspects {
		return m
	}
	oldestFirst := slices.SortedFunc(maps.Values(m), func(a, b Suspect) int { return cmp.Compare(a.Index, b.Index) })
	for _, n := range oldestFirst[:len(m)-maxSuspects] {
		delete(m, n.Fingerprint)
	}
	return m
}

// View is a reader's copy of the state. It is immutable once published, and may share its
// maps with earlier views.
type View struct {
	Index uint64
	// Document never goes back to a lower version.
	Document  Document
	Servers   map[string]Server
	Instances map[string]Instance
	// Out holds the data centres out of service.
	Out map[string]bool
	// Suspects holds the suspects by fingerprint, at most maxSuspects.
	Suspects map[uint64]Suspect
	// Rollouts holds the last rollout of each service that ever had one.
	Rollouts map[string]Rollout
}

// Edges returns the number of instances that accept requests or are about to start or
// stop doing so.
func (v View) Edges() int {
	n := 0
	for _, i := range v.Instances {
		if !i.Control {
			n++
		}
	}
	return n
}

// View returns the whole state. Its maps are copies.
func (s *State) View() View {
	return View{}.Apply(s.DeltaSince(0))
}
