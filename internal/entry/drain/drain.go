// Package drain decides which requests an instance still takes during its planned stop: those
// that are answered before it ends. All others are refused, so that their callers send them
// to another instance at once.
//
// A request is over at its deadline at the latest. While most callers still hold the address of
// the instance, the slowest recent answer of its workload counts, too, if the request is
// idempotent: most deadlines are far longer than what the work takes, and a caller sends again
// what takes longer. Of a request that may run only once, it couldn't know whether it has.
package drain

import (
	"sync/atomic"
	"time"
)

const (
	// RetryAfter is the Retry-After time of a request that is refused: other instances are
	// there.
	RetryAfter = 20 * time.Millisecond
	// slowestFactor is the multiple of the slowest answer of its workload that a request may
	// take.
	slowestFactor = 2
)

// Work is a request as a Gate sees it.
type Work struct {
	// Workload names the requests that take similarly long.
	Workload string
	// Deadline is when the request is over at the latest.
	Deadline   time.Time
	Idempotent bool
}

// Gate admits requests. Its zero value admits all until Stop.
type Gate struct {
	stop    atomic.Pointer[stop]
	slowest slowest
}

// stop is a planned stop.
type stop struct {
	// certain is when it begins to admit only requests whose deadlines are before end.
	certain time.Time
	// end is when all requests must be answered.
	end time.Time
}

// Stop begins a planned stop that ends at the given time. The slowest answers of workloads
// count for its first half, and for held at most: the time for which callers hold the address of
// the instance.
func (g *Gate) Stop(now, end time.Time, held time.Duration) {
	g.stop.Store(&stop{certain: now.Add(min(end.Sub(now)/2, held)), end: end})
}

// Admits reports whether w is answered before a planned stop ends, if it begins now.
func (g *Gate) Admits(now time.Time, w Work) bool {
	s := g.stop.Load()
	if s == nil || !w.Deadline.After(s.end) {
		return true
	}
	if !w.Idempotent || !now.Before(s.certain) {
		return false
	}
	taken := g.slowest.of(now, w.Workload)
	return taken > 0 && !now.Add(slowestFactor*taken).After(s.end)
}

// Observe records that an answer of a workload took the given time.
func (g *Gate) Observe(now time.Time, workload string, taken time.Duration) {
	g.slowest.observe(now, workload, taken)
}

// Forget drops what is known of the workloads that are not in names.
func (g *Gate) Forget(names map[string]bool) { g.slowest.forget(names) }
