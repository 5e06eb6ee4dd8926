// Package pipe serves HTTP/1.1 with pipelining to callers. It runs the requests of one
// connection concurrently, while net/http runs them one after another, and sends the
// answers in the order of the requests.
//
// Each connection has a goroutine that reads and one that writes, and each request has
// its own. When the caller closes its connection, the contexts of its requests are
// canceled. Requests are parsed by net/http.
package pipe

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/rpc/bound"
	"github.com/snipefront/snipefront/internal/rpc/pace"
)

const (
	// maxPipelined is how many requests of one connection may wait for an earlier
	// answer.
	maxPipelined = 32
	// lingerTime is how long a connection is still read after the last answer, unless the
	// caller closes it. Closing it while bytes arrive would send a reset, and a caller that
	// reads slowly could lose the answer.
	lingerTime = 10 * time.Second
	// writeChunkBytes is the part of an answer that a caller must take within
	// Server.WriteTimeout, in bytes.
	writeChunkBytes = 64 << 10
	// acceptTime is how long a listener that closes still accepts connections, so that
	// none is reset that callers have opened before, and how long the first request of a
	// connection may take to come before that counts as idle.
	acceptTime = 100 * time.Millisecond
	// defaultWriteTimeout is the WriteTimeout of a Server that sets none.
	defaultWriteTimeout = 10 * time.Second
)

// Request is a request with its complete body.
type Request struct {
	*http.Request
	// Content is the body, and nil once the request has been handled.
	Content []byte
	// Read is when the last byte of the request was read.
	Read time.Time

	// taken is what the request takes of Server.Bodies, and answerTaken what its answer
	// takes of Server.Answers, in bytes.
	taken, answerTaken int64
}

// Answer is the response to a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Close closes the connection after this answer if no other request is pending.
	Close bool
}

// Handler answers requests. Its methods are called concurrently.
type Handler interface {
	// Refuse returns the answer to a request that is refused before its body is read, and
	// reports whether it is.
	Refuse(r *http.Request) (Answer, bool)
	// RefuseForMemory returns the answer to r, for which there is no memory.
	RefuseForMemory(r *http.Request) Answer
	// Handle returns the answer to a request that was read. It returns soon once ctx ends.
	Handle(ctx context.Context, r *Request) Answer
}

// Observer is told of requests that get no answer.
type Observer interface {
	// Unanswered is called for a request that was read and whose answer could not be
	// written completely, because of err.
	Unanswered(r *Request, err error)
}

// Server serves callers. Set the exported fields before Serve.
type Server struct {
	Handler Handler
	// Observer may be nil.
	Observer Observer
	// Bodies bounds the requests of all connections, and Answers the answers until they are
	// written. Nil sets no bound.
	Bodies, Answers *bound.Memory
	// Shaper bounds the rate of long answers. It may be nil.
	Shaper *pace.Shaper
	// Limits returns the limits for the next request.
	Limits func() snipefront.CallerLimits
	// WriteTimeout is the time in which a caller must take the next part of an answer.
	// Zero means ten seconds.
	WriteTimeout time.Duration
	Logger       *slog.Logger

	uploads  uploads
	draining atomic.Bool
	// ended is true once all connections were closed with the end of Serve's context.
	ended    atomic.Bool
	mu       sync.Mutex
	listener net.Listener
	// listenerCloses is true once CloseListener was called.
	listenerCloses bool
	// accepting is true while Serve accepts connections.
	accepting bool
	// cancel cancels all requests.
	cancel context.CancelFunc
	conns  map[*conn]bool
	active sync.WaitGroup
}

// Serve accepts connections on l until CloseListener is called or ctx ends. The end of ctx
// also cancels all requests and closes all connections. Serve returns once the last
// connection has ended.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	requests, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s.mu.Lock()
	s.listener, s.cancel, s.accepting = l, cancel, true
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		cancel()
		s.closeAll()
	})
	defer stop()
	defer s.active.Wait()
	defer s.stopAccepting()
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			s.serveConn(requests, c)
		case errors.Is(err, net.ErrClosed):
			return nil
		case s.isEndOfAccepting(err):
			l.Close()
			return nil
		case isTemporary(err):
			s.Logger.Warn("cannot accept a connection; retrying", "error", err)
			time.Sleep(10 * time.Millisecond)
		default:
			return errors.Wrap(err, "accept")
		}
	}
}

// Drain closes each connection as soon as the requests that it has admitted are answered.
// An idle connection stays open until its next request is answered.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining reports whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// CloseListener stops accepting connections, soon after those that callers have opened.
func (s *Server) CloseListener() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listenerCloses = true
	switch l := s.listener.(type) {
	case nil:
	case interface{ SetDeadline(time.Time) error }:
		_ = l.SetDeadline(time.Now().Add(acceptTime)) // fails only if the listener is closed
	default:
		s.listener.Close()
	}
}

// Accepting reports whether Serve still accepts connections.
func (s *Server) Accepting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepting
}

func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepting = false
}

// isEndOfAccepting reports whether err, of Accept, is the end of the time that CloseListener
// has set.
func (s *Server) isEndOfAccepting(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listenerCloses && errors.Is(err, os.ErrDeadlineExceeded)
}

// CutOff cancels the requests in flight and refuses those that are still being read. Their
// answers close the connections.
func (s *Server) CutOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
	for c := range s.conns {
		c.stopReading()
	}
}

// CloseIdle closes the connections on which no request is pending or being read, and
// returns the number of the others.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := 0
	for c := range s.conns {
		if !c.closeIfIdle() {
			busy++
		}
	}
	return busy
}

// Pending returns the requests that were read and whose answers are not written
// completely.
func (s *Server) Pending() []*Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*Request
	for c := range s.conns {
		list = append(list, c.unanswered()...)
	}
	return list
}

// unanswered tells the Observer of r, unless Serve has closed all connections: what was
// pending then is known from Pending.
func (s *Server) unanswered(r *Request, err error) {
	if s.Observer != nil && !s.ended.Load() {
		s.Observer.Unanswered(r, err)
	}
}

func (s *Server) writeTimeout() time.Duration {
	if s.WriteTimeout > 0 {
		return s.WriteTimeout
	}
	return defaultWriteTimeout
}

// closeAll closes all connections.
func (s *Server) closeAll() {
	s.ended.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) serveConn(ctx context.Context, nc net.Conn) {
	c := &conn{Conn: nc, server: s, opened: time.Now()}
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*conn]bool{}
	}
	s.conns[c] = true
	s.mu.Unlock()
	s.active.Add(1)
	go func() {
		defer s.active.Done()
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
