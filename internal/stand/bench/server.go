package bench

import (
	"context"
	"sync"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/timer"
)

const (
	// warmUp is the time for which a started backend server is cold.
	warmUp = 250 * time.Millisecond
	// slowSpeed is the speed of a backend server with a noisy neighbour.
	slowSpeed = 0.3
	// shiftInterval is the time between changes of speed.
	shiftInterval = 8 * time.Millisecond
	// shedFactor is the multiple of its slots at which a backend server refuses.
	shedFactor = 10
)

// backend is a stand-in backend server. Requests beyond its slots wait in it.
type backend struct {
	announced snipefront.BackendServer
	coldLimit int
	shifting  bool
	seed      uint64
	origin    time.Time
	slots     chan struct{}

	mu       sync.Mutex
	inFlight int
	warm     time.Time
	failing  bool
	hung     bool
	out      bool
	// most is the most requests held at once.
	most int
	// overCold is the number of requests refused for the cold start.
	overCold int
	// afterOut is the number of requests received out of service.
	afterOut int
	served   int
}

// status is how a backend server ended a request.
type status uint8

const (
	answered status = iota
	shed
	failed
	late
)

// serve runs a request of the given work.
func (b *backend) serve(ctx context.Context, work time.Duration) status {
	if s := b.accept(time.Now()); s != answered {
		return s
	}
	defer b.leave()
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		return late
	}
	defer func() { <-b.slots }()
	if b.isHung() {
		<-ctx.Done()
		return late
	}
	now := time.Now()
	if !timer.Sleep(ctx, b.finish(now, work).Sub(now)) {
		return late
	}
	return answered
}

func (b *backend) accept(now time.Time) status {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.out {
		b.afterOut++
	}
	switch {
	case b.failing:
		b.served++
		return failed
	case now.Before(b.warm) && b.inFlight >= b.coldLimit:
		b.overCold++
		return shed
	case b.inFlight >= shedFactor*cap(b.slots):
		return shed
	}
	b.served++
	b.inFlight++
	b.most = max(b.most, b.inFlight)
	return answered
}

func (b *backend) leave() {
	b.mu.Lock()
	b.inFlight--
	b.mu.Unlock()
}

// chill begins a cold start that nothing announces.
func (b *backend) chill() {
	b.mu.Lock()
	b.warm = time.Now().Add(warmUp)
	b.mu.Unlock()
}

// fail makes every answer a failure at once.
func (b *backend) fail(v bool) {
	b.mu.Lock()
	b.failing = v
	b.mu.Unlock()
}

// hang makes every later request go without an answer.
func (b *backend) hang() {
	b.mu.Lock()
	b.hung = true
	b.mu.Unlock()
}

func (b *backend) isHung() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hung
}

func (b *backend) leaveService(v bool) {
	b.mu.Lock()
	b.out = v
	b.mu.Unlock()
}

func (b *backend) load() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inFlight
}

// finish returns when work that starts at now is done.
func (b *backend) finish(now time.Time, work time.Duration) time.Time {
	if !b.shifting {
		return now.Add(work)
	}
	for {
		period := now.Sub(b.origin) / shiftInterval
		end := b.origin.Add((period + 1) * shiftInterval)
		speed := b.speed(uint64(period))
		possible := time.Duration(float64(end.Sub(now)) * speed)
		if possible >= work {
			return now.Add(time.Duration(float64(work) / speed))
		}
		work -= possible
		now = end
	}
}

func (b *backend) speed(period uint64) float64 {
	if mix(b.seed+period)&1 == 0 {
		return slowSpeed
	}
	return 1
}

// mix spreads the bits of x.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
