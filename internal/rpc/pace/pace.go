// Package pace limits the rate of long transfers over the link of an instance (traffic shaping),
// so that short messages don't wait behind them. Otherwise a long answer occupies a narrow link
// until it is through: at 600 KB/s one of 90 KB delays load probes and short answers by 150 ms.
package pace

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/snipefront/snipefront/internal/clock/timer"
)

const (
	// FreeBytes is the length up to which a transfer is short. The part of a long one beyond
	// it is shaped.
	FreeBytes = 16 << 10
	// ChunkBytes is the most that a shaped transfer sends or receives at once.
	ChunkBytes = 4 << 10
	// longShare is the share of the link for shaped transfers. The rest is for short messages.
	longShare = 0.6
	// minWait is the time below which a transfer doesn't wait: timers are not more precise.
	minWait = time.Millisecond
)

// Shaper bounds the rate of all long transfers in one direction together. A nil Shaper sets no
// bound. It is safe for concurrent use.
type Shaper struct {
	// BytesPerSecond is the bandwidth of the link. Zero means that it is unknown and sets no
	// bound. Set it before use.
	BytesPerSecond float64

	mu sync.Mutex
	// free is the time from which longShare of the link is not reserved.
	free time.Time
}

// Wait waits until the next n bytes of a long transfer may be sent or received. It returns false
// if ctx ends before that.
func (s *Shaper) Wait(ctx context.Context, n int) bool {
	if s == nil || s.BytesPerSecond <= 0 {
		return true
	}
	wait := s.reserve(time.Now(), n)
	return wait < minWait || timer.Sleep(ctx, wait)
}

// Next waits until the next part of a transfer may be sent and returns the length of the part.
// The transfer has already sent, and has left, the given numbers of bytes.
func (s *Shaper) Next(ctx context.Context, sent, left int) int {
	switch {
	case s == nil || s.BytesPerSecond <= 0:
		return left
	case sent < FreeBytes:
		return min(left, FreeBytes-sent)
	}
	n := min(left, ChunkBytes)
	s.Wait(ctx, n)
	return n
}

// reserve reserves the link for n bytes and returns the time until their turn.
func (s *Shaper) reserve(now time.Time, n int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free.Before(now) {
		s.free = now
	}
	wait := s.free.Sub(now)
	s.free = s.free.Add(time.Duration(float64(n) / (longShare * s.BytesPerSecond) * float64(time.Second)))
	return wait
}

// Reader returns a reader of r whose bytes beyond FreeBytes are shaped. Its reads fail once ctx
// has ended while they wait.
func (s *Shaper) Reader(ctx context.Context, r io.Reader) io.Reader {
	if s == nil || s.BytesPerSecond <= 0 {
		return r
	}
	return &reader{ctx: ctx, source: r, shaper: s, free: FreeBytes}
}

// reader shapes the bytes of source.
type reader struct {
	ctx    context.Context
	source io.Reader
	shaper *Shaper
	// free is the number of bytes that are not shaped yet.
	free int
}

// Read implements io.Reader. What is not read fills the receive window, so that the sender waits.
func (r *reader) Read(b []byte) (int, error) {
	if r.free > 0 {
		n, err := r.source.Read(b[:min(len(b), r.free)])
		r.free -= n
		return n, err
	}
	b = b[:min(len(b), ChunkBytes)]
	if !r.shaper.Wait(r.ctx, len(b)) {
		return 0, r.ctx.Err()
	}
	return r.source.Read(b)
}
