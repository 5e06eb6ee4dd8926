// Package conns holds the connections to one address and replaces them when
// they turn out to be silent.
//
// An open connection may be silent for good while new ones work. Where an
// answer is overdue, a guard has a new connection tried. Where that shows the
// connection in use to be silent, the request ends, and no connection opened
// until then is used again.
package conns

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// usualWeight is the inverse weight of one answer in the usual time.
	usualWeight = 8
	// overdueFactor is how many times the usual time makes an answer overdue.
	overdueFactor = 10
	// checkBytes bounds what is read of the answer to a check.
	checkBytes = 64 << 10
)

// ErrSilent is the cause of the end of a request on a silent connection.
var ErrSilent = errors.New("connection is silent while a new one works")

// Conns is the connections to one address. Set the exported field before use.
type Conns struct {
	// New returns a transport without connections. Where single is true, each
	// connection carries one request.
	New func(single bool) *http.Transport

	// transport holds the connections in use. It is replaced whole.
	transport atomic.Pointer[http.Transport]
	// usual is the moving average of the time to answer, in nanoseconds. Zero is
	// unknown.
	usual atomic.Int64
	// single is true once more answers arrived than there were requests.
	single atomic.Bool
	// distrusting is held while single changes.
	distrusting sync.Mutex
}

// Transport returns the connections in use.
func (c *Conns) Transport() *http.Transport {
	if t := c.transport.Load(); t != nil {
		return t
	}
	c.transport.CompareAndSwap(nil, c.New(c.single.Load()))
	return c.transport.Load()
}

// Retire replaces the connections of t. Those that carry a request are closed
// when it ends.
func (c *Conns) Retire(t *http.Transport) {
	if c.transport.CompareAndSwap(t, c.New(c.single.Load())) {
		t.CloseIdleConnections()
	}
}

// Distrust lets each connection carry one request from now on, since an answer
// that is left over cannot always be told from the next one.
func (c *Conns) Distrust() {
	c.distrusting.Lock()
	defer c.distrusting.Unlock()
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

// Learn takes in the time of an answer, or of giving one up.
func (c *Conns) Learn(taken time.Duration) {
	usual := c.usual.Load()
	if usual == 0 {
		c.usual.Store(int64(taken))
		return
	}
	c.usual.Store(usual + (int64(taken)-usual)/usualWeight)
}

// Overdue returns the time after which an answer is overdue, at least floor.
func (c *Conns) Overdue(floor time.Duration) time.Duration {
	return max(floor, overdueFactor*time.Duration(c.usual.Load()))
}

// Guard watches over one request. Its zero value does nothing.
type Guard struct {
	timer *time.Timer
	ended chan struct{}
}

// Watch calls check after the given time, and ends the request through cancel
// with the error that check returns, if any.
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

// End waits for a check that is going on. The context of the request is ended
// before.
func (g Guard) End() {
	if g.timer != nil && !g.timer.Stop() {
		<-g.ended
	}
}

// Answers returns whether the URL is answered over a connection of its own.
func Answers(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	t := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: checkBytes}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.CopyN(io.Discard, resp.Body, checkBytes)
	return resp.StatusCode < http.StatusInternalServerError
}
