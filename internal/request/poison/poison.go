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

// Server is one start of a backend server.
type Server struct {
	Service     string
	DataCentre  string
	Name        string
	Incarnation uint64
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
	Spread Sharer

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
		left = Lasting(len(e.fallen))
	}
	if ends := now.Add(left); ends.After(e.ends) {
		e.ends = ends
	}
	return true
}

// Lasting returns how long a record holds of a request under which that many
// backend servers fell.
func Lasting(fallen int) time.Duration {
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

func (s Server) place() place {
	return place{service: s.Service, dataCentre: s.DataCentre, name: s.Name}
}
