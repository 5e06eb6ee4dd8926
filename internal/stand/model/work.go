package model

import (
	"context"
	"time"

	"github.com/snipefront/snipefront"
)

// Run describes the run of a request at a server.
type Run struct {
	Request *snipefront.Request
	// Arrived is when the request arrived, and Started when it got a slot.
	Arrived, Started time.Time
	// First and Last are the slowdown factors at the start and at the end.
	First, Last float64
	// Full reports whether the share of slots in use was above FullShare at the start.
	Full bool
}

// work occupies a slot of srv for a random service time that has the given mean at usual
// speed, and reports whether the time passed before ctx ended. It applies the slowdown
// factor, FullFactor and Drag, and records them in run.
func (s *Servers) work(ctx context.Context, srv *server, mean time.Duration, run *Run) bool {
	left, changed := s.begin(srv, mean, run)
	for {
		began := time.Now()
		end := time.NewTimer(time.Duration(left * run.Last))
		select {
		case <-end.C:
			return true
		case <-ctx.Done():
			end.Stop()
			return false
		case <-changed:
			end.Stop()
		}
		left -= float64(time.Since(began)) / run.Last
		changed = s.speed(srv, run)
	}
}

// begin returns the work of a request that starts, in nanoseconds at usual speed, and the
// channel that is closed when the speed changes for it.
func (s *Servers) begin(srv *server, mean time.Duration, run *Run) (left float64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left = float64(mean) * max(0.2, 1+s.Behaviour.Spread*s.Random.NormFloat64())
	run.Full = float64(srv.running) > s.Behaviour.FullShare*float64(s.Behaviour.Slots)
	if run.Full {
		left *= s.Behaviour.FullFactor
	}
	if srv.condition.Drag > 0 {
		left *= srv.condition.Drag
	}
	run.First, run.Last = srv.slowdown, srv.slowdown
	if s.Behaviour.Continuous {
		changed = srv.changed
	}
	return left, changed
}

// speed sets the present slowdown factor of run and returns the channel that is closed when
// it changes.
func (s *Servers) speed(srv *server, run *Run) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Last = srv.slowdown
	return srv.changed
}
