// Package poison quarantines requests that crash the backend servers which run them.
//
// A request that was in flight on a backend server when it crashed is a suspect. Usually
// several requests were in flight, and only one of them was the cause. A request that
// crashes each backend server never runs to its end, so an answer that shows a complete run
// is evidence against it being the cause. It counts for backend servers with the same
// software only. Such an answer, at any instance, cancels the crashes recorded for the
// request, and crashes just after it are dismissed. A server error is no evidence, since a
// backend server may send it in place of running the request. Two crashes without such an
// answer quarantine the request for a time, regardless of how many other backend servers
// crash meanwhile. A popular request that was in flight on many backend servers in an outage
// is not quarantined, because other backend servers answer it at the same time.
//
// A harmless request may be in flight on two crashed backend servers by chance, for example
// if it was retried in an outage. So a quarantined request gets a few trial runs, each
// granted to one instance of the fleet and later than the previous one.
//
// With cells, a suspect does not share a backend server with another suspect, so that at
// most one of several suspects is in flight on the next backend server that crashes.
//
// A backend server has crashed if a connection to it broke, or went silent, and it then
// accepts no new connection, announces a new incarnation, or leaves the fleet without
// draining or deregistering. The caller passes the time in.
package poison

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
)

const (
	// quarantineTime is how long a quarantine lasts: after the last crash or, with trial
	// runs, after the request has come for the last time.
	quarantineTime = 5 * time.Minute
	// suspectTime is how long a request that was in flight on one crashed backend server
	// stays a suspect, and how long a broken connection may still be recognized as part of a
	// crash.
	suspectTime = time.Minute
	// CrashLimit is the number of crashed backend servers that quarantine a request.
	CrashLimit = 2
	// maxCrashed bounds the crashed backend servers that are recorded for a suspect.
	maxCrashed = 8
	// maxEntries bounds the suspects and the ended backend servers, and maxBroken the broken
	// connections of one backend server.
	maxEntries = 4096
	maxBroken  = 256
	// sweepInterval is the time between sweeps for expired entries.
	sweepInterval = time.Second
)

// Server is one incarnation of a backend server.
type Server struct {
	Service     string
	DataCentre  string
	Name        string
	Incarnation uint64
	// Version is that of its software, or empty if it is not known.
	Version string `json:",omitempty"`
}

// Admission is the decision whether a request may run.
type Admission uint8

// The admissions.
const (
	// Clear admits a request that is no suspect.
	Clear Admission = iota
	// Alone admits a suspect; with cells, on a backend server without another suspect.
	Alone
	// Quarantined refuses the request.
	Quarantined
	// Trial refuses the request unless the fleet grants it a trial run.
	Trial
)

// Register holds the suspects. Its zero value is empty and ready to use, and a nil
// Register admits every request. Set the exported fields before use.
type Register struct {
	// Spread shares new suspects with other instances. It may be nil.
	Spread Sharer
	// Trials is true if the fleet grants trial runs.
	Trials bool
	// Counter counts events of suspects, and Logger logs them. Either may be nil.
	Counter Counter
	Logger  *slog.Logger

	// active is false while there are no suspects, broken connections and ended backend
	// servers.
	active atomic.Bool
	mu     sync.Mutex
	// suspects holds the suspects by fingerprint.
	suspects map[uint64]*suspect
	// broken holds the broken connections whose backend server may have crashed.
	broken map[identity][]brokenConn
	// ended holds the last end of each backend server that the fleet has told of.
	ended map[identity]ending
	// answers holds the requests that this instance saw answered of late.
	answers answers
	// lastSweep is the time at which sweep last ran.
	lastSweep time.Time
}

// suspect is a request that was in flight on crashed backend servers.
type suspect struct {
	// crashed holds each incarnation once.
	crashed []Server
	// proven holds the software that has answered the request since the suspicion began, and
	// hasn't crashed since. The request may run on it.
	proven  []Software
	expires time.Time
	// lastCrash is when this instance learned of the last crash.
	lastCrash time.Time
	trials    trialRuns
}

// identity identifies a backend server across its incarnations.
type identity struct{ service, dataCentre, name string }

// Admit returns whether the request with the fingerprint f may run and, if it is
// quarantined, after what time a resend may run.
func (g *Register) Admit(now time.Time, f uint64) (Admission, time.Duration) {
	if g == nil || !g.active.Load() {
		return Clear, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweepIfDue(now)
	e := g.suspects[f]
	switch {
	case e == nil || !now.Before(e.expires):
		return Clear, 0
	case len(e.crashed) < CrashLimit:
		return Alone, 0
	case g.Trials:
		return e.admitTrial(now)
	default:
		return Quarantined, e.expires.Sub(now)
	}
}

// Refusal returns the answer to a request that is quarantined for the time left.
func Refusal(left time.Duration) *snipefront.Error {
	return snipefront.Refused(snipefront.ReasonQuarantined, left, "two backend servers crashed while this request was in flight; this resend was not run")
}

// release ends the suspicion of f and reports whether there was one. The lock is held.
func (g *Register) release(now time.Time, f uint64, why string) bool {
	e := g.suspects[f]
	if e == nil {
		return false
	}
	g.report(now, EventReleased, why, f, e)
	delete(g.suspects, f)
	return true
}

// share shares a record with the other instances.
func (g *Register) share(r Record) {
	if g.Spread != nil {
		g.Spread.Share(r)
	}
}

// addSuspects makes suspects of the requests whose connection to an incarnation of id
// broke, if ended returns true for that incarnation. It returns the records to share.
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
			changed = append(changed, g.newCrash(b.fingerprint, b.server))
		}
	}
	g.setBroken(id, kept)
	return changed
}

// addCrash adds s to the crashed backend servers of the suspect f and reports whether
// it did. It does not if f was answered of late. The event is EventCrash if this instance
// saw the crash, and EventLearned otherwise. The suspect lasts for the time left at
// least, or for its full lifetime if left is zero. The lock is held.
func (g *Register) addCrash(now time.Time, f uint64, s Server, event Event, left time.Duration) bool {
	if g.answers.has(now, f, s.Software()) {
		g.report(now, EventDismissed, "answered before the crash of "+s.Name, f, &suspect{expires: now})
		return false
	}
	g.activate()
	e := g.suspects[f]
	if e == nil || !now.Before(e.expires) {
		if len(g.suspects) >= maxEntries {
			g.evict(now)
			g.activate()
		}
		e = &suspect{proven: slices.Clone(g.answers.by(now, f))}
		g.suspects[f] = e
	}
	if len(e.crashed) >= maxCrashed || ContainsServer(e.crashed, s) {
		return false
	}
	e.crashed = append(e.crashed, s)
	e.proven = slices.DeleteFunc(slices.Clone(e.proven), s.Software().covers)
	e.lastCrash = now
	e.trials.addCrash()
	if left == 0 {
		left = RecordLifetime(len(e.crashed))
	}
	if expires := now.Add(left); expires.After(e.expires) {
		e.expires = expires
	}
	g.reportCrash(now, event, f, e, s)
	return true
}

// RecordLifetime returns how long the record of a request that was in flight on the
// given number of crashed backend servers is valid.
func RecordLifetime(crashed int) time.Duration {
	if crashed < CrashLimit {
		return suspectTime
	}
	return quarantineTime
}

// evict frees space for one suspect. It removes the expired ones or, if none has
// expired, one that the fewest backend servers crashed with and that expires first. The
// lock is held.
func (g *Register) evict(now time.Time) {
	g.sweep(now)
	if len(g.suspects) < maxEntries {
		return
	}
	var least uint64
	var e *suspect
	for f, o := range g.suspects {
		if e == nil || len(o.crashed) < len(e.crashed) || len(o.crashed) == len(e.crashed) && o.expires.Before(e.expires) {
			least, e = f, o
		}
	}
	g.report(now, EventEvicted, "no space", least, e)
	delete(g.suspects, least)
}

// sweepIfDue sweeps once in sweepInterval. The lock is held.
func (g *Register) sweepIfDue(now time.Time) {
	if now.Sub(g.lastSweep) >= sweepInterval {
		g.sweep(now)
	}
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
	maps.DeleteFunc(g.ended, func(_ identity, e ending) bool { return !now.Before(e.expires) })
	g.active.Store(len(g.suspects)+len(g.broken)+len(g.ended) > 0)
}

// activate makes the maps if they are nil, and sets active. The lock is held.
func (g *Register) activate() {
	if g.suspects == nil {
		g.suspects = map[uint64]*suspect{}
		g.broken = map[identity][]brokenConn{}
		g.ended = map[identity]ending{}
	}
	g.active.Store(true)
}

func (s Server) identity() identity {
	return identity{service: s.Service, dataCentre: s.DataCentre, name: s.Name}
}
