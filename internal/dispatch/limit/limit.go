// Package limit decides how many requests a backend server may run at once.
//
// A backend server starts at its cold limit and stays there for its warm-up
// time, since nothing it reports tells reliably when it is warm. After that the
// limit grows with answers up to the announced ceiling. Signs of trouble lower
// it: a refusal or a failure at once, slow answers after a second one in a row.
// A second sign without an answer in between is taken for a fall back into cold
// start, which begins the warm-up again.
package limit

import "time"

const (
	// slowFactor is how much slower than usual an answer counts as slow.
	slowFactor = 6
	// slowFloor is the latency under which no answer counts as slow.
	slowFloor = 20 * time.Millisecond
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

	limit   float64
	warm    time.Time
	usual   time.Duration
	trouble int
}

// Reset begins a cold start at the instant now.
func (l *Limiter) Reset(now time.Time) {
	l.limit = float64(l.Cold)
	l.warm = now.Add(l.WarmUp)
	l.usual = 0
	l.trouble = 0
}

// Limit returns the most requests that may run at once.
func (l *Limiter) Limit() int {
	return max(l.Cold, min(int(l.limit), l.Ceiling))
}

// IsCold returns whether the warm-up is going on at the instant now.
func (l *Limiter) IsCold(now time.Time) bool {
	return now.Before(l.warm)
}

// Usual returns the average latency, or zero where none is known.
func (l *Limiter) Usual() time.Duration {
	return l.usual
}

// Answered takes in an answer.
func (l *Limiter) Answered(now time.Time, latency time.Duration) {
	if l.isSlow(latency) {
		l.slow()
		l.learn(latency)
		return
	}
	l.learn(latency)
	l.trouble = 0
	if l.IsCold(now) {
		return
	}
	l.limit = min(l.limit+1/max(1, l.limit), float64(l.Ceiling))
}

// Troubled takes in a refusal or a failure.
func (l *Limiter) Troubled(now time.Time) {
	l.trouble++
	if l.trouble > 1 {
		l.Reset(now)
		return
	}
	l.limit = max(float64(l.Cold), l.limit/2)
}

// Late takes in an attempt without an answer that ended at its deadline after
// the time held. It is a slow answer or tells nothing.
func (l *Limiter) Late(held time.Duration) {
	if l.isSlow(held) {
		l.slow()
	}
}

func (l *Limiter) isSlow(latency time.Duration) bool {
	return l.usual > 0 && latency > slowFloor && latency > slowFactor*l.usual
}

// slow halves the limit at the second slow answer in a row.
func (l *Limiter) slow() {
	l.trouble++
	if l.trouble > 1 {
		l.limit = max(float64(l.Cold), l.limit/2)
		l.trouble = 0
	}
}

func (l *Limiter) learn(latency time.Duration) {
	if l.usual == 0 {
		l.usual = latency
		return
	}
	l.usual += (latency - l.usual) / latencyWeight
}
