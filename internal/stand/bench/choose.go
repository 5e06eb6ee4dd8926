package bench

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/timer"
)

const (
	// maxReportAge is the maximum age of the load reports that the balancers use.
	maxReportAge = 20 * time.Millisecond
	// reportInterval is the time between load reports.
	reportInterval = 5 * time.Millisecond
)

// balancers are load balancers that decide independently, with stale load reports.
type balancers struct {
	pickers []snipefront.Picker
	pools   map[string]*pool
}

// pool is the backend servers of one service with their load reports.
type pool struct {
	servers []*backend
	// samples holds the load reports of the last maxReportAge, the oldest first. Only
	// sample uses it.
	samples [][]snipefront.Candidate
	// inUse holds the load reports that the balancers use.
	inUse atomic.Pointer[[]snipefront.Candidate]
}

func newBalancers(z Size, servers []*backend, pick func() snipefront.Picker) *balancers {
	lb := &balancers{pools: map[string]*pool{}}
	for range z.Entries {
		lb.pickers = append(lb.pickers, pick())
	}
	for _, b := range servers {
		service := b.announced.Service
		if lb.pools[service] == nil {
			lb.pools[service] = &pool{}
		}
		lb.pools[service].servers = append(lb.pools[service].servers, b)
	}
	lb.sample()
	return lb
}

// sample takes a load report of each backend server. It keeps the reports of the last
// maxReportAge and lets the balancers use the oldest ones.
func (lb *balancers) sample() {
	for _, p := range lb.pools {
		list := make([]snipefront.Candidate, len(p.servers))
		for i, b := range p.servers {
			list[i] = snipefront.Candidate{Name: b.announced.Name, InFlight: b.load(), Limit: cap(b.slots)}
		}
		p.samples = append(p.samples, list)
		if len(p.samples) > int(maxReportAge/reportInterval) {
			p.samples = p.samples[1:]
		}
		p.inUse.Store(&p.samples[0])
	}
}

// serve sends c to a backend server that a random balancer picks. After a refusal, the
// balancer picks again, for up to maxAttempts attempts.
func (lb *balancers) serve(ctx context.Context, c call) status {
	entry := c.random % uint64(len(lb.pickers))
	p := lb.pools[c.service.Name]
	s := shed
	for i := range uint64(maxAttempts) {
		b := p.servers[lb.pickers[entry].Pick(*p.inUse.Load(), mix(c.random+i))]
		delay := localDelay
		if dataCentre(int(entry)) != b.announced.DataCentre {
			delay = remoteDelay
		}
		if !timer.Sleep(ctx, delay) {
			return late
		}
		s = b.serve(ctx, c.work)
		if s == late || !timer.Sleep(ctx, delay) {
			return late
		}
		if s != shed {
			return s
		}
	}
	return s
}
