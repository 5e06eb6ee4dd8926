// Package probe asks backend servers for a sign of life where requests don't.
//
// The owner of a cell sees every answer, so only backend servers that are idle,
// or whose last requests failed, are worth a probe. How many may be sent is
// granted with the lease of the instance; a probe that has no grant is not sent.
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

// interval is the time between looks for a backend server to probe.
const interval = 20 * time.Millisecond

// Sender sends one probe and returns whether it was answered.
type Sender interface {
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
	// Rate returns the most probes a second that this instance may send now.
	Rate    func() float64
	Sender  Sender
	Counter Counter

	taken budget.Rate
}

// Take takes one probe out of the budget, or returns false where none is left.
// It serves the checks that others make, too.
func (p *Prober) Take() bool {
	return p.taken.Take(time.Now(), p.Rate())
}

// Run sends probes until ctx ends. Probes are sent one at a time.
func (p *Prober) Run(ctx context.Context) error {
	return timer.Every(ctx, interval, func(time.Time) { p.step(ctx) })
}

// step probes one backend server at most.
func (p *Prober) step(ctx context.Context) {
	if !p.taken.Ready(time.Now(), p.Rate()) {
		return
	}
	list := p.Cells()
	services := p.Config().Services
	for _, i := range rand.Perm(len(list)) {
		path := services[list[i].Name.Service].ProbePath
		if path != "" && p.probe(ctx, list[i], path) {
			return
		}
	}
}

// probe returns whether a backend server of c was probed.
func (p *Prober) probe(ctx context.Context, c *cell.Cell, path string) bool {
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
