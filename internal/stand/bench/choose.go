package bench

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/timer"
)

const (
	// reportAge is the least age of a report.
	reportAge = 20 * time.Millisecond
	// reportInterval is the time between reports.
	reportInterval = 5 * time.Millisecond
)

// choosers are independent instances that go by reports.
type choosers struct {
	pickers []snipefront.Picker
	groups  map[string]*group
}

// group is the backend servers of a service with their reports.
type group struct {
	servers []*backend
	// samples holds the loads, the oldest first. Only sample uses it.
	samples [][]snipefront.Candidate
	// report is the sample by which the choosers go.
	report atomic.Pointer[[]snipefront.Candidate]
}

func newChoosers(z Size, servers []*backend, pick func() snipefront.Picker) *choosers {
	c := &choosers{groups: map[string]*group{}}
	for range z.Entries {
		c.pickers = append(c.pickers, pick())
	}
	for _, b := range servers {
		n := b.announced.Service
		if c.groups[n] == nil {
			c.groups[n] = &group{}
		}
		c.groups[n].servers = append(c.groups[n].servers, b)
	}
	c.sample()
	return c
}

// sample takes a report of each backend server.
func (c *choosers) sample() {
	for _, g := range c.groups {
		list := make([]snipefront.Candidate, len(g.servers))
		for i, b := range g.servers {
			list[i] = snipefront.Candidate{Name: b.announced.Name, InFlight: b.load(), Limit: cap(b.slots)}
		}
		g.samples = append(g.samples, list)
		if len(g.samples) > int(reportAge/reportInterval) {
			g.samples = g.samples[1:]
		}
		g.report.Store(&g.samples[0])
	}
}

// serve sends c to the choice of one chooser, and to another choice after a
// refusal.
func (c *choosers) serve(ctx context.Context, l call) status {
	entry := l.random % uint64(len(c.pickers))
	g := c.groups[l.service.Name]
	s := shed
	for i := range uint64(maxAttempts) {
		b := g.servers[c.pickers[entry].Pick(*g.report.Load(), mix(l.random+i))]
		hop := near
		if dataCentre(int(entry)) != b.announced.DataCentre {
			hop = far
		}
		if !timer.Sleep(ctx, hop) {
			return late
		}
		s = b.serve(ctx, l.work)
		if s == late || !timer.Sleep(ctx, hop) {
			return late
		}
		if s != shed {
			return s
		}
	}
	return s
}
