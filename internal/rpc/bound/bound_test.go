package bound_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/rpc/bound"
)

// TestBodiesAreReadWhole guards against a body that is cut off or changed while its buffer
// grows, and against one that ends early and is taken as whole.
func TestBodiesAreReadWhole(t *testing.T) {
	m := &bound.Memory{Limit: 1 << 20}
	for _, n := range []int{0, 1, 4095, 4096, 4097, 64 << 10, 64<<10 + 1, 200_000, 300_000} {
		want := bytes.Repeat([]byte("abcdefg"), n)[:n]
		for _, length := range []int64{-1, int64(n)} {
			got, err := m.ReadBody(iotest.HalfReader(bytes.NewReader(want)), length, 300_000)
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("a body of %d bytes with length %d: %d bytes, %v", n, length, len(got), err)
			}
		}
		if _, err := m.ReadBody(bytes.NewReader(want), int64(n)+1, 400_000); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("a body of %d bytes that is one short: %v", n, err)
		}
	}
	if _, err := m.ReadBody(strings.NewReader("abcd"), -1, 3); !errors.Is(err, bound.ErrTooBig) {
		t.Errorf("a body over its limit: %v", err)
	}
	if m.Used() != 0 {
		t.Errorf("%d bytes are still taken", m.Used())
	}
}

// endless is a body without an end.
type endless struct{ read int64 }

func (e *endless) Read(b []byte) (int, error) {
	e.read += int64(len(b))
	return len(b), nil
}

// TestEndlessBodiesStayWithinMemory guards against many bodies without an end that take
// all memory of a small instance together, and against a short answer that fails for it.
func TestEndlessBodiesStayWithinMemory(t *testing.T) {
	m := &bound.Memory{Limit: 2 << 20}
	for range 3 {
		e := &endless{}
		if _, err := m.ReadBody(e, -1, 16<<20); !errors.Is(err, bound.ErrNoMemory) || e.read > 4<<20 {
			t.Errorf("a body without an end: %v after %d bytes", err, e.read)
		}
	}
	held, release := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		_, err := m.ReadBody(held, -1, 16<<20)
		ended <- err
	}()
	for range 17 {
		_, _ = release.Write(make([]byte, 64<<10))
	}
	if used := m.Used(); used < 1<<20 || used > m.Limit {
		t.Errorf("%d bytes are taken for a body of 1 MiB", used)
	}
	if _, err := m.ReadBody(&endless{}, -1, 1<<20); !errors.Is(err, bound.ErrNoMemory) {
		t.Errorf("a second long body beside it: %v", err)
	}
	if b, err := m.ReadBody(strings.NewReader(strings.Repeat("a", 60<<10)), -1, 1<<20); err != nil || len(b) != 60<<10 {
		t.Errorf("a short body beside it: %d bytes, %v", len(b), err)
	}
	_ = release.Close()
	if err := <-ended; err != nil || m.Used() != 0 {
		t.Errorf("the long body ended with %v, %d bytes are still taken", err, m.Used())
	}
}
