package bound_test

import (
	"bytes"
	"context"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/rpc/bound"
)

// testTimeout ends the waits of a test that hangs.
const testTimeout = 20 * time.Second

// awaitUnused waits until m holds no bodies any more.
func awaitUnused(t *testing.T, m *bound.Memory) {
	t.Helper()
	for end := time.Now().Add(testTimeout); m.Used() > 0; runtime.GC() {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still taken", m.Used())
		}
	}
}

// TestBodiesAreReadWhole guards against a body that is cut off or changed while its buffer
// grows, and against one that ends early and is taken as whole.
func TestBodiesAreReadWhole(t *testing.T) {
	m := &bound.Memory{Limit: 2 << 20}
	for _, n := range []int{0, 1, 4095, 4096, 4097, 64 << 10, 64<<10 + 1, 200_000, 300_000} {
		want := bytes.Repeat([]byte("abcdefg"), n)[:n]
		for _, length := range []int64{-1, int64(n)} {
			got, err := m.ReadBody(t.Context(), iotest.HalfReader(bytes.NewReader(want)), length, 300_000)
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("a body of %d bytes with length %d: %d bytes, %v", n, length, len(got), err)
			}
		}
		if _, err := m.ReadBody(t.Context(), bytes.NewReader(want), int64(n)+1, 400_000); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("a body of %d bytes that is one short: %v", n, err)
		}
	}
	if _, err := m.ReadBody(t.Context(), strings.NewReader("abcd"), -1, 3); !errors.Is(err, bound.ErrTooBig) {
		t.Errorf("a body over its limit: %v", err)
	}
	awaitUnused(t, m)
}

// endless is a body without an end.
type endless struct{ read int64 }

func (e *endless) Read(b []byte) (int, error) {
	e.read += int64(len(b))
	return len(b), nil
}

// TestEndlessBodiesStayWithinMemory guards against many bodies without an end that take
// all memory of a small instance together, and against a short body that fails for it.
func TestEndlessBodiesStayWithinMemory(t *testing.T) {
	m := &bound.Memory{Limit: 4 << 20, Wait: time.Second}
	for range 3 {
		e := &endless{}
		if _, err := m.ReadBody(t.Context(), e, -1, 16<<20); !errors.Is(err, bound.ErrNoMemory) || e.read > 4<<20 {
			t.Errorf("a body without an end: %v after %d bytes", err, e.read)
		}
	}
	awaitUnused(t, m)
	held, release := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		_, err := m.ReadBody(t.Context(), held, -1, 16<<20)
		ended <- err
	}()
	for range 17 {
		_, _ = release.Write(make([]byte, 64<<10))
	}
	if used := m.Used(); used < 1<<20 || used > m.Limit {
		t.Errorf("%d bytes are taken for a body of 1 MiB", used)
	}
	if _, err := m.ReadBody(t.Context(), &endless{}, 3<<20, 16<<20); !errors.Is(err, bound.ErrNoMemory) {
		t.Errorf("a second long body beside it: %v", err)
	}
	if b, err := m.ReadBody(t.Context(), strings.NewReader(strings.Repeat("a", 60<<10)), -1, 1<<20); err != nil || len(b) != 60<<10 {
		t.Errorf("a short body beside it: %d bytes, %v", len(b), err)
	}
	_ = release.Close()
	if err := <-ended; err != nil {
		t.Errorf("the long body ended with %v", err)
	}
	awaitUnused(t, m)
}

// TestHeldBodyCountsUntilItIsFreed guards against memory that is given to a body while an
// earlier one, which has been read, still takes it: many such bodies took more than the
// instance has, and it was killed.
func TestHeldBodyCountsUntilItIsFreed(t *testing.T) {
	const size = 1 << 20
	m := &bound.Memory{Limit: size, Wait: 50 * time.Millisecond}
	first, err := m.ReadBody(t.Context(), io.LimitReader(&endless{}, size), size, size)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.ReadBody(t.Context(), strings.NewReader("unread"), size, size); !errors.Is(err, bound.ErrNoMemory) {
		t.Errorf("a body beside one that takes all memory: %v, want %v", err, bound.ErrNoMemory)
	}
	if m.Used() != size {
		t.Errorf("%d bytes are taken, want %d", m.Used(), size)
	}
	runtime.KeepAlive(first)
}

// TestGarbageOfEarlierBodiesIsCollected guards against a body that is refused although all
// earlier ones are done with.
func TestGarbageOfEarlierBodiesIsCollected(t *testing.T) {
	const size = 1 << 20
	m := &bound.Memory{Limit: size, Wait: testTimeout}
	for n := range 20 {
		b, err := m.ReadBody(t.Context(), io.LimitReader(&endless{}, size), size, size)
		if err != nil || len(b) != size {
			t.Fatalf("body %d after others: %d bytes, %v", n, len(b), err)
		}
	}
}

// TestBodiesReadInPartDoNotBlockEachOther guards against bodies of unknown length that have
// taken all memory together and wait for each other until their deadlines.
func TestBodiesReadInPartDoNotBlockEachOther(t *testing.T) {
	const size = 1 << 20
	m := &bound.Memory{Limit: size, Spare: size}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	results := make(chan error)
	for range 8 {
		go func() {
			b, err := m.ReadBody(ctx, iotest.HalfReader(io.LimitReader(&endless{}, size-1)), -1, size)
			if err == nil && len(b) != size-1 {
				err = errors.Errorf("%d bytes", len(b))
			}
			results <- err
		}()
	}
	for range 8 {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if ctx.Err() != nil {
		t.Error("timed out: the bodies waited for each other")
	}
}

// TestShortBodiesKeepTheirReserve guards against short bodies that are refused because of
// long ones, and against any number of short ones.
func TestShortBodiesKeepTheirReserve(t *testing.T) {
	const size = 1 << 20
	m := &bound.Memory{Limit: size, Reserve: 2 * bound.ShortBytes}
	long, err := m.ReadBody(t.Context(), io.LimitReader(&endless{}, size), size, size)
	if err != nil {
		t.Fatal(err)
	}
	for n := range 2 {
		if !m.TakeShort(bound.ShortBytes) {
			t.Errorf("short body %d is refused beside a long one", n)
		}
	}
	if !m.Full() || m.TakeShort(1) {
		t.Error("short bodies take more than their reserve")
	}
	m.ReturnShort(bound.ShortBytes)
	if m.Full() || !m.TakeShort(bound.ShortBytes) {
		t.Error("the memory of a short body is not free after its end")
	}
	runtime.KeepAlive(long)
}

// TestBodyOverMemoryIsNotTooBig guards against a body within the limit of its sender that is
// called too big, after which nobody sends it again, since this instance can't hold it.
func TestBodyOverMemoryIsNotTooBig(t *testing.T) {
	m := &bound.Memory{Limit: 1 << 20}
	for _, length := range []int64{2 << 20, -1} {
		_, err := m.ReadBody(t.Context(), bytes.NewReader(make([]byte, 2<<20)), length, 4<<20)
		if !errors.Is(err, bound.ErrNoMemory) {
			t.Errorf("a body of 2 MiB with length %d and 1 MiB of memory: %v, want %v", length, err, bound.ErrNoMemory)
		}
	}
}
