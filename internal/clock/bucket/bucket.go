// Package bucket bounds how often something happens: at a steady rate, with a burst
// at any time.
package bucket

import "time"

// Bucket holds tokens, each good for one event. Its zero value is full. It is not
// safe for use from several goroutines.
type Bucket struct {
	tokens float64
	at     time.Time
}

// Has returns whether an event may happen, where rate tokens a second come in and
// burst are held at most.
func (b *Bucket) Has(now time.Time, rate, burst float64) bool {
	if b.at.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+now.Sub(b.at).Seconds()*rate)
	}
	b.at = now
	return b.tokens >= 1
}

// Take is Has, and takes the token of the event.
func (b *Bucket) Take(now time.Time, rate, burst float64) bool {
	if !b.Has(now, rate, burst) {
		return false
	}
	b.tokens--
	return true
}
