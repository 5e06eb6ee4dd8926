package poison

import (
	"slices"
	"time"
)

// Record describes a suspect to other instances.
type Record struct {
	Fingerprint uint64
	// Released is true if nothing that was known of the request before counts any more.
	// Crashed then holds only later crashes.
	Released bool
	// Answered holds the software that has answered the request completely since what was
	// known of it before. Of that, Crashed holds only later crashes.
	Answered []Software
	// Crashed lists the backend servers that crashed while the request was in flight.
	// There is at least one, unless Released is true.
	Crashed []Server
	// Trials counts the trial runs that the fleet has granted.
	Trials int
	// Left is the time for which the record is still valid.
	Left time.Duration
}

// Add returns the record r with the later one added.
func (r Record) Add(later Record) Record {
	if later.Released {
		return later
	}
	for _, s := range later.Answered {
		r.Crashed, r.Answered = WithoutSoftware(r.Crashed, s), addSoftware(r.Answered, s)
	}
	for _, s := range later.Crashed {
		if !ContainsServer(r.Crashed, s) {
			r.Crashed = append(slices.Clone(r.Crashed), s)
		}
	}
	r.Left = max(r.Left, later.Left)
	return r
}

// IsRelease reports whether r tells only of answers.
func (r Record) IsRelease() bool {
	return len(r.Crashed) == 0 && (r.Released || len(r.Answered) > 0)
}

// newCrash returns the record of a crash of s that this instance saw with the suspect f in
// flight. The lock is held.
func (g *Register) newCrash(f uint64, s Server) Record {
	return Record{Fingerprint: f, Crashed: []Server{s}, Left: RecordLifetime(len(g.suspects[f].crashed))}
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
	var answered []Record
	g.mu.Lock()
	for _, r := range list {
		if r.Left <= 0 {
			continue
		}
		if r.Released {
			g.release(now, r.Fingerprint, "answered at another instance")
		}
		for _, s := range r.Answered {
			g.prove(now, r.Fingerprint, s, "answered at another instance")
		}
		if own := g.merge(now, r); len(own) > 0 {
			// The next crash would quarantine a request that others answer all the time.
			answered = append(answered, Record{Fingerprint: r.Fingerprint, Answered: own, Left: quarantineTime})
		}
	}
	g.mu.Unlock()
	for _, r := range answered {
		g.share(r)
	}
}

// merge adds r to the suspects. If r alone does not quarantine the request, but its
// crash does together with those recorded here, the request is quarantined for the
// full time from now on. It returns the software that has answered the request according to
// this instance alone, so that the others should learn of that. The lock is held.
func (g *Register) merge(now time.Time, r Record) (answered []Software) {
	left := min(r.Left, quarantineTime)
	for _, s := range r.Crashed {
		isNew := g.addCrash(now, r.Fingerprint, s, EventLearned, left)
		if e := g.suspects[r.Fingerprint]; isNew && len(e.crashed) >= CrashLimit && len(r.Crashed) < CrashLimit {
			e.expires = now.Add(quarantineTime)
		}
	}
	if e := g.suspects[r.Fingerprint]; e != nil {
		e.trials.add(now, r.Trials)
	}
	if len(r.Crashed) == 0 {
		return nil
	}
	for _, s := range g.answers.by(now, r.Fingerprint) {
		if !slices.Contains(r.Answered, s) {
			answered = append(answered, s)
		}
	}
	return answered
}

// record returns the record of the suspect f. The lock is held.
func (g *Register) record(now time.Time, f uint64) Record {
	e := g.suspects[f]
	return Record{Fingerprint: f, Crashed: slices.Clone(e.crashed), Answered: e.proven, Trials: e.trials.granted, Left: e.expires.Sub(now)}
}
