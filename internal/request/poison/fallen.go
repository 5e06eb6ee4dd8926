package poison

import (
	"time"
)

// breakage is a connection that broke with a request in flight.
type breakage struct {
	fingerprint uint64
	server      Server
	ends        time.Time
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

// Crashed takes in that the start s of a backend server has ended.
func (g *Register) Crashed(now time.Time, s Server) {
	g.convict(now, s, func(o Server) bool { return o.Incarnation <= s.Incarnation })
}

// Alive takes in that s is running. Earlier starts of it have ended.
func (g *Register) Alive(now time.Time, s Server) {
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
			g.Spread.Share(r)
		}
	}
}

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

func (g *Register) keep(p place, kept []breakage) {
	if len(kept) == 0 {
		delete(g.broken, p)
		return
	}
	g.broken[p] = kept
}
