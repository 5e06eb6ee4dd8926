// Package bucket implements a token bucket, which limits the rate of events and the
// size of a burst.
package bucket

import "time"

// Bucket holds tokens. Each event takes one. The zero value is a full bucket. A Bucket
// is not safe for concurrent use.
type Bucket struct {
	tokens  float64
	updated time.Time
}

// HasToken reports whether a token is available at time now, without taking it. The
// bucket gains rate tokens a second and holds at most burst tokens.
func (b *Bucket) HasToken(now time.Time, rate, burst float64) bool {
	if b.updated.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+now.Sub(b.updated).Seconds()*rate)
	}
	b.updated = now
	return b.tokens >= 1
}

// Take takes a token if one is available. It reports whether it took one.
func (b *Bucket) Take(now time.Time, rate, burst float64) bool {
	if !b.HasToken(now, rate, burst) {
		return false
	}
	b.tokens--
	return true
}
