// Package writes tells whether any byte of a request was written to its
// connection, which decides whether the request may have run.
//
// Connections made by Dialer note writes. A Tracker is tied to one request through
// its context. Asking it seals the connection, so that the answer stays true.
//
// A connection also keeps answers apart. The first byte of a request is written
// only once the reader has used up all that arrived before and waits for more.
// What arrived before the first byte was written answers another request, and
// seals the connection.
package writes

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// Dial opens a connection.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dial function for an http.Transport that carries one request
// at a time on a connection.
func Dialer(timeout time.Duration) Dial {
	return Over((&net.Dialer{Timeout: timeout}).DialContext)
}

// Over returns a dial function as Dialer does, whose connections are opened by
// dial.
func Over(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c), nil
	}
}

// Tracker watches the connection of one request. Set the exported field before
// With.
type Tracker struct {
	// MaxIdle is the longest time for which a reused connection may have been
	// idle. One that was idle for longer is sealed. Zero sets no bound.
	MaxIdle time.Duration

	used    atomic.Pointer[conn]
	idle    atomic.Bool
	crossed atomic.Bool
}

// With returns a context whose request p watches.
func (p *Tracker) With(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              p.got,
		GotFirstResponseByte: p.answered,
	})
}

// Wrote returns whether any byte of the request may have been written. After
// false none ever will be.
func (p *Tracker) Wrote() bool {
	c := p.used.Load()
	return c != nil && c.seal()
}

// Idle returns whether the connection was idle for longer than MaxIdle. Nothing
// was written then.
func (p *Tracker) Idle() bool {
	return p.idle.Load()
}

// Crossed returns whether the answer arrived before any byte of the request was
// written. It is then the answer to another request.
func (p *Tracker) Crossed() bool {
	return p.crossed.Load()
}

func (p *Tracker) got(i httptrace.GotConnInfo) {
	c, ok := i.Conn.(*conn)
	if !ok {
		return
	}
	c.watch()
	p.used.Store(c)
	if p.MaxIdle > 0 && i.Reused && i.IdleTime > p.MaxIdle {
		p.idle.Store(true)
		c.seal()
	}
}

func (p *Tracker) answered() {
	if c := p.used.Load(); c != nil && c.sealUnwritten() {
		p.crossed.Store(true)
	}
}

// conn notes whether anything was written since it was last watched.
type conn struct {
	net.Conn

	mu sync.Mutex
	// changed is signalled when a field below changes.
	changed *sync.Cond
	wrote   bool
	sealed  bool
	// waiting is true while a Read waits and has returned nothing.
	waiting bool
}

func newConn(c net.Conn) *conn {
	n := &conn{Conn: c}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.setWaiting(true)
	defer c.setWaiting(false)
	return c.Conn.Read(b)
}

// Write implements net.Conn. It fails once the connection is sealed.
func (c *conn) Write(b []byte) (int, error) {
	if !c.begin() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.seal()
	return c.Conn.Close()
}

// begin waits until the first byte of a request may be written, and returns
// whether it may.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.wrote && !c.waiting && !c.sealed {
		c.changed.Wait()
	}
	if c.sealed {
		return false
	}
	c.wrote = true
	return true
}

func (c *conn) setWaiting(w bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = w
	c.changed.Broadcast()
}

// watch begins a new request on the connection.
func (c *conn) watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
}

// seal forbids any further write and returns whether the request wrote anything.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	c.changed.Broadcast()
	return c.wrote
}

// sealUnwritten seals the connection where the request has written nothing, and
// returns whether that is so.
func (c *conn) sealUnwritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wrote {
		return false
	}
	c.sealed = true
	c.changed.Broadcast()
	return true
}
