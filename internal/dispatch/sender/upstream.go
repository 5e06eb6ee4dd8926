package sender

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/rpc/conns"
	"github.com/snipefront/snipefront/internal/rpc/writes"
)

const (
	idleTimeout    = 30 * time.Second
	maxIdlePerHost = 64
	bufferBytes    = 16 << 10

	defaultDialTimeout  = 250 * time.Millisecond
	defaultOverdueFloor = 100 * time.Millisecond
	// remainingDivisor delays when an answer to a request that is not idempotent is
	// overdue: not before 1/remainingDivisor of the time left until the deadline has
	// passed. Such a request is not retried, so its caller would lose the answer if the
	// connection was only slow.
	remainingDivisor = 2
	// checkTimeout bounds a check or a probe over a new connection.
	checkTimeout = 250 * time.Millisecond
)

// upstream holds the connections to one backend server.
type upstream struct {
	conns.Conns
	// anonymous is true once an answer did not echo the id of its attempt.
	anonymous atomic.Bool
	// oneRequest uses each connection for one request only.
	oneRequest *http.Transport
}

// upstream returns the connections to b.
func (s *Sender) upstream(b snipefront.BackendServer) *upstream {
	if u, ok := s.upstreams.Load(b.Address); ok {
		return u.(*upstream)
	}
	u, _ := s.upstreams.LoadOrStore(b.Address, &upstream{Conns: conns.Conns{New: s.newTransport}, oneRequest: s.newTransport(true)})
	return u.(*upstream)
}

// transportFor returns the transport for r, where shared is that of the current connections.
// Unless all answers echo the id of their attempt, a refusal on a kept connection may be a
// copy of an earlier one. A request that must not be repeated then gets a connection of its own.
func (u *upstream) transportFor(r *snipefront.Request, shared *http.Transport) *http.Transport {
	if !r.Idempotent && u.anonymous.Load() {
		return u.oneRequest
	}
	return shared
}

// newTransport returns a transport for one backend server. If oneRequest is true, it uses
// each connection for one request only.
func (s *Sender) newTransport(oneRequest bool) *http.Transport {
	dialTimeout := s.DialTimeout
	if dialTimeout == 0 {
		dialTimeout = defaultDialTimeout
	}
	return &http.Transport{
		DisableKeepAlives:      oneRequest,
		DialContext:            writes.Dialer(dialTimeout),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		WriteBufferSize:        bufferBytes,
		ReadBufferSize:         bufferBytes,
	}
}

// overdue returns the time after which an answer to r is overdue.
func (s *Sender) overdue(u *upstream, r *snipefront.Request) time.Duration {
	floor := s.OverdueFloor
	if floor == 0 {
		floor = defaultOverdueFloor
	}
	d := u.Overdue(floor)
	if r.Idempotent {
		return d
	}
	return max(d, time.Until(r.Deadline)/remainingDivisor)
}

// guard starts the check for a half-open connection. If the answer is overdue and a
// new connection works, it calls cancel with conns.ErrHalfOpen. While answers wait for
// memory, the answer may be one of them, so nothing is checked.
func (s *Sender) guard(ctx context.Context, cancel context.CancelCauseFunc, c *call) conns.Guard {
	if !c.guarded {
		return conns.Guard{}
	}
	check := func() error {
		if s.Memory.Scarce() || !s.Check(ctx, c.server, c.service) {
			return nil
		}
		c.upstream.Retire(c.shared)
		return conns.ErrHalfOpen
	}
	return conns.Watch(s.overdue(c.upstream, c.request), check, cancel)
}

// Check reports whether b works over a new connection: whether it answers its probe
// path or, if it has none or the measuring budget is spent, accepts a connection.
func (s *Sender) Check(ctx context.Context, b snipefront.BackendServer, service snipefront.Service) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if service.ProbePath != "" && s.MayProbe != nil && s.MayProbe() {
		return s.Probe(ctx, b, service.ProbePath)
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", b.Address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// Probe reports whether b answers path over a new connection with a status below
// 500. The caller spends the measuring budget.
func (s *Sender) Probe(ctx context.Context, b snipefront.BackendServer, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return conns.Probe(ctx, "http://"+b.Address+path, func(status int, h http.Header) { s.hear(b, status, h) })
}
