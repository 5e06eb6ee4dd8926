package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// wire is a connection to a server of a soak, which can be reset, silenced and delayed.
type wire struct {
	net.Conn
	t *trouble
	// silent is true once the wire passes nothing more.
	silent atomic.Bool
	closed chan struct{}
	once   sync.Once
	// refused is the request that the server has refused last on the wire.
	refused atomic.Pointer[string]
}

// wireListener makes wires of the connections to s.
type wireListener struct {
	net.Listener
	s *server
}

// Accept implements net.Listener.
func (l wireListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w := &wire{Conn: c, t: l.s.trouble, closed: make(chan struct{})}
	w.t.mu.Lock()
	defer w.t.mu.Unlock()
	w.t.wires[w] = true
	return w, nil
}

// Read implements net.Conn.
func (w *wire) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	time.Sleep(time.Duration(w.t.delay.Load()))
	if w.silent.Load() {
		<-w.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (w *wire) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(w.t.delay.Load()))
	if w.silent.Load() {
		return len(b), nil
	}
	return w.Conn.Write(b)
}

// Close implements net.Conn.
func (w *wire) Close() error {
	w.once.Do(func() { close(w.closed) })
	w.t.mu.Lock()
	delete(w.t.wires, w)
	w.t.mu.Unlock()
	return w.Conn.Close()
}

// reset closes the wire so that the other end sees a reset.
func (w *wire) reset() {
	if c, ok := w.Conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0) // fails only if the connection is closed
	}
	_ = w.Close() // so does this
}

// open returns the wires of a server.
func (t *trouble) open() []*wire {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*wire
	for w := range t.wires {
		list = append(list, w)
	}
	return list
}

// resetWires resets all connections to a server.
func (t *trouble) resetWires() {
	t.breakOff(time.Now().Add(cutTime))
	for _, w := range t.open() {
		w.reset()
	}
}

// silenceWires silences all connections to a server for good. New ones work.
func (t *trouble) silenceWires() {
	t.breakOff(time.Now().Add(cutTime))
	for _, w := range t.open() {
		w.silent.Store(true)
	}
}

// cutTime is the time within which a request that crosses the cut of a connection counts as broken
// off by its server.
const cutTime = 50 * time.Millisecond

type wireKey struct{}

// withWire keeps the wire of a connection for wireOf.
func withWire(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, wireKey{}, c)
}

// wireOf returns the wire of a request at a server of a soak.
func wireOf(r *http.Request) *wire {
	w, _ := r.Context().Value(wireKey{}).(*wire)
	return w
}
