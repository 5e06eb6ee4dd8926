// Package alive finds out whether the caller of an HTTP call still waits for its answer. A
// call may reach its handler long after its caller has given up and made other calls: the
// process has read it late, or its bytes were held up on their way. The end of the connection
// may be held up for longer, so no time without it shows that the caller waits.
//
// An interim response does: the machine of a caller that has closed its connection resets it,
// and that of a caller that waits acknowledges the bytes.
package alive

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/clock/timer"
)

// pollInterval is the time between two looks at a connection.
const pollInterval = 2 * time.Millisecond

// ErrUncertain means that the caller has closed its connection, or that its machine hasn't
// acknowledged the interim response.
var ErrUncertain = errors.New("the caller may have left")

// connKey is the key of a connection in the context of its calls.
type connKey struct{}

// conn is a connection from callers.
type conn struct {
	net.Conn
	accepted time.Time
	// calls counts the calls on the connection.
	calls atomic.Int64
}

// Watch makes s know the callers of its calls, for Of. It must be called before s serves.
func Watch(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, &conn{Conn: c, accepted: time.Now()})
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r); c != nil {
			c.calls.Add(1)
		}
		next.ServeHTTP(w, r)
	})
}

// connOf returns the connection of r, or nil if nothing is known of it.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// Caller is the caller of one call.
type Caller struct {
	// conn is nil if nothing is known of the connection.
	conn     *conn
	response http.ResponseWriter
	since    time.Time
	// interim is true if the caller takes interim responses.
	interim bool
}

// Of returns the caller of r, which is answered with w.
func Of(w http.ResponseWriter, r *http.Request) *Caller {
	c := &Caller{conn: connOf(r), response: w, since: time.Now(), interim: r.ProtoAtLeast(1, 1)}
	if c.conn != nil && c.conn.calls.Load() == 1 {
		c.since = c.conn.accepted
	}
	return c
}

// Since returns an instant since which the caller has waited, at least. A caller opens a
// connection for its first call, so that counts from there.
func (c *Caller) Since() time.Time { return c.since }

// Confirm returns nil once it is certain that the caller has waited for its answer at some
// instant since Confirm was called. It returns ErrUncertain if the caller has left or ctx ends
// before. The caller gets an interim response, which HTTP/1.1 has it ignore. Nothing is known of
// a caller that takes none, or if the system doesn't tell the state of a connection: Confirm then
// returns nil at once.
func (c *Caller) Confirm(ctx context.Context) error {
	if !c.interim {
		return nil
	}
	c.response.WriteHeader(http.StatusContinue)
	for ctx.Err() == nil {
		switch s := c.conn.state(); {
		case s.closed:
			return ErrUncertain
		case s.acknowledged, !s.known:
			return nil
		}
		timer.Sleep(ctx, pollInterval)
	}
	return ErrUncertain
}

// state is what the system tells of a connection.
type state struct {
	// known is false if the system tells nothing of the connection.
	known bool
	// closed is true if either end has closed or reset the connection.
	closed bool
	// acknowledged is true if the other end has acknowledged all bytes that were written.
	acknowledged bool
}

// state returns the state of c.
func (c *conn) state() state {
	if c == nil {
		return state{}
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return state{}
	}
	closed := state{known: true, closed: true}
	raw, err := sc.SyscallConn()
	if err != nil {
		return closed
	}
	var s state
	if err := raw.Control(func(fd uintptr) { s = socketState(int(fd)) }); err != nil {
		return closed
	}
	return s
}
