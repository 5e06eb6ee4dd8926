// Package writes reports whether any byte of a request was written to its
// connection, which decides whether the request may have run.
//
// Connections opened through Dialer or Wrap record writes. A Tracker follows one
// request through its context. Its method Wrote seals the connection, so that a result
// of false remains valid: a sealed connection refuses every further write.
//
// A connection also detects answers to other requests. The first byte of a request
// is written only when the reader has consumed everything that arrived before and
// waits for more. An answer that arrives before that byte belongs to another request,
// and the connection is sealed.
//
// A connection knows how long it has been silent. The idle time of httptrace does not
// tell that: a connection that was opened for another request, and is handed over while
// this one waits, counts there as not idle, however long ago it was opened.
package writes

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront/internal/rpc/resets"
)

// Dial is the type of a function that opens a connection.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dial function for an http.Transport whose connections carry one
// request at a time and tell a reset from an end. The timeout bounds opening a connection.
func Dialer(timeout time.Duration) Dial {
	return Wrap(resets.Dialer(timeout))
}

// Wrap wraps dial, so that a Tracker can track the connections that it opens.
func Wrap(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		begun := time.Now()
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c, begun), nil
	}
}

// Tracker tracks the connection of one request. Set the exported field before
// calling With.
type Tracker struct {
	// MaxIdle is the maximum time since a connection last received anything, or else
	// since its opening began. One that was silent for longer is sealed, unless its
	// opening began after the call of With. Zero sets no limit.
	MaxIdle time.Duration

	// start is the time of the call of With.
	start time.Time

	use            atomic.Pointer[use]
	idleTooLong    atomic.Bool
	fresh          atomic.Bool
	sawUnsolicited atomic.Bool
}

// With returns a context for the request that t tracks.
func (t *Tracker) With(ctx context.Context) context.Context {
	t.start = time.Now()
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              t.gotConn,
		GotFirstResponseByte: t.gotFirstByte,
	})
}

// Wrote reports whether any byte of the request may have been written, and seals the
// connection, unless that carries another request by now. After a result of false, no byte
// is ever written.
func (t *Tracker) Wrote() bool {
	u := t.use.Load()
	return u != nil && u.seal()
}

// IdleTooLong reports whether the connection was idle for longer than MaxIdle. If so,
// nothing was written.
func (t *Tracker) IdleTooLong() bool {
	return t.idleTooLong.Load()
}

// Fresh reports whether nothing had arrived on the connection before the request got it,
// so that it has carried no other request that was answered.
func (t *Tracker) Fresh() bool {
	return t.fresh.Load()
}

// Unsolicited reports whether the answer arrived before any byte of the request was
// written. If so, it is the answer to another request.
func (t *Tracker) Unsolicited() bool {
	return t.sawUnsolicited.Load()
}

func (t *Tracker) gotConn(i httptrace.GotConnInfo) {
	c, ok := i.Conn.(*conn)
	if !ok {
		return
	}
	u := c.startUse()
	t.use.Store(u)
	t.fresh.Store(c.isFresh())
	if t.MaxIdle > 0 && c.begun.Before(t.start) && c.silence() > t.MaxIdle {
		t.idleTooLong.Store(true)
		u.seal()
	}
}

func (t *Tracker) gotFirstByte() {
	if u := t.use.Load(); u != nil && u.sealUnwritten() {
		t.sawUnsolicited.Store(true)
	}
}

// use is the use of a connection by one request.
type use struct {
	conn *conn
	// wrote is true once the request has written anything. The lock of conn guards it.
	wrote bool
}

// conn records whether the request that uses it has written anything.
type conn struct {
	net.Conn

	// begun is the time at which its opening began.
	begun time.Time

	mu sync.Mutex
	// changed is signaled when a field below changes.
	changed *sync.Cond
	// current is the use by the latest request. The transport hands the connection to it as
	// soon as the one before is answered.
	current *use
	sealed  bool
	// reading is true during a call of Read.
	reading bool
	// heard is the time at which bytes last arrived. It is zero before the first.
	heard time.Time
}

func newConn(c net.Conn, begun time.Time) *conn {
	n := &conn{Conn: c, begun: begun}
	n.changed = sync.NewCond(&n.mu)
	n.current = &use{conn: n}
	return n
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.startRead()
	n, err := c.Conn.Read(b)
	c.endRead(n)
	return n, err
}

// Write implements net.Conn. It fails once the connection is sealed.
func (c *conn) Write(b []byte) (int, error) {
	if !c.startWrite() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.seal()
	return c.Conn.Close()
}

// startWrite waits until the first byte of a request may be written, or the connection
// is sealed. It reports whether the caller may write.
func (c *conn) startWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.current.wrote && !c.reading && !c.sealed {
		c.changed.Wait()
	}
	if c.sealed {
		return false
	}
	c.current.wrote = true
	return true
}

func (c *conn) startRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	c.changed.Broadcast()
}

// endRead records the end of a call of Read that returned n bytes.
func (c *conn) endRead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n > 0 {
		c.heard = time.Now()
	}
	c.changed.Broadcast()
}

// silence returns the time since the last bytes arrived or, if none did, since the
// opening of the connection began.
func (c *conn) silence() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heard.IsZero() {
		return time.Since(c.begun)
	}
	return time.Since(c.heard)
}

// isFresh reports whether no byte has arrived.
func (c *conn) isFresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard.IsZero()
}

// startUse starts a new request on the connection.
func (c *conn) startUse() *use {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = &use{conn: c}
	return c.current
}

// seal prevents any further write.
func (c *conn) seal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealLocked()
}

// sealLocked is seal for a caller that holds the lock.
func (c *conn) sealLocked() {
	c.sealed = true
	c.changed.Broadcast()
}

// seal prevents any further write of the request and reports whether it wrote anything.
func (u *use) seal() bool {
	u.conn.mu.Lock()
	defer u.conn.mu.Unlock()
	if u.conn.current == u {
		u.conn.sealLocked()
	}
	return u.wrote
}

// sealUnwritten seals the connection if the request uses it and has written nothing, and
// reports whether it did so.
func (u *use) sealUnwritten() bool {
	u.conn.mu.Lock()
	defer u.conn.mu.Unlock()
	if u.wrote || u.conn.current != u {
		return false
	}
	u.conn.sealLocked()
	return true
}
