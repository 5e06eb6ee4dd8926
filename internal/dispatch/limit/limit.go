// Package limit adapts the number of requests that a backend server may run at once.
//
// The limit starts at the cold limit and stays there for the warm-up time, since
// nothing that a backend server reports shows reliably when it is warm. After that
// it grows with each answer that isn't slow, up to the announced ceiling.
//
// A refused or broken attempt lowers the limit to the cold limit immediately. If
// another follows before the backend server has answered a request beyond its cold
// limit, the limiter assumes that the backend server has become cold again, for
// example after an unannounced restart, and repeats the warm-up. Two slow answers
// in a row halve the limit.
//
// A backend server that fails every request quickly would free its slots faster
// than any other and attract all requests. So consecutive failures suspend it, each
// time for twice as long as before up to a maximum, until it answers again.
package limit

import "time"

const (
	// slowFactor is the multiple of the typical latency above which an answer is slow.
	slowFactor = 6
	// minSlowLatency is the latency up to which no answer counts as slow.
	minSlowLatency = 20 * time.Millisecond
	// slowBeforeHalving is the number of consecutive slow answers that halve the limit.
	slowBeforeHalving = 2
	// failuresBeforeSuspension is the number of consecutive failures that suspend a
	// backend server.
	failuresBeforeSuspension = 2
	// firstSuspension and maxSuspension are the lengths of the first and of the longest
	// suspension.
	firstSuspension = 20 * time.Millisecond
	maxSuspension   = time.Second
	// latencyDivisor is the inverse weight of one answer in the typical latency.
	latencyDivisor = 16
)

// Limiter adapts the limit of one backend server. Set the exported fields, then
// call Reset. It is not safe for concurrent use.
type Limiter struct {
	// Cold is the limit during a cold start, at least 1.
	Cold int
	// Ceiling is the highest limit, at least Cold.
	Ceiling int
	// WarmUp is the time after a start for which the limit is Cold.
	WarmUp time.Duration

	limit          float64
	coldUntil      time.Time
	typicalLatency time.Duration
	// suspectsCold is true from a refused or broken attempt until the backend server has
	// answered a request beyond its cold limit, which rules out a cold start.
	suspectsCold bool
	// lastFailure is the time of the last refused, broken or failed attempt.
	lastFailure    time.Time
	slowAnswers    int
	failures       int
	suspendedUntil time.Time
}

// Attempt is a request that was given a slot of a backend server.
type Attempt struct {
	// Taken is when the slot was taken.
	Taken time.Time
	// Position is the number of requests in flight at that time, this one included.
	Position int
}

// Reset begins a cold start at the time now and clears the latency and failures.
func (l *Limiter) Reset(now time.Time) {
	l.startWarmUp(now)
	l.typicalLatency = 0
	l.failures = 0
	l.suspendedUntil = time.Time{}
}

// Limit returns the most requests that may run at once.
func (l *Limiter) Limit() int {
	return max(l.Cold, min(int(l.limit), l.Ceiling))
}

// IsCold reports whether the warm-up is still running at the time now.
func (l *Limiter) IsCold(now time.Time) bool {
	return now.Before(l.coldUntil)
}

// Suspended reports whether the backend server is suspended at the time now, after
// consecutive failures.
func (l *Limiter) Suspended(now time.Time) bool {
	return now.Before(l.suspendedUntil)
}

// TypicalLatency returns the moving average of the latency of answers, or zero before
// the first answer.
func (l *Limiter) TypicalLatency() time.Duration {
	return l.typicalLatency
}

// Answered records that a was answered at the time now. If its slot was taken before the
// last failure, the answer does not show that the backend server works again.
func (l *Limiter) Answered(now time.Time, a Attempt) {
	latency := now.Sub(a.Taken)
	isSlow := l.isSlow(latency)
	l.updateLatency(latency)
	if !a.Taken.Before(l.lastFailure) {
		l.failures = 0
		l.suspendedUntil = time.Time{}
		// If the ceiling is no higher than the cold limit, an answer at the ceiling also
		// rules out a cold start.
		l.suspectsCold = l.suspectsCold && a.Position <= min(l.Cold, l.Ceiling-1)
	}
	if isSlow {
		l.recordSlow()
		return
	}
	l.slowAnswers = 0
	if l.IsCold(now) {
		return
	}
	l.limit = min(l.limit+1/max(1, l.limit), float64(l.Ceiling))
}

// Dropped records an attempt that the backend server refused or broke off.
func (l *Limiter) Dropped(now time.Time) {
	if l.suspectsCold {
		l.startWarmUp(now)
	}
	l.suspectsCold = true
	l.limit = float64(l.Cold)
	l.Failed(now)
}

// Failed records an attempt that failed for a reason other than load, such as an error
// answer. It doesn't change the limit.
func (l *Limiter) Failed(now time.Time) {
	l.lastFailure = now
	l.failures++
	if l.failures < failuresBeforeSuspension {
		return
	}
	pause := firstSuspension << min(l.failures-failuresBeforeSuspension, 16)
	l.suspendedUntil = now.Add(min(pause, maxSuspension))
}

// Failing reports whether enough consecutive attempts failed to suspend the backend
// server, even if its suspension has ended meanwhile.
func (l *Limiter) Failing() bool {
	return l.failures >= failuresBeforeSuspension
}

// Resume ends a suspension and clears the failures.
func (l *Limiter) Resume() {
	l.failures = 0
	l.suspendedUntil = time.Time{}
}

// Unanswered records an attempt that was canceled or timed out after the time elapsed.
// It counts as a slow answer and a failure if elapsed is slow, and is ignored otherwise.
func (l *Limiter) Unanswered(now time.Time, elapsed time.Duration) {
	if l.isSlow(elapsed) {
		l.recordSlow()
		l.Failed(now)
	}
}

// startWarmUp lowers the limit to the cold limit for the warm-up time.
func (l *Limiter) startWarmUp(now time.Time) {
	l.limit = float64(l.Cold)
	l.coldUntil = now.Add(l.WarmUp)
	l.suspectsCold = false
	l.slowAnswers = 0
}

func (l *Limiter) isSlow(latency time.Duration) bool {
	return l.typicalLatency > 0 && latency > minSlowLatency && latency > slowFactor*l.typicalLatency
}

// recordSlow halves the limit after slowBeforeCut slow answers in a row.
func (l *Limiter) recordSlow() {
	l.slowAnswers++
	if l.slowAnswers < slowBeforeHalving {
		return
	}
	l.slowAnswers = 0
	l.limit = max(float64(l.Cold), l.limit/2)
}

func (l *Limiter) updateLatency(latency time.Duration) {
	if l.typicalLatency == 0 {
		l.typicalLatency = latency
		return
	}
	l.typicalLatency += (latency - l.typicalLatency) / latencyDivisor
}
