// Package bound keeps what the bodies of requests and answers take in memory within
// limits, however much their senders write and however slowly their receivers read.
package bound

import (
	"context"
	"io"

	"github.com/pkg/errors"
)

const (
	// ShortBytes is the length up to which a body is short. Long bodies leave memory for
	// the short ones.
	ShortBytes = 64 << 10
	// firstBytes is the first size of the buffer of a body of unknown length.
	firstBytes = 4 << 10
)

// Errors of ReadBody.
var (
	ErrTooBig   = errors.New("body over the size limit")
	ErrNoMemory = errors.New("other bodies take all of the memory for them")
)

// ReadBody reads a body of the given length, or up to its end if length is negative. It
// fails with ErrTooBig as soon as there are more than most bytes.
//
// It takes the memory for a known length before it reads, and else for what has arrived.
// A long body waits for memory, and fails with ErrNoMemory if there is none in time, or if
// it is more than Memory can ever hold. A short one is not counted here.
func (m *Memory) ReadBody(ctx context.Context, r io.Reader, length, most int64) ([]byte, error) {
	if length > most {
		return nil, ErrTooBig
	}
	size := length
	if length < 0 {
		size = min(firstBytes, most)
	}
	buf, err := m.allocate(ctx, size)
	if err != nil {
		return nil, err
	}
	for {
		buf, err = m.readSome(ctx, r, buf, most)
		switch {
		case errors.Is(err, io.EOF) && length >= 0 && int64(len(buf)) < length:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err
		}
	}
}

// readSome reads once from r and appends it to buf, which grows if it is full and the
// body goes on.
func (m *Memory) readSome(ctx context.Context, r io.Reader, buf []byte, most int64) ([]byte, error) {
	if len(buf) < cap(buf) {
		n, err := r.Read(buf[len(buf):cap(buf)])
		return buf[:len(buf)+n], err
	}
	var next [1]byte
	n, err := r.Read(next[:])
	if n == 0 {
		return buf, err
	}
	if int64(len(buf)) == most {
		return nil, ErrTooBig
	}
	larger, growErr := m.grow(ctx, int64(cap(buf)), most)
	if growErr != nil {
		return nil, growErr
	}
	larger = append(larger, buf...)
	return append(larger, next[0]), err
}

// grow returns an empty buffer that is larger than size bytes, for a body of unknown
// length up to most. The body keeps the buffer with size bytes until it is copied.
func (m *Memory) grow(ctx context.Context, size, most int64) ([]byte, error) {
	larger := min(max(2*size, firstBytes), most)
	if m == nil || larger <= ShortBytes {
		return make([]byte, 0, larger), nil
	}
	if m.Spare < most {
		return m.growWithin(ctx, size, larger)
	}
	return m.allocateOrSpare(ctx, larger)
}

// growWithin is grow within Limit.
func (m *Memory) growWithin(ctx context.Context, size, larger int64) ([]byte, error) {
	if size > ShortBytes {
		larger = min(larger, m.Limit-size)
	}
	if larger <= size {
		return nil, ErrNoMemory
	}
	return m.allocate(ctx, larger)
}
