// Package bound keeps what answers take in memory within limits, however much their
// senders write.
package bound

import (
	"io"
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// freeBytes is the length of a body up to which Memory does not count it. Short answers
	// are read even while long ones take all of the memory.
	freeBytes = 64 << 10
	// firstBytes is the first size of the buffer of a body.
	firstBytes = 4 << 10
)

// Errors of ReadBody.
var (
	ErrTooBig   = errors.New("answer over the size limit")
	ErrNoMemory = errors.New("long answers take all of the memory for them")
)

// Memory bounds the buffers of all bodies that are being read. A buffer that grows is
// copied, so for a moment they take half more. Nil sets no bound.
type Memory struct {
	// Limit is the sum of the sizes of all buffers above freeBytes, in bytes.
	Limit int64

	used atomic.Int64
}

// ReadBody reads a body of the given length, or up to its end if length is negative. It
// fails with ErrTooBig as soon as there are more than most bytes, and with ErrNoMemory if
// Memory is used up. The buffer grows with what has arrived, whatever length promises.
func (m *Memory) ReadBody(r io.Reader, length, most int64) ([]byte, error) {
	if length > most {
		return nil, ErrTooBig
	}
	var taken int64
	defer func() { m.give(taken) }()
	buf := make([]byte, 0, firstBytes)
	for {
		if len(buf) == cap(buf) {
			size := min(2*int64(cap(buf)), most+1)
			if size > freeBytes && !m.take(size-taken) {
				return nil, ErrNoMemory
			}
			if size > freeBytes {
				taken = size
			}
			buf = slices.Grow(buf, int(size)-len(buf))[:len(buf):size]
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > most:
			return nil, ErrTooBig
		case err == io.EOF && length >= 0 && int64(len(buf)) < length:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return nil, err
		}
	}
}

// take takes n bytes and reports whether they are left.
func (m *Memory) take(n int64) bool {
	if m == nil || m.used.Add(n) <= m.Limit {
		return true
	}
	m.used.Add(-n)
	return false
}

func (m *Memory) give(n int64) {
	if m != nil {
		m.used.Add(-n)
	}
}

// Used returns the bytes that the bodies being read take now.
func (m *Memory) Used() int64 { return m.used.Load() }
