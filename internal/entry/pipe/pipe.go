// Package pipe serves HTTP/1.1 to callers and runs the requests of one connection
// side by side, where net/http runs them one after another. Answers go out in the
// order of the requests.
//
// One goroutine of a connection reads, another writes, and each request has one of
// its own. When the caller closes its connection, the contexts of its requests end.
// Parsing is that of net/http.
package pipe

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
)

const (
	// maxPipelined is the most requests of one connection that are read ahead.
	maxPipelined = 32
	// lingerTime is the time for which a connection is read after the last answer,
	// so that bytes under way don't reset it.
	lingerTime = 300 * time.Millisecond
	// writeTimeout bounds sending one answer.
	writeTimeout = 10 * time.Second
)

// Request is a request that was read whole.
type Request struct {
	*http.Request
	// Content is the whole body.
	Content []byte
	// Read is the instant at which its last byte was read.
	Read time.Time
}

// Answer is what goes back to the caller.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Close is true where the connection ends after this answer.
	Close bool
}

// Handler answers requests. It is called from many goroutines.
type Handler interface {
	Handle(ctx context.Context, r *Request) Answer
}

// Server serves callers. Set the exported fields before Serve.
type Server struct {
	Handler Handler
	// Limits returns the bounds for the next request.
	Limits func() snipefront.CallerLimits
	Logger *slog.Logger

	closing  atomic.Bool
	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]bool
	ended    sync.WaitGroup
}

// Serve accepts connections on l until it is closed or ctx ends, which also cuts
// the connections. It returns once all have ended.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	defer s.ended.Wait()
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.cut()
	})
	defer stop()
	for {
		n, err := l.Accept()
		switch {
		case err == nil:
			s.start(ctx, n)
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTemporary(err):
			s.Logger.Warn("connection not accepted", "error", err)
			time.Sleep(10 * time.Millisecond)
		default:
			return errors.Wrap(err, "accept")
		}
	}
}

// Drain makes each connection end after its next answer.
func (s *Server) Drain() { s.closing.Store(true) }

// Draining returns whether Drain was called.
func (s *Server) Draining() bool { return s.closing.Load() }

// CloseListener ends the taking of new connections.
func (s *Server) CloseListener() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
	}
}

// CloseIdle closes the connections that have no request. It returns the number of
// those that have one.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := 0
	for c := range s.conns {
		if !c.idle() {
			busy++
		}
	}
	return busy
}

// cut closes all connections.
func (s *Server) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) start(ctx context.Context, n net.Conn) {
	c := &conn{Conn: n, server: s}
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*conn]bool{}
	}
	s.conns[c] = true
	s.mu.Unlock()
	s.ended.Add(1)
	go func() {
		defer s.ended.Done()
		c.serve(ctx)
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

func isTemporary(err error) bool {
	var e net.Error
	return errors.As(err, &e)
}
