// Package meter counts the bytes of the connections between instances that carry
// the control service.
//
// Outgoing connections are counted from the first byte, since the control service has
// a dialer of its own. An accepted connection may carry any service, so its bytes are
// added to the Meter, including the earlier ones, only from its first call of the
// control service on.
package meter

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Meter counts the bytes received and sent. Set the exported fields before use.
type Meter struct {
	Received prometheus.Counter
	Sent     prometheus.Counter
}

// Dialer returns a dial function whose connections are counted. timeout bounds each
// dial.
func (m *Meter) Dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		mc := &conn{Conn: c, meter: m}
		mc.counted.Store(true)
		return mc, nil
	}
}

// Listener wraps l, so that Handler can have its connections counted.
func (m *Meter) Listener(l net.Listener) net.Listener {
	return listener{l, m}
}

// Context is the http.Server.ConnContext to set for a server on a Listener.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler wraps h. Its first call over a connection starts the counting of that
// connection.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.startCounting()
		}
		h.ServeHTTP(w, r)
	})
}

type connKey struct{}

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

// conn is a connection whose bytes may be counted.
type conn struct {
	net.Conn
	meter *Meter
	// counted is true once the bytes are added to meter.
	counted atomic.Bool
	// pendingReceived and pendingSent are bytes that are not added to meter yet.
	pendingReceived atomic.Int64
	pendingSent     atomic.Int64
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.pendingReceived.Add(int64(n))
	c.flush()
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.pendingSent.Add(int64(n))
	c.flush()
	return n, err
}

func (c *conn) startCounting() {
	if !c.counted.Swap(true) {
		c.flush()
	}
}

func (c *conn) flush() {
	if !c.counted.Load() {
		return
	}
	if n := c.pendingReceived.Swap(0); n > 0 {
		c.meter.Received.Add(float64(n))
	}
	if n := c.pendingSent.Swap(0); n > 0 {
		c.meter.Sent.Add(float64(n))
	}
}
