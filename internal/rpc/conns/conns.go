// Package conns holds the connections to one address and replaces them when they
// turn out to be half-open.
//
// A connection is half-open if it stays open but passes no data any more, while new
// connections work. When an answer is overdue, a Guard calls a check that tries a new
// connection. If that one works, the Guard cancels the request, and the caller retires
// the connections opened until then, so that no further request uses them.
package conns

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/rpc/heads"
	"github.com/snipefront/snipefront/internal/rpc/resets"
)

const (
	// averageDivisor is the inverse of the weight of one answer in the average latency.
	averageDivisor = 8
	// overdueFactor is the multiple of the average latency after which an answer is
	// overdue.
	overdueFactor = 10
	// maxProbeBytes is the maximum length of the header, and of the part of the body
	// that is read, of the answer to a probe.
	maxProbeBytes = 64 << 10
)

// ErrHalfOpen is the cause for which a request on a half-open connection is canceled.
var ErrHalfOpen = errors.New("connection is silent while a new one works")

// Conns holds the connections to one address. Set the exported field before use.
type Conns struct {
	// New returns a transport without connections. If single is true, each of its
	// connections carries only one request.
	New func(single bool) *http.Transport

	// transport holds the current connections. They are replaced together.
	transport atomic.Pointer[http.Transport]
	// averageLatency is the moving average of the latency of answers, in nanoseconds.
	// Zero is unknown.
	averageLatency atomic.Int64
	// single is true once DisableReuse was called.
	single atomic.Bool
	// singleMu serializes changes of single.
	singleMu sync.Mutex
}

// Transport returns the transport of the current connections.
func (c *Conns) Transport() *http.Transport {
	if t := c.transport.Load(); t != nil {
		return t
	}
	c.transport.CompareAndSwap(nil, c.New(c.single.Load()))
	return c.transport.Load()
}

// Retire replaces t with a transport without connections, unless t has been replaced
// already. A connection of t that carries a request is closed when the request ends.
func (c *Conns) Retire(t *http.Transport) {
	if c.transport.CompareAndSwap(t, c.New(c.single.Load())) {
		t.CloseIdleConnections()
	}
}

// DisableReuse makes each connection carry only one request from now on. It is called
// after an answer to another request arrived, since on a reused connection such an
// answer cannot always be told from the expected one.
func (c *Conns) DisableReuse() {
	c.singleMu.Lock()
	defer c.singleMu.Unlock()
	if c.single.Swap(true) {
		return
	}
	if t := c.transport.Swap(c.New(true)); t != nil {
		t.CloseIdleConnections()
	}
}

// CloseIdle closes the connections that carry no request.
func (c *Conns) CloseIdle() {
	c.Transport().CloseIdleConnections()
}

// Observe adds the latency of an answer, or the time after which waiting for one ended,
// to the average latency.
func (c *Conns) Observe(latency time.Duration) {
	average := c.averageLatency.Load()
	if average == 0 {
		c.averageLatency.Store(int64(latency))
		return
	}
	c.averageLatency.Store(average + (int64(latency)-average)/averageDivisor)
}

// Overdue returns the time after which an answer is overdue: a multiple of the average
// latency, at least floor.
func (c *Conns) Overdue(floor time.Duration) time.Duration {
	return max(floor, overdueFactor*time.Duration(c.averageLatency.Load()))
}

// Guard runs the check of one request when its answer is overdue. Its zero value does
// nothing.
type Guard struct {
	timer *time.Timer
	ended chan struct{}
}

// Watch calls check after the given time. If check returns an error, Watch cancels the
// request with that error as the cause.
func Watch(after time.Duration, check func() error, cancel context.CancelCauseFunc) Guard {
	ended := make(chan struct{})
	f := func() {
		defer close(ended)
		if err := check(); err != nil {
			cancel(err)
		}
	}
	return Guard{timer: time.AfterFunc(after, f), ended: ended}
}

// End stops the guard and waits for a running check. The caller cancels the context
// of the request first.
func (g Guard) End() {
	if g.timer != nil && !g.timer.Stop() {
		<-g.ended
	}
}

// Probe reports whether a GET of the URL over a new connection is answered completely,
// with a body of at most maxProbeBytes and a status below 500. It calls heard with the head
// of the answer, unless heard is nil.
func Probe(ctx context.Context, url string, heard func(status int, h http.Header)) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	t := heads.Transport{Base: &http.Transport{DialContext: resets.Dialer(0), DisableKeepAlives: true, MaxResponseHeaderBytes: maxProbeBytes}}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if heard != nil {
		heard(resp.StatusCode, resp.Header)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeBytes+1))
	return err == nil && n <= maxProbeBytes && resp.StatusCode < http.StatusInternalServerError
}
