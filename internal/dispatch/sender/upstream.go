package sender

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/rpc/conns"
	"github.com/snipefront/snipefront/internal/rpc/writes"
)

const (
	dialTimeout    = 250 * time.Millisecond
	idleTimeout    = 30 * time.Second
	maxIdlePerHost = 64
	bufferBytes    = 16 << 10

	defaultOverdueFloor = 100 * time.Millisecond
	// remainingDivisor delays when an answer to a request that is not idempotent is
	// overdue: not before 1/remainingDivisor of the time left until the deadline has
	// passed. Such a request is not retried, so its caller would lose the answer if the
	// connection was only slow.
	remainingDivisor = 2
	// checkTimeout bounds a check or a probe over a new connection.
	checkTimeout = 250 * time.Millisecond
)

// upstream returns the connections to b.
func (s *Sender) upstream(b snipefront.BackendServer) *conns.Conns {
	if u, ok := s.upstreams.Load(b.Address); ok {
		return u.(*conns.Conns)
	}
	u, _ := s.upstreams.LoadOrStore(b.Address, &conns.Conns{New: newTransport})
	return u.(*conns.Conns)
}

// newTransport returns a transport for one backend server. If oneRequest is true, it uses
// each connection for one request only.
func newTransport(oneRequest bool) *http.Transport {
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
func (s *Sender) overdue(u *conns.Conns, r *snipefront.Request) time.Duration {
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
		c.upstream.Retire(c.transport)
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
