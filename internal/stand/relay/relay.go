// Package relay forwards TCP connections. It can simulate a network device that loses
// the state of the open connections: they become half-open, while new ones work.
package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// bufferBytes is the size of the buffer for each direction of a connection.
const bufferBytes = 32 << 10

// Relay forwards connections to one address. On connections that MakeHalfOpen has made
// half-open, it drops all bytes. Use Start to make a Relay.
type Relay struct {
	net.Listener
	address string
	// hold is how long the first bytes of each client are held up.
	hold time.Duration

	mu sync.Mutex
	// halfOpen has a flag for each connection since the start.
	halfOpen []*atomic.Bool
	accepted int
	closed   int
}

// Start returns a relay that listens on a free loopback port and forwards to address.
// After Close, it accepts no new connections; open ones continue.
func Start(address string) (*Relay, error) { return StartSlow(address, 0) }

// StartSlow returns a relay as Start does. It opens the connection to address at once, and
// holds up what the client sends, and the end of its connection, for the given time.
func StartSlow(address string, hold time.Duration) (*Relay, error) {
	var c net.ListenConfig
	l, err := c.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for relay")
	}
	r := &Relay{Listener: l, address: address, hold: hold}
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
		client, err := r.Accept()
		if err != nil {
			return
		}
		var d net.Dialer
		server, err := d.DialContext(context.Background(), "tcp", r.address)
		if err != nil {
			client.Close()
			continue
		}
		r.forward(client, server)
	}
}

// forward counts a connection and starts to copy its bytes in both directions.
func (r *Relay) forward(client, server net.Conn) {
	halfOpen := &atomic.Bool{}
	r.mu.Lock()
	r.accepted++
	r.halfOpen = append(r.halfOpen, halfOpen)
	r.mu.Unlock()
	go func() {
		time.Sleep(r.hold)
		copyBytes(server, client, halfOpen)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.closed++
	}()
	go copyBytes(client, server, halfOpen)
}

// copyBytes copies bytes until from or to is closed, and then closes to. Once the
// connection is half-open, it drops the bytes that it reads and leaves to open.
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
