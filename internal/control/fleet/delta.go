package fleet

import (
	"maps"
	"slices"
)

// Delta is what changed in the state after an index.
type Delta struct {
	// Index is that of the last change in it.
	Index uint64
	// Whole is true where it holds the whole state.
	Whole bool `json:",omitempty"`
	// Document is nil where it has not changed.
	Document  *Document  `json:",omitempty"`
	Servers   []Server   `json:",omitempty"`
	Instances []Instance `json:",omitempty"`
	Removals  []Removal  `json:",omitempty"`
	// Out is nil where it has not changed.
	Out      *[]string `json:",omitempty"`
	Suspects []Suspect `json:",omitempty"`
}

// Since returns what changed after the index held. Zero is a reader that holds
// nothing.
func (s *State) Since(held uint64) Delta {
	s.mu.RLock()
	defer s.mu.RUnlock()
	d := Delta{Index: s.data.Index, Whole: held == 0 || held < s.data.Forgotten}
	if d.Whole {
		held = 0
	}
	if held >= d.Index {
		return d
	}
	if s.data.Document.Index > held {
		c := s.data.Document
		d.Document = &c
	}
	for _, v := range s.data.Servers {
		if v.Index > held {
			d.Servers = append(d.Servers, v)
		}
	}
	for _, v := range s.data.Instances {
		if v.Index > held {
			d.Instances = append(d.Instances, v)
		}
	}
	for _, v := range s.data.Suspects {
		if v.Index > held {
			d.Suspects = append(d.Suspects, v)
		}
	}
	if d.Whole || s.data.OutIndex > held {
		// An empty list is not nil, which would say that nothing has changed.
		out := slices.AppendSeq([]string{}, maps.Keys(s.data.Out))
		slices.Sort(out)
		d.Out = &out
	}
	if !d.Whole {
		d.Removals = s.removalsSince(held)
	}
	return d
}

func (s *State) removalsSince(held uint64) []Removal {
	var list []Removal
	for _, r := range s.data.Removals {
		if r.Index > held {
			list = append(list, r)
		}
	}
	return list
}

// Add returns v with the changes of d. It leaves v as it is.
func (v View) Add(d Delta) View {
	next := View{
		Index:     d.Index,
		Document:  v.Document,
		Servers:   map[string]Server{},
		Instances: map[string]Instance{},
		Suspects:  map[uint64]Suspect{},
		Out:       v.Out,
	}
	if !d.Whole {
		maps.Copy(next.Servers, v.Servers)
		maps.Copy(next.Instances, v.Instances)
		maps.Copy(next.Suspects, v.Suspects)
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
	for _, r := range d.Removals {
		delete(next.Servers, r.Server)
		delete(next.Instances, r.Instance)
	}
	for _, n := range d.Servers {
		next.Servers[n.Name] = n
	}
	for _, n := range d.Instances {
		next.Instances[n.Name] = n
	}
	for _, n := range d.Suspects {
		next.Suspects[n.Fingerprint] = n
	}
	return next
}

// View is the state as a reader holds it. It is never changed after it is
// published.
type View struct {
	Index uint64
	// Document never goes back to a lower version.
	Document  Document
	Servers   map[string]Server
	Instances map[string]Instance
	Out       map[string]bool
	Suspects  map[uint64]Suspect
}

// View returns the whole state. Its maps are copies.
func (s *State) View() View {
	return View{}.Add(s.Since(0))
}
