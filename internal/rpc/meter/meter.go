// Package meter counts the bytes of the connections between instances that carry
// the control service.
//
// A caller's connections are counted from the first byte, since they come from a
// dialler of their own. A listener's connection may carry any service: it counts
// for itself until its first call of the control service, and from then on, with
// what came before, for the Meter.
package meter

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Meter counts bytes. Set the exported fields before use.
type Meter struct {
	Received prometheus.Counter
	Sent     prometheus.Counter
}

// Dialer returns a dial function whose connections are counted.
func (m *Meter) Dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		n := &conn{Conn: c, meter: m}
		n.counted.Store(true)
		return n, nil
	}
}

// Listener returns l with connections that may be counted.
func (m *Meter) Listener(l net.Listener) net.Listener {
	return listener{l, m}
}

// Context is the ConnContext of a server on a Listener.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, key{}, c)
}

// Handler returns h, whose calls make their connections count.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(key{}).(*conn); ok {
			c.count()
		}
		h.ServeHTTP(w, r)
	})
}

type key struct{}

type listener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, meter: l.meter}, nil
}

// conn is a connection that counts for its meter, or for itself.
type conn struct {
	net.Conn
	meter   *Meter
	counted atomic.Bool
	// received and sent are bytes that the meter does not have yet.
	received atomic.Int64
	sent     atomic.Int64
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	c.flush()
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	c.flush()
	return n, err
}

func (c *conn) count() {
	if !c.counted.Swap(true) {
		c.flush()
	}
}

func (c *conn) flush() {
	if !c.counted.Load() {
		return
	}
	if n := c.received.Swap(0); n > 0 {
		c.meter.Received.Add(float64(n))
	}
	if n := c.sent.Swap(0); n > 0 {
		c.meter.Sent.Add(float64(n))
	}
}
