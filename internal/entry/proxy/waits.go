package proxy

import (
	"sync"
	"time"
)

const (
	// waitUnit is the precision to which times to wait are compared.
	waitUnit = 10 * time.Millisecond
	// keptWaits is the number of requests after which counts are halved.
	keptWaits = 64
)

// waits tells how long a caller has waited before its request came here, as one
// that comes back after a refusal has. The usual callers of a route are taken to
// wait equally long in all, so that the most common time to wait is that of
// requests that come for the first time.
type waits struct {
	mu sync.Mutex
	// counts holds, by route and time to wait, how many requests came lately.
	counts map[string]map[time.Duration]int
}

// before returns how long the caller of a request of a route has waited that will
// wait for the remaining time.
func (w *waits) before(route string, remaining time.Duration) time.Duration {
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
	c[remaining.Round(waitUnit)]++
	total := 0
	var usual time.Duration
	for d, n := range c {
		total += n
		if n > c[usual] || n == c[usual] && d > usual {
			usual = d
		}
	}
	if total >= keptWaits {
		halve(c)
	}
	return max(0, usual-remaining)
}

func halve(c map[time.Duration]int) {
	for d, n := range c {
		c[d] = n / 2
		if n < 2 {
			delete(c, d)
		}
	}
}

// forget drops the routes that are not in names.
func (w *waits) forget(names map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := range w.counts {
		if !names[n] {
			delete(w.counts, n)
		}
	}
}
