// Package probe checks the health of backend servers that have not answered a request
// recently.
//
// The owner of a cell sees every answer, so it probes only backend servers that are
// idle or whose last requests failed. The lease of the instance grants a probe rate;
// without a grant no probe is sent.
package probe

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
)

// interval is the time between two searches for a backend server to probe.
const interval = 20 * time.Millisecond

// Sender sends probes.
type Sender interface {
	// Probe sends one probe and reports whether it was answered.
	Probe(ctx context.Context, b snipefront.BackendServer, path string) bool
}

// Counter counts probes.
type Counter interface {
	Probed(service string, answered bool)
}

// Prober sends the probes of one instance. Set the exported fields before Run.
type Prober struct {
	// Cells returns the cells that the instance knows.
	Cells func() []*cell.Cell
	// Config returns the configuration in force.
	Config func() *snipefront.Config
	// Rate returns the highest number of probes per second that this instance may send
	// now.
	Rate    func() float64
	Sender  Sender
	Counter Counter

	budget budget.Rate
}

// Take takes one probe from the budget, or returns false if none is left. The checks that
// package sender makes over new connections use the same budget.
func (p *Prober) Take() bool {
	return p.budget.Take(time.Now(), p.Rate())
}

// Run sends probes, one at a time, until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	return timer.Every(ctx, interval, func(time.Time) { p.probeNext(ctx) })
}

// probeNext probes at most one backend server, in the cells in random order.
func (p *Prober) probeNext(ctx context.Context) {
	if !p.budget.Ready(time.Now(), p.Rate()) {
		return
	}
	cells := p.Cells()
	services := p.Config().Services
	for _, i := range rand.Perm(len(cells)) {
		path := services[cells[i].Name.Service].ProbePath
		if path != "" && p.probeCell(ctx, cells[i], path) {
			return
		}
	}
}

// probeCell probes the backend server of c that most needs it, and reports whether it
// sent a probe.
func (p *Prober) probeCell(ctx context.Context, c *cell.Cell, path string) bool {
	s := c.Probe(time.Now())
	if s == nil {
		return false
	}
	if !p.Take() {
		s.Done(cell.Canceled)
		return false
	}
	answered := p.Sender.Probe(ctx, s.BackendServer, path)
	s.Probed(answered)
	p.Counter.Probed(c.Name.Service, answered)
	return true
}
