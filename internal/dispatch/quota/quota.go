// Package quota keeps the rate limits that backend servers name in their answers.
//
// A limit is the number of requests per second that a backend server takes from all
// instances together. It holds for one incarnation, for as long as its answers name it.
package quota

import (
	"sync"
	"time"

	"github.com/snipefront/snipefront"
)

// Source says from which kind of message an instance learned a limit. It is a field of
// logs and of the status report, so its values never change.
type Source string

// The sources.
const (
	// Answer is the answer to a request that the backend server ran.
	Answer Source = "answer"
	// Refusal is the answer to a request that it did not run.
	Refusal Source = "refusal"
	// Probe is the answer to a load probe.
	Probe Source = "probe"
)

// Quota holds the limit of one incarnation of a backend server, as this instance knows
// it, and counts what this instance sends there. Its zero value knows of no limit. It is
// safe for concurrent use.
type Quota struct {
	mu     sync.Mutex
	limit  snipefront.RateLimit
	source Source
	// learned is when limit was learned.
	learned time.Time
	counts  Counts
}

// Counts counts what an instance did at a backend server that names a limit.
type Counts struct {
	// Requests and Probes are those sent.
	Requests, Probes int
	// Skipped is the number of choices that passed over the backend server because of
	// the limit.
	Skipped int
}

// State is what an instance knows of a limit at one instant.
type State struct {
	snipefront.RateLimit
	Source  Source
	Learned time.Time
	// Counts are those since the last call of TakeCounts.
	Counts Counts
}

// Hear records what an answer says of the limit, and reports whether that differs from
// what was known. It returns the state before.
func (q *Quota) Hear(now time.Time, said snipefront.RateLimit, source Source) (before State, changed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before = q.state()
	if said == q.limit {
		return before, false
	}
	q.limit, q.source, q.learned = said, source, now
	return before, true
}

// CountRequest counts a request that is sent.
func (q *Quota) CountRequest() { q.count(func(c *Counts) { c.Requests++ }) }

// CountProbe counts a load probe that is sent.
func (q *Quota) CountProbe() { q.count(func(c *Counts) { c.Probes++ }) }

// count calls f with the counts if a limit is known.
func (q *Quota) count(f func(c *Counts)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.limit.Named {
		f(&q.counts)
	}
}

// State returns what is known.
func (q *Quota) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state()
}

// TakeCounts returns the state and starts to count anew.
func (q *Quota) TakeCounts() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.state()
	q.counts = Counts{}
	return s
}

func (q *Quota) state() State {
	return State{RateLimit: q.limit, Source: q.source, Learned: q.learned, Counts: q.counts}
}
