// Package relay stands between two ends as a network device that can lose track of
// the connections that are open: they go silent for good while new ones work.
package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// bufferBytes is the length of the buffer of each direction of a connection.
const bufferBytes = 32 << 10

// Relay passes bytes between connections until it is told to silence those that
// are open. Start makes one.
type Relay struct {
	net.Listener
	to string

	mu       sync.Mutex
	silent   []*atomic.Bool
	accepted int
	closed   int
}

// Start returns a relay on a free port of loopback to the address to. Closing it
// ends it for new connections.
func Start(to string) (*Relay, error) {
	var c net.ListenConfig
	l, err := c.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &Relay{Listener: l, to: to}
	go r.run()
	return r, nil
}

// Silence makes all open connections silent for good.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.silent {
		s.Store(true)
	}
}

// Accepted returns the number of connections that were ever accepted.
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

func (r *Relay) run() {
	for {
		c, err := r.Accept()
		if err != nil {
			return
		}
		var d net.Dialer
		s, err := d.DialContext(context.Background(), "tcp", r.to)
		if err != nil {
			c.Close()
			continue
		}
		r.join(c, s)
	}
}

// join passes bytes between the client c and the server s.
func (r *Relay) join(c, s net.Conn) {
	silent := &atomic.Bool{}
	r.mu.Lock()
	r.accepted++
	r.silent = append(r.silent, silent)
	r.mu.Unlock()
	go func() {
		pass(s, c, silent)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.closed++
	}()
	go pass(c, s, silent)
}

// pass copies bytes and the end of the connection while it is not silent.
func pass(to, from net.Conn, silent *atomic.Bool) {
	b := make([]byte, bufferBytes)
	for {
		n, err := from.Read(b)
		if silent.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, e := to.Write(b[:n]); err != nil || e != nil {
			to.Close()
			return
		}
	}
}
