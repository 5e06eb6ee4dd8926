// Package quota keeps the rate limits that backend servers name in their answers.
//
// A limit is the number of requests per second that a backend server takes from all
// instances together. It holds for one incarnation, for as long as its answers name it.
// An instance that hears of a limit shares it with the others. A few of them, the
// senders, which follow from the limit and the view of the fleet, have equal parts of it;
// the others send nothing there. So no instance needs to know what others send.
package quota

import (
	"sync"
	"time"

	"github.com/snipefront/snipefront"
)

const (
	// reserve is the number of tokens that are kept for the most urgent requests.
	reserve = 0.5
	// savedTime is the time for which unused requests are saved up, beyond those that
	// one request needs.
	savedTime = 250 * time.Millisecond
	// recheckInterval is the time between two load probes of a backend server that names
	// its limit in no answer to a request.
	recheckInterval = 2 * time.Second
)

// Source says from which kind of message an instance learned a limit. It is a field of
// logs, of the status report and of the replicated state, so its values never change.
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
// it, the part of it that this instance may use, and counts of what it sends there. Its
// zero value knows of no limit. It is safe for concurrent use.
//
// The part is kept by a token bucket that begins empty, so that a new sender adds nothing
// to what the one before it has sent.
type Quota struct {
	mu    sync.Mutex
	limit snipefront.RateLimit
	// source is the kind of answer that named or withdrew limit, and shared is true if
	// another instance heard it.
	source Source
	shared bool
	// learned is when limit was learned.
	learned time.Time
	// namedIn holds the kinds of answers that have named a limit. Only they can withdraw
	// it: a backend server may leave it out of the others.
	namedIn map[Source]bool
	// part is what this instance may send, in requests per second.
	part float64
	// tokens is the number of requests that may be sent, as of updated. It is negative
	// after probes that could not wait.
	tokens  float64
	updated time.Time
	// probed is when the last load probe was sent.
	probed time.Time
	counts Counts
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
	// Source is the kind of answer from which it is known, and Shared is true if another
	// instance received that answer.
	Source  Source
	Shared  bool
	Learned time.Time
	// Part is what this instance may send, in requests per second.
	Part float64
	// Counts are those since the last call of TakeCounts.
	Counts Counts
}

// Hear records what an answer to a request or probe, which was sent at the given time,
// says of the limit. It reports whether that changed what is known, and returns the state
// before.
//
// An answer to a request that was sent before the present limit was learned may be older
// than that. It then only lowers the limit.
func (q *Quota) Hear(now, sent time.Time, said snipefront.RateLimit, source Source) (before State, changed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before = q.state()
	isLower := said.Named && (!q.limit.Named || said.PerSecond < q.limit.PerSecond)
	switch {
	case said == q.limit && (!said.Named || q.namedIn[source]):
		return before, false
	case !said.Named && !q.namedIn[source]:
		return before, false
	case !isLower && sent.Before(q.learned):
		return before, false
	}
	changed = said != q.limit
	q.set(now, said, source, false)
	return before, changed
}

// Learn records what another instance has heard in an answer of the given kind. It
// reports whether that changed what is known.
func (q *Quota) Learn(now time.Time, said snipefront.RateLimit, source Source) (changed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	changed = said != q.limit
	q.set(now, said, source, true)
	return changed
}

// set replaces the limit. The lock is held.
func (q *Quota) set(now time.Time, l snipefront.RateLimit, source Source, shared bool) {
	if l.Named && q.namedIn == nil {
		q.namedIn = map[Source]bool{}
	}
	if l.Named {
		q.namedIn[source] = true
	}
	if l == q.limit {
		return
	}
	q.limit, q.source, q.shared, q.learned = l, source, shared, now
}

// SetPart sets the part of the limit that this instance may use, in requests per second.
func (q *Quota) SetPart(now time.Time, part float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.update(now)
	q.part = part
	q.tokens = min(q.tokens, q.burst())
}

// burst is the largest number of tokens. The lock is held.
func (q *Quota) burst() float64 {
	if q.part == 0 {
		return 0
	}
	return 1 + reserve + q.part*savedTime.Seconds()
}

// update adds the tokens since the last update. The lock is held.
func (q *Quota) update(now time.Time) {
	if !q.updated.IsZero() {
		q.tokens = min(q.burst(), q.tokens+q.part*now.Sub(q.updated).Seconds())
	}
	q.updated = now
}

// Urgency ranks requests for the limit: 0 for the most urgent ones, 1 for the least.
type Urgency float64

// tokens returns the number of tokens that must be there for a request.
func (u Urgency) tokens() float64 { return 1 + reserve*float64(u) }

// Allows reports whether Take would allow a request.
func (q *Quota) Allows(now time.Time, u Urgency) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.update(now)
	return !q.limit.Named || q.tokens >= u.tokens()
}

// Take reports whether a request may be sent now, and counts it if so. The caller must
// send it.
func (q *Quota) Take(now time.Time, u Urgency) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.limit.Named {
		return true
	}
	q.update(now)
	if q.tokens < u.tokens() {
		return false
	}
	q.tokens--
	q.counts.Requests++
	return true
}

// AllowsProbe reports whether the limit leaves a request for a load probe. A probe only
// helps a choice, so it must leave another one for the request.
func (q *Quota) AllowsProbe(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.update(now)
	isOnlySource := !q.namedIn[Answer] && now.Sub(q.probed) >= recheckInterval
	return !q.limit.Named || q.tokens >= 2 || q.tokens >= 1 && isOnlySource
}

// ChargeProbe counts a load probe that is sent. One that can't wait, a check after a
// failure, is sent whether AllowsProbe or not: the requests after it wait longer instead.
func (q *Quota) ChargeProbe(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.limit.Named {
		return
	}
	q.update(now)
	q.probed = now
	q.tokens--
	q.counts.Probes++
}

// Wait returns the time until Take allows a request, and false if that is never.
func (q *Quota) Wait(now time.Time, u Urgency) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.update(now)
	missing := u.tokens() - q.tokens
	switch {
	case !q.limit.Named || missing <= 0:
		return 0, true
	case q.part == 0:
		return 0, false
	}
	return time.Duration(missing / q.part * float64(time.Second)), true
}

// Skip counts a choice that passed over the backend server because of the limit.
func (q *Quota) Skip() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.counts.Skipped++
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
	return State{RateLimit: q.limit, Source: q.source, Shared: q.shared, Learned: q.learned, Part: q.part, Counts: q.counts}
}
