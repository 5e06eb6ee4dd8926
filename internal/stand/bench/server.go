package bench

import (
	"context"
	"sync"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/timer"
)

const (
	// warmUp is the time for which a backend server is cold after its start.
	warmUp = 250 * time.Millisecond
	// slowSpeed is the speed of a backend server with a noisy neighbour, as a share of
	// full speed.
	slowSpeed = 0.3
	// shiftInterval is the length of a period. The speed is constant within a period.
	shiftInterval = 8 * time.Millisecond
	// shedFactor times its slots is the number of requests in flight at which a backend
	// server refuses further ones.
	shedFactor = 10
)

// backend is a simulated backend server. Requests beyond its slots wait in its queue.
type backend struct {
	announced snipefront.BackendServer
	coldLimit int
	shifting  bool
	seed      uint64
	// origin is the start of the first period, number 0.
	origin time.Time
	// slots holds an element for each request that runs.
	slots chan struct{}

	mu        sync.Mutex
	inFlight  int
	coldUntil time.Time
	failing   bool
	hung      bool
	out       bool
	// mostInFlight is the highest number of requests in flight at once.
	mostInFlight int
	// refusedOverCold is the number of requests refused because they exceeded the
	// cold limit.
	refusedOverCold int
	// receivedWhileOut is the number of requests received while the data centre was
	// out of service.
	receivedWhileOut int
	served           int
}

// status is the outcome of a request.
type status uint8

const (
	answered status = iota
	shed
	failed
	late
)

// serve runs a request whose service time at full speed is work. It waits for a free
// slot.
func (b *backend) serve(ctx context.Context, work time.Duration) status {
	if s := b.admit(time.Now()); s != answered {
		return s
	}
	defer b.release()
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
	if !timer.Sleep(ctx, b.finishTime(now, work).Sub(now)) {
		return late
	}
	return answered
}

// admit counts a request in flight and returns answered, or the status of a request
// that fails or is refused immediately.
func (b *backend) admit(now time.Time) status {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.out {
		b.receivedWhileOut++
	}
	switch {
	case b.failing:
		b.served++
		return failed
	case now.Before(b.coldUntil) && b.inFlight >= b.coldLimit:
		b.refusedOverCold++
		return shed
	case b.inFlight >= shedFactor*cap(b.slots):
		return shed
	}
	b.served++
	b.inFlight++
	b.mostInFlight = max(b.mostInFlight, b.inFlight)
	return answered
}

// release counts a request as no longer in flight.
func (b *backend) release() {
	b.mu.Lock()
	b.inFlight--
	b.mu.Unlock()
}

// beginColdStart makes the backend server cold without an announcement.
func (b *backend) beginColdStart() {
	b.mu.Lock()
	b.coldUntil = time.Now().Add(warmUp)
	b.mu.Unlock()
}

// setFailing sets whether every request fails immediately.
func (b *backend) setFailing(v bool) {
	b.mu.Lock()
	b.failing = v
	b.mu.Unlock()
}

// hang leaves each request that starts to run after the call without an answer.
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

// setOut sets whether the data centre is out of service.
func (b *backend) setOut(v bool) {
	b.mu.Lock()
	b.out = v
	b.mu.Unlock()
}

// load returns the number of requests in flight.
func (b *backend) load() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inFlight
}

// finishTime returns the time at which a request ends that starts at now and whose
// service time at full speed is work.
func (b *backend) finishTime(now time.Time, work time.Duration) time.Time {
	if !b.shifting {
		return now.Add(work)
	}
	for {
		period := now.Sub(b.origin) / shiftInterval
		end := b.origin.Add((period + 1) * shiftInterval)
		speed := b.speed(uint64(period))
		capacity := time.Duration(float64(end.Sub(now)) * speed)
		if capacity >= work {
			return now.Add(time.Duration(float64(work) / speed))
		}
		work -= capacity
		now = end
	}
}

// speed returns the speed in the given period, as a share of full speed. It is
// slowSpeed in a random half of the periods.
func (b *backend) speed(period uint64) float64 {
	if mix(b.seed+period)&1 == 0 {
		return slowSpeed
	}
	return 1
}

// mix returns a pseudorandom number for x, by the algorithm SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
