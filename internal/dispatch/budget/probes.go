package budget

import (
	"sync"
	"time"
)

const (
	// maxSavedTime is the time for which unsent probes are saved up.
	maxSavedTime = 10 * time.Second
	// plannedShare is the share of the limit that Probes allows. The rest is for probes
	// that are not planned: checks over a new connection after a failure.
	plannedShare = 0.9
)

// Probes bounds the load probes of one instance so that those of all instances, taken
// together, are at most PerSecond for each backend server on average since the start.
// Set the exported field before use. A nil Probes allows every probe.
//
// Each instance may send an equal part. What it doesn't send is saved up for a while.
// It begins with nothing, so that instances which start again don't add to the limit.
type Probes struct {
	// PerSecond is the limit for one backend server, in probes per second.
	PerSecond float64

	mu sync.Mutex
	// rate is the part of this instance, in probes per second.
	rate float64
	// saved is the number of probes that may be sent, as of updated.
	saved   float64
	updated time.Time
}

// SetFleet sets the numbers of backend servers that are probed and of instances that
// probe them.
func (p *Probes) SetFleet(now time.Time, servers, instances int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.update(now)
	p.rate = plannedShare * p.PerSecond * float64(servers) / float64(max(1, instances))
}

// Take takes one probe, or returns false if none may be sent now.
func (p *Probes) Take(now time.Time) bool {
	if p == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.update(now)
	if p.saved < 1 {
		return false
	}
	p.saved--
	return true
}

// update adds the probes since the last update. The caller must hold the lock.
func (p *Probes) update(now time.Time) {
	if !p.updated.IsZero() {
		p.saved = min(p.saved+p.rate*now.Sub(p.updated).Seconds(), p.rate*maxSavedTime.Seconds())
	}
	p.updated = now
}
