package poison

import (
	"slices"
	"time"
)

// Record is what is known of one suspect. Instances share it.
type Record struct {
	Fingerprint uint64
	// Fallen lists the backend servers that fell under it. At least one.
	Fallen []Server
	// Left is the time for which the record still holds.
	Left time.Duration
}

// Sharer shares a record with the other instances.
type Sharer interface {
	// Share must not wait.
	Share(r Record)
}

// Records returns all suspects.
func (g *Register) Records(now time.Time) []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	list := make([]Record, 0, len(g.suspects))
	for f := range g.suspects {
		list = append(list, g.record(now, f))
	}
	return list
}

// Merge takes in the records of another instance.
func (g *Register) Merge(now time.Time, list []Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range list {
		if r.Left > 0 {
			g.merge(now, r)
		}
	}
}

// merge takes in r. Where it and what is known here make a quarantine that
// neither was alone, the quarantine begins now. The lock is held.
func (g *Register) merge(now time.Time, r Record) {
	left := min(r.Left, quarantine)
	for _, s := range r.Fallen {
		isNew := g.add(now, r.Fingerprint, s, left)
		if e := g.suspects[r.Fingerprint]; isNew && len(e.fallen) >= fatal && len(r.Fallen) < fatal {
			e.ends = now.Add(quarantine)
		}
	}
}

// record returns the record of the suspect f. The lock is held.
func (g *Register) record(now time.Time, f uint64) Record {
	e := g.suspects[f]
	return Record{Fingerprint: f, Fallen: slices.Clone(e.fallen), Left: e.ends.Sub(now)}
}
