package poison

import (
	"slices"
	"time"
)

// brokenConn is a connection that ended while a request was in flight: it broke, went
// silent, or this instance closed it since nobody waited for the answer any more.
type brokenConn struct {
	fingerprint uint64
	server      Server
	// runsUntil is the time until which server may still run the request. If it answers
	// anything after that time, the request has not crashed it.
	runsUntil time.Time
	expires   time.Time
}

// overrunTime is the time for which a backend server may go on with a request whose
// connection has ended.
const overrunTime = time.Second

// ending is the last known end of a backend server.
type ending struct {
	incarnation uint64
	planned     bool
	expires     time.Time
}

// ConnectionBroke records that a connection to s ended while the request f was in flight:
// it broke, went silent, or this instance closed it since the caller had left, the deadline
// had passed or another attempt had brought the answer. Unless Ended has told, it is not
// known yet whether s crashed, or will by f. It will not by a request that was answered just
// before, such as one that was also sent to another backend server.
func (g *Register) ConnectionBroke(now time.Time, f uint64, s Server) {
	if g == nil {
		return
	}
	if r, ok := g.recordBroken(now, f, s); ok {
		g.share(r)
	}
}

// recordBroken records the connection, or the crash of s if that is known. It returns the
// record of the crash and reports whether it recorded one.
func (g *Register) recordBroken(now time.Time, f uint64, s Server) (Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweepIfDue(now)
	g.activate()
	id := s.identity()
	if end, ok := g.ended[id]; ok && s.Incarnation <= end.incarnation {
		if end.planned || !g.addCrash(now, f, s, EventCrash, 0) {
			return Record{}, false
		}
		return g.newCrash(f, s), true
	}
	if g.answers.has(now, f, s.Software()) {
		return Record{}, false
	}
	if len(g.broken[id]) < maxBroken {
		g.broken[id] = append(g.broken[id], brokenConn{fingerprint: f, server: s, runsUntil: now.Add(overrunTime), expires: now.Add(suspectTime)})
	}
	return Record{}, false
}

// MayCrash reports whether s may still crash by, or may have crashed by, a request whose
// connection has ended.
func (g *Register) MayCrash(s Server) bool {
	if g == nil || !g.active.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.broken[s.identity()], func(b brokenConn) bool { return b.server.isSame(s) })
}

// Heard records that the incarnation s was running at the given time. The requests that it
// could run only until then have not crashed it.
func (g *Register) Heard(at time.Time, s Server) {
	if g == nil || !g.active.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	id := s.identity()
	g.setBroken(id, slices.DeleteFunc(g.broken[id], func(b brokenConn) bool { return b.server.isSame(s) && at.After(b.runsUntil) }))
}

// Ended records that the incarnation s, and with it every earlier one, has ended
// according to the fleet. If its end was planned, the requests in flight there are no
// suspects.
func (g *Register) Ended(now time.Time, s Server, planned bool) {
	if g == nil {
		return
	}
	g.mu.Lock()
	g.activate()
	id := s.identity()
	if len(g.ended) < maxEntries {
		g.ended[id] = ending{incarnation: s.Incarnation, planned: planned, expires: now.Add(suspectTime)}
	}
	tied := planned || len(g.broken[id]) > 0
	if planned {
		g.setBroken(id, slices.DeleteFunc(g.broken[id], func(b brokenConn) bool { return b.server.Incarnation <= s.Incarnation }))
	}
	g.mu.Unlock()
	if !tied {
		g.reportUntied(s)
	}
	g.Crashed(now, s)
}

// Crashed records that the incarnation s, and with it every earlier one, has ended.
func (g *Register) Crashed(now time.Time, s Server) {
	g.markSuspects(now, s, func(o Server) bool { return o.Incarnation <= s.Incarnation })
}

// Alive records that the incarnation s is running, so that earlier ones have ended.
func (g *Register) Alive(now time.Time, s Server) {
	if g == nil || !g.active.Load() {
		return
	}
	g.markSuspects(now, s, func(o Server) bool { return o.Incarnation < s.Incarnation })
}

// markSuspects makes suspects of the requests that were in flight on the incarnations
// of s that ended, and shares their records.
func (g *Register) markSuspects(now time.Time, s Server, ended func(Server) bool) {
	if g == nil {
		return
	}
	for _, r := range g.addSuspects(now, s.identity(), ended) {
		g.share(r)
	}
}

// setBroken replaces the broken connections of a backend server. The lock is held.
func (g *Register) setBroken(id identity, kept []brokenConn) {
	if len(kept) == 0 {
		delete(g.broken, id)
		return
	}
	g.broken[id] = kept
}
