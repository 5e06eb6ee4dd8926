// Package watch tells whether any byte of a request was written to its
// connection, which decides whether the request may have run.
//
// Connections made by Dialer note writes. A Probe is tied to one request through
// its context. Asking it seals the connection, so that the answer stays true.
package watch

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// Dialer returns a dial function for an http.Transport that carries one request
// at a time on a connection.
func Dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// Probe watches the connection of one request.
type Probe struct {
	used atomic.Pointer[conn]
}

// With returns a context whose request p watches.
func (p *Probe) With(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: p.got})
}

// Wrote returns whether any byte of the request may have been written. After
// false none ever will be.
func (p *Probe) Wrote() bool {
	c := p.used.Load()
	return c != nil && c.seal()
}

func (p *Probe) got(i httptrace.GotConnInfo) {
	if c, ok := i.Conn.(*conn); ok {
		c.watch()
		p.used.Store(c)
	}
}

// conn notes whether anything was written since it was last watched.
type conn struct {
	net.Conn

	mu     sync.Mutex
	wrote  bool
	sealed bool
}

// Write implements net.Conn. It fails once the connection is sealed.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(b)
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
	return c.wrote
}
