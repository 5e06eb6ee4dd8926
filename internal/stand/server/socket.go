package server

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// listener tracks its open connections and can make them half-open, as if a network
// device had lost their state.
type listener struct {
	net.Listener
	server *Server
	mu     sync.Mutex
	open   map[*conn]struct{}
}

// conn is a connection that may become half-open: it then drops what is written
// and what arrives, until it is closed.
type conn struct {
	net.Conn
	listener *listener
	halfOpen atomic.Bool
	// usableAt is the earliest time at which a byte is read.
	usableAt time.Time
}

// Accept returns the next connection. It closes those above MostConnections.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, listener: l, usableAt: time.Now().Add(l.server.ConnectLatency)}
		if l.add(c) {
			return c, nil
		}
		nc.Close()
	}
}

// add tracks c. It reports whether c is within MostConnections.
func (l *listener) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit := l.server.MostConnections; limit > 0 && len(l.open) >= limit {
		l.server.count(func(r *Report) { r.Disconnected++ })
		return false
	}
	l.open[c] = struct{}{}
	l.server.count(func(r *Report) { r.MostConnections = max(r.MostConnections, len(l.open)) })
	return true
}

// makeHalfOpen makes the connections that are open now half-open, except the one
// whose remote address is except.
func (l *listener) makeHalfOpen(except string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c.RemoteAddr().String() != except {
			c.halfOpen.Store(true)
		}
	}
}

// Read waits until the connection is usable. On a half-open connection, it drops
// what arrives and continues to read.
func (c *conn) Read(b []byte) (int, error) {
	if d := time.Until(c.usableAt); d > 0 {
		time.Sleep(d)
	}
	for {
		n, err := c.Conn.Read(b)
		if !c.halfOpen.Load() {
			return n, err
		}
		if err != nil {
			return 0, err
		}
	}
}

// Write drops b on a half-open connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.halfOpen.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// handleSilentOld returns the handler of s for requests that arrive through l. If a
// request sets SilentOld, it first makes the open connections half-open, except the
// one over which the request arrived.
func (s *Server) handleSilentOld(l *listener) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != "/.stand/mode" {
			s.handler.ServeHTTP(w, r)
			return
		}
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, "mode: "+err.Error(), http.StatusBadRequest)
			return
		}
		var m Mode
		if json.Unmarshal(b, &m) == nil && m.SilentOld {
			l.makeHalfOpen(r.RemoteAddr)
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		s.handler.ServeHTTP(w, r)
	})
}
