package model

import (
	"context"
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/health"
)

// Processor implements direct.Link for one instance with a slow processor, which its load
// probes and requests use in turn. Make one with NewProcessor.
type Processor struct {
	*Servers

	// probe and request are the times for which a load probe, and each of the two ends of a
	// request, occupy the processor.
	probe, request time.Duration
	// busy holds a value while the processor is in use.
	busy chan struct{}
}

// NewProcessor returns the link of an instance to s, whose processor is in use for the time
// probe with each load probe, and for the time request before and after each request.
func NewProcessor(s *Servers, probe, request time.Duration) *Processor {
	return &Processor{Servers: s, probe: probe, request: request, busy: make(chan struct{}, 1)}
}

// Use occupies the processor for d.
func (p *Processor) Use(d time.Duration) {
	p.busy <- struct{}{}
	time.Sleep(d)
	<-p.busy
}

// Probe implements health.Prober.
func (p *Processor) Probe(t *health.Target) (health.Report, error) {
	p.Use(p.probe)
	return p.Servers.Probe(t)
}

// Send implements direct.Link.
func (p *Processor) Send(ctx context.Context, c *direct.Call, t *health.Target) direct.Attempt {
	p.Use(p.request)
	a := p.Servers.Send(ctx, c, t)
	p.Use(p.request)
	return a
}
