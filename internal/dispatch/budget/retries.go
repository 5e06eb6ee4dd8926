package budget

import (
	"sync"
	"time"

	"github.com/snipefront/snipefront"
)

// slotsPerWindow is the number of slots by which Retries counts a window.
const slotsPerWindow = 100

// Retries bounds the further attempts of one instance so that those of all instances
// stay within Limit at each service. Set the exported field before use.
//
// Within each window, an instance spends at most the ratio of the requests that it
// received itself, plus an equal share of the slack. A process has no share until a
// window after its start, since the process before it may have spent that. So the sum
// over all instances keeps the limit without any of them knowing what the others spend,
// also while many start again.
type Retries struct {
	Limit snipefront.RetryLimit

	mu sync.Mutex
	// begun is the time of the first call.
	begun time.Time
	// instances is the number of instances. Until leftUntil, before counts instead: those
	// that have just left may have spent their share.
	instances, before int
	leftUntil         time.Time
	services          map[string]*usage
}

// usage counts the requests for one service and the attempts spent on it.
type usage struct{ requests, spent recent }

// SetInstances sets the number of instances that share the slack. Without it, this
// instance has no share.
func (r *Retries) SetInstances(now time.Time, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slot(now)
	if most := r.sharers(now); n < most {
		r.before, r.leftUntil = most, now.Add(r.Limit.Window)
	}
	r.instances = n
}

// Keep drops the counts of services that are not in the map.
func (r *Retries) Keep(services map[string]snipefront.ServiceProfile) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service := range r.services {
		if _, ok := services[service]; !ok {
			delete(r.services, service)
		}
	}
}

// Earn counts one request for a service.
func (r *Retries) Earn(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usage(now, service).requests.add()
}

// Left reports whether a further attempt at a service is left. Spend it when the
// attempt is sent, since it counts from then on.
func (r *Retries) Left(now time.Time, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.left(now, r.usage(now, service))
}

// Spend takes one further attempt at a service, or returns false if none is left.
func (r *Retries) Spend(now time.Time, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.usage(now, service)
	if !r.left(now, u) {
		return false
	}
	u.spent.add()
	return true
}

// left reports whether u allows a further attempt. The caller must hold the lock.
func (r *Retries) left(now time.Time, u *usage) bool {
	return float64(u.spent.sum+1) <= r.Limit.Ratio*float64(u.requests.sum)+r.share(now)
}

// share returns this instance's share of the slack. The caller must hold the lock.
func (r *Retries) share(now time.Time) float64 {
	n := r.sharers(now)
	if n == 0 || now.Sub(r.begun) < r.Limit.Window {
		return 0
	}
	return r.Limit.Slack / float64(n)
}

// sharers returns the number of instances that share the slack: the largest within the
// last window. The caller must hold the lock.
func (r *Retries) sharers(now time.Time) int {
	if now.Before(r.leftUntil) {
		return max(r.before, r.instances)
	}
	return r.instances
}

// usage returns the counts of a service at now. The caller must hold the lock.
func (r *Retries) usage(now time.Time, service string) *usage {
	u := r.services[service]
	if u == nil {
		// The current slot has only begun, so the requests of slotsPerWindow slots are
		// at most a window old, and one more slot holds all attempts of a window.
		u = &usage{requests: newRecent(slotsPerWindow), spent: newRecent(slotsPerWindow + 1)}
		if r.services == nil {
			r.services = map[string]*usage{}
		}
		r.services[service] = u
	}
	slot := r.slot(now)
	u.requests.advance(slot)
	u.spent.advance(slot)
	return u
}

// slot returns the number of the slot of now. The caller must hold the lock.
func (r *Retries) slot(now time.Time) int {
	if r.begun.IsZero() {
		r.begun = now
	}
	return int(now.Sub(r.begun) / max(1, r.Limit.Window/slotsPerWindow))
}

// recent counts the events of the last slots.
type recent struct {
	// counts holds the events of each slot, at the slot's number modulo its length.
	counts []int
	// slot is the number of the current slot, and sum the number of events in all.
	slot, sum int
}

func newRecent(slots int) recent { return recent{counts: make([]int, slots)} }

// advance makes slot the current one, unless a later one is.
func (r *recent) advance(slot int) {
	r.slot = max(r.slot, slot-len(r.counts))
	for ; r.slot < slot; r.slot++ {
		i := (r.slot + 1) % len(r.counts)
		r.sum -= r.counts[i]
		r.counts[i] = 0
	}
}

// add counts an event in the current slot.
func (r *recent) add() {
	r.counts[r.slot%len(r.counts)]++
	r.sum++
}
