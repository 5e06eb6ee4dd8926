package resets_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/rpc/resets"
)

// ending is a connection whose other end has ended it: Read returns a part of an answer and then io.EOF,
// and Write fails with err.
type ending struct {
	net.Conn
	err error
	// blocks is true if a write waits until its deadline has passed, though it fails with err, too.
	blocks bool

	read    bool
	begun   chan struct{}
	expired chan struct{}
	once    sync.Once
}

func newEnding(err error, blocks bool) *ending {
	return &ending{err: err, blocks: blocks, begun: make(chan struct{}), expired: make(chan struct{})}
}

// Read implements net.Conn.
func (e *ending) Read(b []byte) (int, error) {
	if e.read {
		return 0, io.EOF
	}
	e.read = true
	return copy(b, "part"), nil
}

// Write implements net.Conn.
func (e *ending) Write(b []byte) (int, error) {
	close(e.begun)
	if e.blocks {
		<-e.expired
	}
	if e.err != nil {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: e.err}
	}
	return len(b), nil
}

// SetWriteDeadline implements net.Conn.
func (e *ending) SetWriteDeadline(at time.Time) error {
	if !at.After(time.Now()) {
		e.once.Do(func() { close(e.expired) })
	}
	return nil
}

// readAll writes to a connection above e and returns what a reader gets from it, and the error of the write.
func readAll(t *testing.T, e *ending, write func(c *resets.Conn) error) (text string, read, written error) {
	t.Helper()
	dial := resets.Wrap(func(context.Context, string, string) (net.Conn, error) { return e, nil })
	opened, err := dial(t.Context(), "tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	c := opened.(*resets.Conn)
	done := make(chan error, 1)
	go func() { done <- write(c) }()
	<-e.begun
	if !e.blocks {
		written = <-done
	}
	b, read := io.ReadAll(c)
	if e.blocks {
		written = <-done
	}
	return string(b), read, written
}

// writers are the ways to write.
var writers = map[string]func(c *resets.Conn) error{
	"Write":        func(c *resets.Conn) error { _, err := c.Write([]byte("a")); return err },
	"WriteBuffers": func(c *resets.Conn) error { return c.WriteBuffers(net.Buffers{[]byte("a")}) },
}

// each calls f for each way to write and each error, of a write that has returned and of one that
// returns only after its deadline.
func each(t *testing.T, all []error, f func(t *testing.T, e *ending, write func(c *resets.Conn) error)) {
	for name, write := range writers {
		for _, err := range all {
			for _, blocks := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %v, blocks %v", name, err, blocks), func(t *testing.T) {
					f(t, newEnding(err, blocks), write)
				})
			}
		}
	}
}

// TestResetTakenByWriteIsNoEnd guards against a connection that was reset and whose read reports a
// proper end, since a write has taken the error, also one that has not returned yet.
func TestResetTakenByWriteIsNoEnd(t *testing.T) {
	failures := []error{os.NewSyscallError("writev", syscall.ECONNRESET), os.NewSyscallError("write", syscall.ETIMEDOUT)}
	each(t, failures, func(t *testing.T, e *ending, write func(c *resets.Conn) error) {
		text, read, written := readAll(t, e, write)
		if text != "part" || !errors.Is(read, e.err) || !errors.Is(written, e.err) {
			t.Errorf("read %q, %v, want the part and %v; written with %v", text, read, e.err, written)
		}
	})
}

// TestProperEndStaysOne guards against an end of the other side that counts as a reset, or that a reader
// gets late, since a write has ended otherwise, was reset behind that end or was still going on.
func TestProperEndStaysOne(t *testing.T) {
	ends := []error{nil, os.NewSyscallError("write", syscall.EPIPE), os.ErrDeadlineExceeded, net.ErrClosed}
	each(t, ends, func(t *testing.T, e *ending, write func(c *resets.Conn) error) {
		text, read, written := readAll(t, e, write)
		if text != "part" || read != nil || !errors.Is(written, e.err) {
			t.Errorf("read %q, %v, want the part and its end; written with %v", text, read, written)
		}
	})
}

// TestSocketIsReached guards against a connection that hides its socket, which is looked at before an
// idle connection is used.
func TestSocketIsReached(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if raw, err := (&resets.Conn{Conn: c}).SyscallConn(); err != nil || raw == nil {
		t.Errorf("got %v, %v, want the socket", raw, err)
	}
	if _, err := (&resets.Conn{Conn: newEnding(nil, false)}).SyscallConn(); err == nil {
		t.Error("got a socket of a connection without one")
	}
}
