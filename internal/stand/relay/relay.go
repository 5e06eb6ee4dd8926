// Package relay forwards TCP connections and simulates a network device that loses the
// state of the open ones: they stay half-open, while new ones work.
package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// bufferBytes is the size of the buffer for each direction of a connection.
const bufferBytes = 32 << 10

// Relay forwards connections to one address. It drops the bytes of those that
// MakeHalfOpen has made half-open. Start returns one.
type Relay struct {
	net.Listener
	address string

	mu       sync.Mutex
	halfOpen []*atomic.Bool
	accepted int
	closed   int
}

// Start returns a relay that listens on a free loopback port and forwards to address.
// After Close, it accepts no new connections; open ones continue.
func Start(address string) (*Relay, error) {
	var c net.ListenConfig
	l, err := c.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &Relay{Listener: l, address: address}
	go r.serve()
	return r, nil
}

// MakeHalfOpen makes all open connections permanently half-open: they pass no more
// bytes.
func (r *Relay) MakeHalfOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.halfOpen {
		h.Store(true)
	}
}

// Accepted returns the number of connections accepted and forwarded since the start.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Open returns the number of connections that the client holds open.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted - r.closed
}

func (r *Relay) serve() {
	for {
		c, err := r.Accept()
		if err != nil {
			return
		}
		var d net.Dialer
		s, err := d.DialContext(context.Background(), "tcp", r.address)
		if err != nil {
			c.Close()
			continue
		}
		r.forward(c, s)
	}
}

// forward copies bytes between the client c and the server s in both directions.
func (r *Relay) forward(c, s net.Conn) {
	halfOpen := &atomic.Bool{}
	r.mu.Lock()
	r.accepted++
	r.halfOpen = append(r.halfOpen, halfOpen)
	r.mu.Unlock()
	go func() {
		copyBytes(s, c, halfOpen)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.closed++
	}()
	go copyBytes(c, s, halfOpen)
}

// copyBytes copies bytes until from or to is closed, and then closes to. If the
// connection is half-open, it drops the bytes and leaves to open.
func copyBytes(to, from net.Conn, halfOpen *atomic.Bool) {
	b := make([]byte, bufferBytes)
	for {
		n, err := from.Read(b)
		if halfOpen.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, e := to.Write(b[:n]); err != nil || e != nil {
			to.Close()
			return
		}
	}
}
