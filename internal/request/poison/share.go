package poison

import (
	"slices"
	"time"
)

// Record describes a suspect to other instances.
type Record struct {
	Fingerprint uint64
	// Fallen lists the backend servers that crashed while the request was in flight.
	// There is at least one.
	Fallen []Server
	// Left is the time for which the record is still valid.
	Left time.Duration
}

// Sharer shares a record with the other instances.
type Sharer interface {
	// Share must not block.
	Share(r Record)
}

// Records returns the records of all suspects.
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

// Merge adds the records of another instance to the suspects.
func (g *Register) Merge(now time.Time, list []Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range list {
		if r.Left > 0 {
			g.merge(now, r)
		}
	}
}

// merge adds r to the suspects. If r alone does not quarantine the request, but its
// crash does together with those recorded here, the request is quarantined for the
// full time from now on. The lock is held.
func (g *Register) merge(now time.Time, r Record) {
	left := min(r.Left, quarantineTime)
	for _, s := range r.Fallen {
		isNew := g.addCrash(now, r.Fingerprint, s, EventLearned, left)
		if e := g.suspects[r.Fingerprint]; isNew && len(e.crashed) >= crashLimit && len(r.Fallen) < crashLimit {
			e.expires = now.Add(quarantineTime)
		}
	}
}

// record returns the record of the suspect f. The lock is held.
func (g *Register) record(now time.Time, f uint64) Record {
	e := g.suspects[f]
	return Record{Fingerprint: f, Fallen: slices.Clone(e.crashed), Left: e.expires.Sub(now)}
}
