package proxy

import (
	"sync"
	"time"
)

const (
	// waitPrecision is the unit to which remaining times are rounded for comparison.
	waitPrecision = 10 * time.Millisecond
	// maxCounted is the number of counted requests of a route at which its counts are halved.
	maxCounted = 64
)

// waits estimates how long the caller of a request has waited since its first attempt,
// from the time that it will still wait. It assumes that most callers of a route allow
// the same total time and that most requests are first attempts. The most common
// remaining time is then that of a first attempt.
type waits struct {
	mu sync.Mutex
	// counts holds the number of recent requests, by route and rounded remaining time.
	counts map[string]map[time.Duration]int
}

// waited counts a request of the route and returns how long its caller has waited
// already. The caller will wait for the remaining time.
func (w *waits) waited(route string, remaining time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.counts == nil {
		w.counts = map[string]map[time.Duration]int{}
	}
	c := w.counts[route]
	if c == nil {
		c = map[time.Duration]int{}
		w.counts[route] = c
	}
	c[remaining.Round(waitPrecision)]++
	total := 0
	var typical time.Duration
	for d, n := range c {
		total += n
		if n > c[typical] || n == c[typical] && d > typical {
			typical = d
		}
	}
	if total >= maxCounted {
		halve(c)
	}
	return max(0, typical-remaining)
}

// halve halves the counts, so that recent requests weigh more, and drops those that
// become zero.
func halve(c map[time.Duration]int) {
	for d, n := range c {
		c[d] = n / 2
		if n < 2 {
			delete(c, d)
		}
	}
}

// forget drops the counts of routes that are not in names.
func (w *waits) forget(names map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := range w.counts {
		if !names[n] {
			delete(w.counts, n)
		}
	}
}
