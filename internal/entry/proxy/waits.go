package proxy

import (
	"slices"
	"sync"
	"time"
)

const (
	// waitPrecision is the unit to which remaining times are rounded for comparison.
	waitPrecision = 10 * time.Millisecond
	// maxRecent is the number of requests of a route whose remaining times are kept.
	maxRecent = 128
	// retryShare is the share of the requests, those with the least remaining time, that are
	// taken for retries where callers allow different times.
	retryShare = 0.05
)

// waits estimates how long the caller of a request has waited since its first attempt,
// from the time that it will still wait. It assumes that most requests are first attempts.
//
// If most callers of a route allow the same total time, the most common remaining time is that
// of a first attempt. If they allow different times, a short one doesn't show a retry unless
// it is shorter than those of nearly all other requests: a first attempt that is taken for a
// retry would count as late while it can still be in time.
type waits struct {
	mu sync.Mutex
	// recent holds the rounded remaining times of the last requests by route, as a ring.
	recent map[string]*ring
}

// ring holds the last maxRecent values.
type ring struct {
	values []time.Duration
	// next is the index of the next value once values is full.
	next int
}

// waited records a request of the route, whose caller will wait for the remaining time, and
// returns the least time that the caller has waited already.
func (w *waits) waited(route string, remaining time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.recent == nil {
		w.recent = map[string]*ring{}
	}
	r := w.recent[route]
	if r == nil {
		r = &ring{}
		w.recent[route] = r
	}
	r.add(remaining.Round(waitPrecision))
	return max(0, r.firstAttempt()-remaining)
}

// add adds v and drops the oldest value if there are maxRecent.
func (r *ring) add(v time.Duration) {
	if len(r.values) < maxRecent {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % maxRecent
}

// firstAttempt returns the remaining time of a first attempt: the most common one if it is that
// of half of the requests, and otherwise the least one above retryShare of the requests.
func (r *ring) firstAttempt() time.Duration {
	sorted := slices.Clone(r.values)
	slices.Sort(sorted)
	if v, n := mostCommon(sorted); 2*n >= len(sorted) {
		return v
	}
	return sorted[int(retryShare*float64(len(sorted)))]
}

// mostCommon returns the most common of the sorted values, the largest of several, and how often
// it occurs.
func mostCommon(sorted []time.Duration) (value time.Duration, count int) {
	n := 0
	for i, v := range sorted {
		if i > 0 && v != sorted[i-1] {
			n = 0
		}
		n++
		if n >= count {
			value, count = v, n
		}
	}
	return value, count
}

// forget drops the requests of routes that are not in names.
func (w *waits) forget(names map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := range w.recent {
		if !names[n] {
			delete(w.recent, n)
		}
	}
}
