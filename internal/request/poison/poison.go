// Package poison keeps a request that makes backend servers fall from being run
// again.
//
// A request that was in flight on a backend server when that fell is a suspect:
// it, or one beside it, may be the cause. A suspect runs only while no other
// suspect runs in the cell, so that the next fall tells them apart: of several
// suspects at most one is in flight on the second backend server. A request that
// was in flight on two that fell is quarantined for a time. A whole answer
// clears a suspect. One that was beside the cause runs again at once and is
// cleared by its answer, so with three slots a first fall makes three suspects
// and the second one quarantine.
//
// Where more backend servers fall within a second than one request can make fall,
// it is an outage: requests that were in flight on two of them are not quarantined
// for that, since popular ones always are.
//
// A backend server fell where a connection to it broke and it then accepts no
// new one, or announces a new incarnation. The time is passed in.
package poison

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
)

const (
	// quarantine is how long a request on two fallen backend servers is refused.
	quarantine = 5 * time.Minute
	// suspicion is how long a request on one fallen backend server runs alone.
	suspicion = time.Minute
	// fatal is the number of fallen backend servers that quarantines.
	fatal = 2
	// maxFallen bounds the fallen backend servers that are remembered of a suspect.
	maxFallen = 8
	// maxEntries bounds the suspects that are remembered.
	maxEntries = 4096
	// sweepInterval is the time between looks for what no longer holds.
	sweepInterval = time.Second
)

// Server is one start of a backend server.
type Server struct {
	Service     string
	DataCentre  string
	Name        string
	Incarnation uint64
}

// Record is what is known of one suspect. Instances share it.
type Record struct {
	Fingerprint uint64
	// Fallen lists the backend servers that fell under it. At least one.
	Fallen []Server
	// Left is the time for which the record still holds.
	Left time.Duration
}

// Spread shares a record with the other instances.
type Spread interface {
	// Spread must not wait.
	Spread(r Record)
}

// Admission says whether a request may run.
type Admission uint8

// The admissions.
const (
	// Clear is no suspect.
	Clear Admission = iota
	// Alone may run while no other suspect runs in the cell.
	Alone
	// Quarantined may not run.
	Quarantined
)

// Register remembers suspects. Its zero value is empty and ready, and a nil
// Register admits everything. Set the exported field before use.
type Register struct {
	// Spread may be nil.
	Spread Spread

	// busy is false while there is nothing to look up.
	busy     atomic.Bool
	mu       sync.Mutex
	suspects map[uint64]*entry
	broken   map[place][]breakage
	// falls holds the falls of the last moments, each backend server once.
	falls []fall
	// swept is when sweep last ran.
	swept time.Time
}

// entry is a suspect. It never has two equal servers.
type entry struct {
	fallen []Server
	ends   time.Time
	// convicted is when the last fall made or kept a quarantine.
	convicted time.Time
}

// place is a backend server over all its starts.
type place struct{ service, dataCentre, name string }

// breakage is a connection that broke with a request in flight.
type breakage struct {
	fingerprint uint64
	server      Server
	ends        time.Time
}

// Admit returns whether the request f may run, and for how long it is refused.
func (g *Register) Admit(now time.Time, f uint64) (Admission, time.Duration) {
	if g == nil || !g.busy.Load() {
		return Clear, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.swept) >= sweepInterval {
		g.sweep(now)
	}
	e := g.suspects[f]
	switch {
	case e == nil || !now.Before(e.ends):
		return Clear, 0
	case len(e.fallen) < fatal:
		return Alone, 0
	default:
		return Quarantined, e.ends.Sub(now)
	}
}

// Refusal returns the final answer to a request that is quarantined for the
// time left.
func Refusal(left time.Duration) *snipefront.Error {
	return snipefront.Refused(snipefront.ReasonQuarantined, left, "two backend servers fell while this request was in flight; this resend was not run")
}

// Answered clears f where it is a suspect. A quarantine stays.
func (g *Register) Answered(f uint64) {
	if g == nil || !g.busy.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.suspects[f]; e != nil && len(e.fallen) < fatal {
		delete(g.suspects, f)
	}
}

// Broke takes in that a connection to s broke while f was in flight. Whether s
// fell is not known yet.
func (g *Register) Broke(now time.Time, f uint64, s Server) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	g.start()
	p := s.place()
	if len(g.broken[p]) < maxEntries {
		g.broken[p] = append(g.broken[p], breakage{fingerprint: f, server: s, ends: now.Add(suspicion)})
	}
}

// Fell takes in that the start s of a backend server has ended.
func (g *Register) Fell(now time.Time, s Server) {
	g.convict(now, s, func(o Server) bool { return o.Incarnation <= s.Incarnation })
}

// Seen takes in that s is running. Earlier starts of it have ended.
func (g *Register) Seen(now time.Time, s Server) {
	if g == nil || !g.busy.Load() {
		return
	}
	g.convict(now, s, func(o Server) bool { return o.Incarnation < s.Incarnation })
}

// convict makes suspects of the requests on the starts of s that ended.
func (g *Register) convict(now time.Time, s Server, ended func(Server) bool) {
	if g == nil {
		return
	}
	for _, r := range g.suspect(now, s.place(), ended) {
		if g.Spread != nil {
			g.Spread.Spread(r)
		}
	}
}

func (g *Register) suspect(now time.Time, p place, ended func(Server) bool) []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	var changed []Record
	kept := g.broken[p][:0]
	for _, b := range g.broken[p] {
		switch {
		case !now.Before(b.ends):
		case !ended(b.server):
			kept = append(kept, b)
		case g.add(now, b.fingerprint, b.server, 0):
			changed = append(changed, g.record(now, b.fingerprint))
		case len(g.falls) >= outageFalls:
			changed = append(changed, Record{Fingerprint: b.fingerprint, Fallen: []Server{b.server}, Left: suspicion})
		}
	}
	g.keep(p, kept)
	return changed
}

func (g *Register) keep(p place, kept []breakage) {
	if len(kept) == 0 {
		delete(g.broken, p)
		return
	}
	g.broken[p] = kept
}

// add puts s to the fallen of f and returns whether that is new. A left of zero
// begins the full time. The lock is held.
func (g *Register) add(now time.Time, f uint64, s Server, left time.Duration) bool {
	g.start()
	e := g.suspects[f]
	if e == nil || !now.Before(e.ends) {
		if len(g.suspects) >= maxEntries {
			g.evict(now)
			g.start()
		}
		e = &entry{}
		g.suspects[f] = e
	}
	if len(e.fallen) >= maxFallen || slices.Contains(e.fallen, s) {
		return false
	}
	if g.outage(now, s) {
		g.acquit(now)
		if len(e.fallen) >= fatal-1 {
			return false
		}
	}
	e.fallen = append(e.fallen, s)
	if len(e.fallen) >= fatal {
		e.convicted = now
	}
	if left == 0 {
		left = lasting(len(e.fallen))
	}
	if ends := now.Add(left); ends.After(e.ends) {
		e.ends = ends
	}
	return true
}

func lasting(fallen int) time.Duration {
	if fallen < fatal {
		return suspicion
	}
	return quarantine
}

// evict makes room for one suspect: those whose time is over go, else the one
// that ends first. The lock is held.
func (g *Register) evict(now time.Time) {
	g.sweep(now)
	if len(g.suspects) < maxEntries {
		return
	}
	var first uint64
	var ends time.Time
	for f, e := range g.suspects {
		if ends.IsZero() || e.ends.Before(ends) {
			first, ends = f, e.ends
		}
	}
	delete(g.suspects, first)
}

// sweep forgets what no longer holds. The lock is held.
func (g *Register) sweep(now time.Time) {
	g.swept = now
	for f, e := range g.suspects {
		if !now.Before(e.ends) {
			delete(g.suspects, f)
		}
	}
	for p, list := range g.broken {
		g.keep(p, slices.DeleteFunc(list, func(b breakage) bool { return !now.Before(b.ends) }))
	}
	g.busy.Store(len(g.suspects)+len(g.broken) > 0)
}

func (g *Register) start() {
	if g.suspects == nil {
		g.suspects = map[uint64]*entry{}
		g.broken = map[place][]breakage{}
	}
	g.busy.Store(true)
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

func (s Server) place() place {
	return place{service: s.Service, dataCentre: s.DataCentre, name: s.Name}
}
