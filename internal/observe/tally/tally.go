// Package tally counts requests and attempts by service. Once a second, it logs the
// counts of each service that had further attempts, which are those beyond the first of
// a request, or retries that the budget did not allow.
//
// One line tells where the further arrivals at backend servers come from. Resends of
// callers are not among them, since each is a request of its own.
package tally

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/timer"
)

// interval is the time between two log lines of one service.
const interval = time.Second

// Tally implements snipefront.AttemptCounter. Set the exported fields before Run.
type Tally struct {
	// Next receives all events, too.
	Next   snipefront.AttemptCounter
	Logger *slog.Logger

	mu sync.Mutex
	// counts holds the counts since the last line, by service.
	counts map[string]*counts
}

// counts holds the counts of one service.
type counts struct {
	requests, denied int
	attempts         map[snipefront.Cause]int
}

// Run logs the counts until ctx ends. It returns nil.
func (t *Tally) Run(ctx context.Context) error {
	return timer.Every(ctx, interval, func(time.Time) { t.log() })
}

// Received implements snipefront.AttemptCounter.
func (t *Tally) Received(service string) {
	t.Next.Received(service)
	t.update(service, func(c *counts) { c.requests++ })
}

// Attempted implements snipefront.AttemptCounter.
func (t *Tally) Attempted(service string, cause snipefront.Cause) {
	t.Next.Attempted(service, cause)
	t.update(service, func(c *counts) { c.attempts[cause]++ })
}

// Denied implements snipefront.AttemptCounter.
func (t *Tally) Denied(service string) {
	t.Next.Denied(service)
	t.update(service, func(c *counts) { c.denied++ })
}

// update calls f with the counts of a service, under the lock.
func (t *Tally) update(service string, f func(c *counts)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]*counts{}
	}
	c := t.counts[service]
	if c == nil {
		c = &counts{attempts: map[snipefront.Cause]int{}}
		t.counts[service] = c
	}
	f(c)
}

// log writes a line for each service with further attempts or denied retries, and
// starts to count anew.
func (t *Tally) log() {
	t.mu.Lock()
	all := t.counts
	t.counts = nil
	t.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(all)) {
		c := all[service]
		retries, hedges, misdirected := c.attempts[snipefront.CauseRetry], c.attempts[snipefront.CauseHedge], c.attempts[snipefront.CauseMisdirected]
		if retries+hedges+misdirected+c.denied == 0 {
			continue
		}
		t.Logger.Info("further attempts", "service", service, "requests", c.requests,
			"first", c.attempts[snipefront.CauseFirst], "retries", retries, "hedges", hedges, "misdirected", misdirected, "denied", c.denied)
	}
}
