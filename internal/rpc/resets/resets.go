// Package resets tells a connection that was reset from one that the other end has closed.
//
// The kernel reports the failure of a connection, such as a reset, to one call only. If that is a
// write, the next read returns io.EOF, as after a proper end. An answer without a length ends with its
// connection (RFC 9112, section 6.3), so that the part of it that has arrived would count as whole. A
// Conn therefore asks its writes before it reports the end.
package resets

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Dial is the type of a function that opens a connection.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dial function for an http.Transport whose connections are of type Conn. The timeout
// bounds opening a connection. Zero sets no bound.
func Dialer(timeout time.Duration) Dial {
	return Wrap((&net.Dialer{Timeout: timeout}).DialContext)
}

// Wrap wraps dial, so that it opens connections of type Conn.
func Wrap(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
}

// Conn is a connection whose Read returns io.EOF only if the other end has ended its sending side.
type Conn struct {
	// Conn is the connection below. It must not be written to by others.
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	// failure is the failure of the connection that a write has returned, or nil. The lock writing
	// guards it.
	failure error
}

// Read implements io.Reader. At the end of the stream it ends a write that is still going on. If the
// connection failed and a write has taken the error, Read returns that in place of io.EOF.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// A write may have taken the error and not returned yet, or wait for an end that reads no more.
	_ = c.SetWriteDeadline(time.Now()) // fails only if the connection is closed
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure != nil {
		return n, c.failure
	}
	return n, io.EOF
}

// Write implements io.Writer.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.keep(err)
	return n, err
}

// WriteBuffers writes all of b, with as few system calls as the connection below allows.
func (c *Conn) WriteBuffers(b net.Buffers) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, err := b.WriteTo(c.Conn)
	c.keep(err)
	return err
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection without a socket")
	}
	return s.SyscallConn()
}

// keep keeps err, the result of a write, if it is a failure of the connection.
func (c *Conn) keep(err error) {
	if c.failure == nil && isFailure(err) {
		c.failure = err
	}
}

// isFailure reports whether err, the result of a write, is the failure of a connection whose other end
// had not ended its sending side. One that was reset after that end fails with EPIPE, and so does each
// write after another call has taken the failure. An end of the own side has no error number.
func isFailure(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}
