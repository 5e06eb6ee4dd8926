// Package poison keeps a request that crashes backend servers from being run again.
//
// A request that was in flight on a backend server when it crashed is a suspect: it,
// or another one in flight there, may be the cause. A suspect runs only while no other
// suspect runs in the cell, so that the next crash tells them apart: of several
// suspects at most one is in flight on the second backend server. A request that was
// in flight on two crashed backend servers is quarantined for a time. A complete
// answer releases a suspect. A suspect that is not the cause may run again immediately
// and is released by its answer. So at backend servers with three slots, the first
// crash makes three suspects and the second one quarantines one of them.
//
// If more backend servers crash within a second than one request can crash, it is an
// outage. An outage quarantines no request, since a popular one is always in flight on
// at least two of the backend servers.
//
// A backend server counts as crashed if a connection to it broke and it then accepts
// no new one, or announces a new incarnation. The caller passes the time in.
package poison

import (
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
)

// Server is one incarnation of a backend server.
type Server struct {
	Service     string
	DataCentre  string
	Name        string
	Incarnation uint64
}

// Admission is the decision whether a request may run.
type Admission uint8

// The admissions.
const (
	// Clear admits a request that is no suspect.
	Clear Admission = iota
	// Alone admits a suspect while no other suspect runs in the cell.
	Alone
	// Quarantined refuses the request.
	Quarantined
)

// Register holds the suspects. Its zero value is empty and ready to use, and a nil
// Register admits every request. Set the exported field before use.
type Register struct {
	// Spread shares new suspects with other instances. It may be nil.
	Spread Sharer
	// Counter counts events of suspects, and Logger logs them. Either may be nil.
	Counter Counter
	Logger  *slog.Logger

	// active is false while there are no suspects and no broken connections.
	active atomic.Bool
	mu     sync.Mutex
	// suspects holds the suspects by fingerprint.
	suspects map[uint64]*suspect
	// broken holds the broken connections whose backend server may have crashed.
	broken map[identity][]brokenConn
	// recentCrashes holds the crashes within outageWindow, each backend server once.
	recentCrashes []crash
	// lastSweep is the time at which sweep last ran.
	lastSweep time.Time
}

// suspect is a request that was in flight on crashed backend servers.
type suspect struct {
	// crashed holds each incarnation once.
	crashed []Server
	expires time.Time
	// lastCrash is when this instance learned of the last crash.
	lastCrash time.Time
	// quarantinedAt is the time of the last crash that began or confirmed a quarantine.
	quarantinedAt time.Time
}

// identity identifies a backend server across its incarnations.
type identity struct{ service, dataCentre, name string }

// Admit returns whether the request with the fingerprint f may run and, if it is
// quarantined, for how long it is still refused.
func (g *Register) Admit(now time.Time, f uint64) (Admission, time.Duration) {
	if g == nil || !g.active.Load() {
		return Clear, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.lastSweep) >= sweepInterval {
		g.sweep(now)
	}
	e := g.suspects[f]
	switch {
	case e == nil || !now.Before(e.expires):
		return Clear, 0
	case len(e.crashed) < crashLimit:
		return Alone, 0
	default:
		return Quarantined, e.expires.Sub(now)
	}
}

// Refusal returns the answer to a request that is quarantined for the time left.
func Refusal(left time.Duration) *snipefront.Error {
	return snipefront.Refused(snipefront.ReasonQuarantined, left, "two backend servers fell while this request was in flight; this resend was not run")
}

// Answered records a complete answer to f, which releases it if it is a suspect. A
// quarantined request stays quarantined.
func (g *Register) Answered(f uint64) {
	if g == nil || !g.active.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.suspects[f]; e != nil && len(e.crashed) < crashLimit {
		g.report(time.Now(), EventReleased, "answered", f, e)
		delete(g.suspects, f)
	}
}

// addSuspects makes suspects of the requests whose connection to an incarnation of id
// broke, if ended returns true for that incarnation. It returns the records to share.
// In an outage it also returns a record of each crash that it did not add, so that the
// other instances recognize the outage, too.
func (g *Register) addSuspects(now time.Time, id identity, ended func(Server) bool) []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	var changed []Record
	kept := g.broken[id][:0]
	for _, b := range g.broken[id] {
		switch {
		case !now.Before(b.expires):
		case !ended(b.server):
			kept = append(kept, b)
		case g.addCrash(now, b.fingerprint, b.server, EventCrash, 0):
			changed = append(changed, g.record(now, b.fingerprint))
		case len(g.recentCrashes) >= outageCrashes:
			changed = append(changed, Record{Fingerprint: b.fingerprint, Fallen: []Server{b.server}, Left: suspectTime})
		}
	}
	g.setBroken(id, kept)
	return changed
}

// addCrash adds s to the crashed backend servers of the suspect f and reports whether
// it did. In an outage it adds no second crash. The event is EventCrash if this instance
// saw the crash, and EventLearned otherwise. The suspect lasts for the time left at
// least, or for its full lifetime if left is zero. The lock is held.
func (g *Register) addCrash(now time.Time, f uint64, s Server, event Event, left time.Duration) bool {
	g.activate()
	e := g.suspects[f]
	if e == nil || !now.Before(e.expires) {
		if len(g.suspects) >= maxEntries {
			g.evict(now)
			g.activate()
		}
		e = &suspect{}
		g.suspects[f] = e
	}
	if len(e.crashed) >= maxCrashed || slices.Contains(e.crashed, s) {
		return false
	}
	if g.recordCrash(now, s) {
		g.releaseQuarantined(now)
		if len(e.crashed) >= crashLimit-1 {
			g.report(now, event, "not added: part of an outage, "+s.Name, f, e)
			return false
		}
	}
	e.crashed = append(e.crashed, s)
	e.lastCrash = now
	if len(e.crashed) >= crashLimit {
		e.quarantinedAt = now
	}
	defer func() { g.reportCrash(now, event, f, e, s) }()
	if left == 0 {
		left = RecordLifetime(len(e.crashed))
	}
	if expires := now.Add(left); expires.After(e.expires) {
		e.expires = expires
	}
	return true
}

// RecordLifetime returns how long the record of a request that was in flight on the
// given number of crashed backend servers is valid.
func RecordLifetime(crashed int) time.Duration {
	if crashed < crashLimit {
		return suspectTime
	}
	return quarantineTime
}

// evict frees space for one suspect. It removes the expired ones or, if none has
// expired, the one that expires first. The lock is held.
func (g *Register) evict(now time.Time) {
	g.sweep(now)
	if len(g.suspects) < maxEntries {
		return
	}
	var earliest uint64
	var expires time.Time
	for f, e := range g.suspects {
		if expires.IsZero() || e.expires.Before(expires) {
			earliest, expires = f, e.expires
		}
	}
	g.report(now, EventEvicted, "no space", earliest, g.suspects[earliest])
	delete(g.suspects, earliest)
}

// sweep removes expired suspects and broken connections. The lock is held.
func (g *Register) sweep(now time.Time) {
	g.lastSweep = now
	for f, e := range g.suspects {
		if !now.Before(e.expires) {
			g.report(now, EventExpired, "time", f, e)
			delete(g.suspects, f)
		}
	}
	for id, list := range g.broken {
		g.setBroken(id, slices.DeleteFunc(list, func(b brokenConn) bool { return !now.Before(b.expires) }))
	}
	g.active.Store(len(g.suspects)+len(g.broken) > 0)
}

// activate makes the maps if they are nil, and sets active. The lock is held.
func (g *Register) activate() {
	if g.suspects == nil {
		g.suspects = map[uint64]*suspect{}
		g.broken = map[identity][]brokenConn{}
	}
	g.active.Store(true)
}

func (s Server) identity() identity {
	return identity{service: s.Service, dataCentre: s.DataCentre, name: s.Name}
}
