package sender

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/rpc/watch"
)

const (
	dialTimeout  = 250 * time.Millisecond
	idleTimeout  = 30 * time.Second
	idlePerHost  = 64
	bufferLength = 16 << 10

	// usualWeight is the inverse weight of one answer in the usual time.
	usualWeight = 8
	// overdueFactor is how many times the usual time makes an answer overdue.
	overdueFactor       = 10
	defaultOverdueFloor = 100 * time.Millisecond
	// patience is the inverse share of its time left that a request waits which
	// must not run twice, since it is lost to its caller where the connection was
	// only slow.
	patience = 2
	// checkTimeout bounds trying a new connection.
	checkTimeout = 250 * time.Millisecond
)

// upstream is what the sender knows of one address.
type upstream struct {
	// transport holds the connections in use. It is replaced whole when they
	// turn out to be silent.
	transport atomic.Pointer[http.Transport]
	// usual is the moving average of the time to answer, in nanoseconds. Zero is
	// unknown.
	usual atomic.Int64
	// single is true once the backend server has sent more answers than there
	// were requests. Each connection then carries one request.
	single atomic.Bool
	// distrusting is held while single changes.
	distrusting sync.Mutex
}

func (s *Sender) upstream(b snipefront.BackendServer) *upstream {
	if u, ok := s.upstreams.Load(b.Address); ok {
		return u.(*upstream)
	}
	u := &upstream{}
	u.transport.Store(newTransport(false))
	old, _ := s.upstreams.LoadOrStore(b.Address, u)
	return old.(*upstream)
}

func newTransport(single bool) *http.Transport {
	return &http.Transport{
		DisableKeepAlives:      single,
		DialContext:            watch.Dialer(dialTimeout),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerLimit,
		WriteBufferSize:        bufferLength,
		ReadBufferSize:         bufferLength,
	}
}

// learn takes in the time of an answer, or of giving one up.
func (u *upstream) learn(taken time.Duration) {
	usual := u.usual.Load()
	if usual == 0 {
		u.usual.Store(int64(taken))
		return
	}
	u.usual.Store(usual + (int64(taken)-usual)/usualWeight)
}

// overdue returns the time after which an answer to r is overdue.
func (s *Sender) overdue(u *upstream, r *snipefront.Request) time.Duration {
	floor := s.OverdueFloor
	if floor == 0 {
		floor = defaultOverdueFloor
	}
	d := max(floor, overdueFactor*time.Duration(u.usual.Load()))
	if r.Idempotent {
		return d
	}
	return max(d, time.Until(r.Deadline)/patience)
}

// retire replaces the connections of t. Those that carry a request are closed
// when it ends.
func (u *upstream) retire(t *http.Transport) {
	if u.transport.CompareAndSwap(t, newTransport(u.single.Load())) {
		t.CloseIdleConnections()
	}
}

// distrust lets each connection carry one request from now on, since an answer
// that is left over cannot always be told from the next one.
func (u *upstream) distrust() {
	u.distrusting.Lock()
	defer u.distrusting.Unlock()
	if u.single.Swap(true) {
		return
	}
	u.transport.Swap(newTransport(true)).CloseIdleConnections()
}

// guard watches over one request. Its zero value does nothing.
type guard struct {
	timer *time.Timer
	ended chan struct{}
}

// guard ends the request through cancel where its answer is overdue and a new
// connection works.
func (s *Sender) guard(ctx context.Context, cancel context.CancelCauseFunc, c *call) guard {
	if !c.guarded {
		return guard{}
	}
	ended := make(chan struct{})
	f := func() {
		defer close(ended)
		if s.Check(ctx, c.server, c.service) {
			c.upstream.retire(c.transport)
			cancel(errSilent)
		}
	}
	return guard{timer: time.AfterFunc(s.overdue(c.upstream, c.request), f), ended: ended}
}

// end waits for a check that is going on. The context of the request is ended
// before.
func (g guard) end() {
	if g.timer != nil && !g.timer.Stop() {
		<-g.ended
	}
}

// Check returns whether b works over a new connection: whether it answers its
// probe path, or accepts a connection where it has none or no probe is left.
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

// Probe returns whether b answers path over a connection of its own. The caller
// has taken the probe out of the budget.
func (s *Sender) Probe(ctx context.Context, b snipefront.BackendServer, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return probe(ctx, "http://"+b.Address+path)
}

// probe returns whether address answers over a connection of its own.
func probe(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return false
	}
	t := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: headerLimit}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.CopyN(io.Discard, resp.Body, headerLimit)
	return resp.StatusCode < http.StatusInternalServerError
}
