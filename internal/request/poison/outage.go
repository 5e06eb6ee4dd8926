package poison

import (
	"slices"
	"time"
)

const (
	// outageWindow is the time within which crashes count as one outage.
	outageWindow = time.Second
	// outageCrashes is the number of backend servers that make an outage if they crash
	// within outageWindow. One request never crashes that many.
	outageCrashes = crashLimit + 1
)

// crash is the last known crash of a backend server.
type crash struct {
	identity identity
	at       time.Time
}

// recordCrash records that s crashed. It reports whether so many backend servers
// crashed within outageWindow that no single request is the cause. The lock is held.
func (g *Register) recordCrash(now time.Time, s Server) bool {
	g.recentCrashes = slices.DeleteFunc(g.recentCrashes, func(c crash) bool {
		return c.identity == s.identity() || now.Sub(c.at) >= outageWindow
	})
	g.recentCrashes = append(g.recentCrashes, crash{identity: s.identity(), at: now})
	return len(g.recentCrashes) >= outageCrashes
}

// releaseQuarantined ends the quarantines that began or were confirmed within
// outageWindow, since the outage is their cause. The requests stay suspects. The lock
// is held.
func (g *Register) releaseQuarantined(now time.Time) {
	for f, e := range g.suspects {
		if len(e.crashed) >= crashLimit && now.Sub(e.quarantinedAt) < outageWindow {
			g.report(now, EventReleased, "outage", f, e)
			e.crashed = e.crashed[:crashLimit-1]
			e.expires = now.Add(suspectTime)
		}
	}
}
