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

// sockets is a listener that can make its open connections silent, as when
// something on the way has lost track of them.
type sockets struct {
	net.Listener
	server *Server
	mu     sync.Mutex
	open   map[*socket]struct{}
}

// socket is a connection that may be silent: it then drops what is written
// and what arrives, until it is closed.
type socket struct {
	net.Conn
	owner  *sockets
	silent atomic.Bool
	// usable is when the first byte may be read.
	usable time.Time
}

// Accept returns the next connection that is not one too many.
func (l *sockets) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		s := &socket{Conn: c, owner: l, usable: time.Now().Add(l.server.ConnectLatency)}
		if l.add(s) {
			return s, nil
		}
		c.Close()
	}
}

// add returns false where s is one too many.
func (l *sockets) add(s *socket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if most := l.server.MostConnections; most > 0 && len(l.open) >= most {
		l.server.count(func(r *Report) { r.Disconnected++ })
		return false
	}
	l.open[s] = struct{}{}
	l.server.count(func(r *Report) { r.MostConnections = max(r.MostConnections, len(l.open)) })
	return true
}

// silence makes the connections that are open now silent, but for the one with
// the remote address spare.
func (l *sockets) silence(spare string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.open {
		if s.RemoteAddr().String() != spare {
			s.silent.Store(true)
		}
	}
}

// Read waits until the connection is usable. It drops what arrives on a silent
// connection and goes on reading.
func (s *socket) Read(b []byte) (int, error) {
	if d := time.Until(s.usable); d > 0 {
		time.Sleep(d)
	}
	for {
		n, err := s.Conn.Read(b)
		if !s.silent.Load() {
			return n, err
		}
		if err != nil {
			return 0, err
		}
	}
}

// Write drops b on a silent connection.
func (s *socket) Write(b []byte) (int, error) {
	if s.silent.Load() {
		return len(b), nil
	}
	return s.Conn.Write(b)
}

// Close closes the connection.
func (s *socket) Close() error {
	s.owner.mu.Lock()
	delete(s.owner.open, s)
	s.owner.mu.Unlock()
	return s.Conn.Close()
}

// silencing acts on SilentOld before the ordinary handler sees the request.
// The connection that carries the request stays usable.
func (s *Server) silencing(l *sockets) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != "/.stand/mode" {
			s.handler.ServeHTTP(w, r)
			return
		}
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBodyBytes))
		if err != nil {
			http.Error(w, "mode: "+err.Error(), http.StatusBadRequest)
			return
		}
		var m Mode
		if json.Unmarshal(b, &m) == nil && m.SilentOld {
			l.silence(r.RemoteAddr)
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		s.handler.ServeHTTP(w, r)
	})
}
