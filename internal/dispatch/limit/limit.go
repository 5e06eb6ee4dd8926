// Package limit decides how many requests a backend server may run at once.
//
// A backend server starts at its cold limit and stays there for its warm-up
// time, since nothing it reports tells reliably when it is warm. After that the
// limit grows with answers up to the announced ceiling.
//
// A refusal or a broken attempt lowers the limit to the cold limit at once. If
// another follows before the backend server has answered a request beyond its
// cold limit, it is taken for a fall back into cold start, which begins the
// warm-up again. Two slow answers in a row halve the limit.
//
// A backend server that does nothing but fail would free its slots faster than
// any other and draw all work. So failures in a row suspend it, each time for
// twice as long, and an answer ends that.
package limit

import "time"

const (
	// slowFactor is how much slower than usual an answer counts as slow.
	slowFactor = 6
	// slowFloor is the latency under which no answer counts as slow.
	slowFloor = 20 * time.Millisecond
	// slowRun is the number of slow answers in a row that lower the limit.
	slowRun = 2
	// failureRun is the number of failures in a row that suspend.
	failureRun = 2
	// firstPause is the time of the first suspension.
	firstPause = 20 * time.Millisecond
	// longestPause bounds a suspension.
	longestPause = time.Second
	// latencyWeight is the inverse weight of one answer in the average.
	latencyWeight = 16
)

// Limiter is the limit of one backend server. Set the exported fields, then
// call Reset. It is not safe for concurrent use.
type Limiter struct {
	// Cold is the limit in cold start. At least 1.
	Cold int
	// Ceiling is the limit that is never exceeded. At least Cold.
	Ceiling int
	// WarmUp is the time after a start during which the limit is Cold.
	WarmUp time.Duration

	limit float64
	warm  time.Time
	usual time.Duration
	// doubt is true from a refusal until an answer disproves a cold start.
	doubt bool
	// troubled is the instant of the last refusal or failure.
	troubled time.Time
	slow     int
	failures int
	resume   time.Time
}

// Attempt is a request that a backend server was given.
type Attempt struct {
	// Taken is when it was given.
	Taken time.Time
	// Position is the number of requests in flight then, itself included.
	Position int
}

// Reset begins a cold start at the instant now.
func (l *Limiter) Reset(now time.Time) {
	l.chill(now)
	l.usual = 0
	l.failures = 0
	l.resume = time.Time{}
}

// Limit returns the most requests that may run at once.
func (l *Limiter) Limit() int {
	return max(l.Cold, min(int(l.limit), l.Ceiling))
}

// IsCold returns whether the warm-up is going on at the instant now.
func (l *Limiter) IsCold(now time.Time) bool {
	return now.Before(l.warm)
}

// Suspended returns whether failures in a row speak against sending anything at
// the instant now.
func (l *Limiter) Suspended(now time.Time) bool {
	return now.Before(l.resume)
}

// TypicalLatency returns the average latency, or zero where none is known.
func (l *Limiter) TypicalLatency() time.Duration {
	return l.usual
}

// Answered takes in the answer to a.
func (l *Limiter) Answered(now time.Time, a Attempt) {
	latency := now.Sub(a.Taken)
	isSlow := l.isSlow(latency)
	l.learn(latency)
	if !a.Taken.Before(l.troubled) {
		l.failures = 0
		l.resume = time.Time{}
		l.doubt = l.doubt && a.Position <= min(l.Cold, l.Ceiling-1)
	}
	if isSlow {
		l.slowed()
		return
	}
	l.slow = 0
	if l.IsCold(now) {
		return
	}
	l.limit = min(l.limit+1/max(1, l.limit), float64(l.Ceiling))
}

// Troubled takes in a refusal or a broken attempt.
func (l *Limiter) Troubled(now time.Time) {
	if l.doubt {
		l.chill(now)
	}
	l.doubt = true
	l.limit = float64(l.Cold)
	l.Failed(now)
}

// Failed takes in an answer that tells of a failure. It says nothing of how many
// requests the backend server bears.
func (l *Limiter) Failed(now time.Time) {
	l.troubled = now
	l.failures++
	if l.failures < failureRun {
		return
	}
	pause := firstPause << min(l.failures-failureRun, 16)
	l.resume = now.Add(min(pause, longestPause))
}

// Failing returns whether the last attempts failed.
func (l *Limiter) Failing() bool {
	return l.failures >= failureRun
}

// Revive ends a suspension.
func (l *Limiter) Revive() {
	l.failures = 0
	l.resume = time.Time{}
}

// Late takes in an attempt that was given up after the time held without an
// answer. It is a failure where that is long, else it tells nothing.
func (l *Limiter) Late(now time.Time, held time.Duration) {
	if l.isSlow(held) {
		l.slowed()
		l.Failed(now)
	}
}

// chill begins the warm-up.
func (l *Limiter) chill(now time.Time) {
	l.limit = float64(l.Cold)
	l.warm = now.Add(l.WarmUp)
	l.doubt = false
	l.slow = 0
}

func (l *Limiter) isSlow(latency time.Duration) bool {
	return l.usual > 0 && latency > slowFloor && latency > slowFactor*l.usual
}

// slowed halves the limit at the last slow answer of a run.
func (l *Limiter) slowed() {
	l.slow++
	if l.slow < slowRun {
		return
	}
	l.slow = 0
	l.limit = max(float64(l.Cold), l.limit/2)
}

func (l *Limiter) learn(latency time.Duration) {
	if l.usual == 0 {
		l.usual = latency
		return
	}
	l.usual += (latency - l.usual) / latencyWeight
}
