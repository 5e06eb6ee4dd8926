package poison

import (
	"slices"
	"time"
)

const (
	// outageTime is the time within which falls count as one outage.
	outageTime = time.Second
	// outageFalls is the number of backend servers that make an outage when they
	// fall within outageTime. One request never makes that many fall.
	outageFalls = fatal + 1
)

// fall is the last known fall of a backend server.
type fall struct {
	place place
	at    time.Time
}

// outage takes in that s fell and returns whether so many others fell at about the
// same time that no request is to blame. The lock is held.
func (g *Register) outage(now time.Time, s Server) bool {
	g.falls = slices.DeleteFunc(g.falls, func(f fall) bool {
		return f.place == s.place() || now.Sub(f.at) >= outageTime
	})
	g.falls = append(g.falls, fall{place: s.place(), at: now})
	return len(g.falls) >= outageFalls
}

// acquit takes back the quarantines that an outage brought about. Their requests
// stay suspects. The lock is held.
func (g *Register) acquit(now time.Time) {
	for _, e := range g.suspects {
		if len(e.fallen) >= fatal && now.Sub(e.convicted) < outageTime {
			e.fallen = e.fallen[:fatal-1]
			e.ends = now.Add(suspicion)
		}
	}
}
