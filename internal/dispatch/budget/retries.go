package budget

import (
	"sync"
	"time"

	"github.com/snipefront/snipefront"
)

// Retries bounds the further attempts of one instance so that those of all instances
// stay within Limit at each service. Set the exported field before use.
//
// In each window, wherever it begins, an instance spends at most its share of the slack
// plus the ratio of the requests that it received itself. These are the mean of the
// requests within the window and within the one half a window before: the former make
// it spend evenly in a long fault, the latter save up for a sudden one. The bound holds
// for each window whatever requests come later, so the sums over all instances keep the
// limit, also where they spend at different times.
//
// A process has no share of the slack until a window after its start, since the process
// before it may have spent that.
type Retries struct {
	Limit snipefront.RetryLimit

	mu sync.Mutex
	// begun is the time of the first call.
	begun time.Time
	// instances is the number of instances. Until recentUntil, there were recentInstances
	// within the last window: those that have left since may have spent their share.
	instances, recentInstances int
	recentUntil                time.Time
	services                   map[string]*usage
}

// SetInstances sets the number of instances that share the slack. Without it, this
// instance has no share.
func (r *Retries) SetInstances(now time.Time, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slot(now)
	if most := r.mostInstances(now); n < most {
		r.recentInstances, r.recentUntil = most, now.Add(r.Limit.Window)
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
	r.usage(now, service).current().requests++
}

// Left reports whether a further attempt at a service is left. Spend it when the
// attempt is sent, since it counts from then on.
func (r *Retries) Left(now time.Time, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usage(now, service).allows(r.Limit.Ratio, r.share(now))
}

// Spend takes one further attempt at a service, or returns false if none is left.
func (r *Retries) Spend(now time.Time, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.usage(now, service)
	if !u.allows(r.Limit.Ratio, r.share(now)) {
		return false
	}
	u.current().spent++
	return true
}

// share returns this instance's share of the slack. The caller must hold the lock.
func (r *Retries) share(now time.Time) float64 {
	n := r.mostInstances(now)
	if n == 0 || now.Sub(r.begun) < r.Limit.Window {
		return 0
	}
	return r.Limit.Slack / float64(n)
}

// mostInstances returns the largest number of instances within the last window, which
// share the slack. The caller must hold the lock.
func (r *Retries) mostInstances(now time.Time) int {
	if now.Before(r.recentUntil) {
		return max(r.recentInstances, r.instances)
	}
	return r.instances
}

// usage returns the counts of a service at now. The caller must hold the lock.
func (r *Retries) usage(now time.Time, service string) *usage {
	u := r.services[service]
	if u == nil {
		u = &usage{}
		if r.services == nil {
			r.services = map[string]*usage{}
		}
		r.services[service] = u
	}
	u.advance(r.slot(now))
	return u
}

// slot returns the number of the slot of now. The caller must hold the lock.
func (r *Retries) slot(now time.Time) int {
	if r.begun.IsZero() {
		r.begun = now
	}
	return int(now.Sub(r.begun) / max(1, r.Limit.Window/slotsPerWindow))
}
