package peers

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/rpc/conns"
	"github.com/snipefront/snipefront/internal/rpc/wire"
	"github.com/snipefront/snipefront/internal/rpc/writes"
)

const (
	idleTimeout    = 30 * time.Second
	maxIdlePerHost = 128
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 32 << 10
	// checkTimeout bounds one check over a new connection.
	checkTimeout = 250 * time.Millisecond
	// checkGrace is the time allowed for an answer to arrive after a check found
	// that the owner no longer runs the call.
	checkGrace = 50 * time.Millisecond
)

var (
	errTooBig           = errors.New("message over the size limit")
	errMismatchedAnswer = errors.New("answer to another call")
	errNoLength         = errors.New("answer without a length cannot be known to be whole")
	errUnreachable      = errors.New("no answer, and a new connection does not work either")
)

// link holds the connections to one address for the calls of one service, the peer or
// the control service, so that faults and overload of the other do not affect them.
type link struct {
	conns    conns.Conns
	maxBytes int64
	peer     wire.Peer
	control  wire.Control
	// newConnPeer makes each call over a new connection.
	newConnPeer wire.Peer
	// header is the HTTP header of every call. It is never changed.
	header http.Header
	// gzipHeader is the HTTP header of every call that accepts a compressed answer.
	gzipHeader http.Header
	// lastUsed is the time of the last call.
	lastUsed atomic.Pointer[time.Time]
	// checkMu is held during a check.
	checkMu sync.Mutex
	// unreachable is true if the last check got no answer from the address.
	unreachable atomic.Bool
}

func newLink(address string, maxBytes int64, dial writes.Dial) *link {
	newTransport := func(single bool) *http.Transport { return transport(single, dial) }
	l := &link{
		conns:    conns.Conns{New: newTransport},
		maxBytes: maxBytes,
		header:   http.Header{"Content-Type": {"application/protobuf"}, "User-Agent": nil},
	}
	l.gzipHeader = l.header.Clone()
	l.gzipHeader.Set(acceptHeader, acceptGzip)
	l.touch(time.Now())
	url := "http://" + address
	l.peer = wire.NewPeerProtobufClient(url, l)
	l.control = wire.NewControlProtobufClient(url, l)
	l.newConnPeer = wire.NewPeerProtobufClient(url, &http.Client{Transport: newTransport(true)})
	return l
}

// touch records a call at the instant now.
func (l *link) touch(now time.Time) { l.lastUsed.Store(&now) }

// transport returns a transport whose connections are opened by dial. If single is true,
// each of them carries only one request.
func transport(single bool, dial writes.Dial) *http.Transport {
	return &http.Transport{
		DisableKeepAlives:      single,
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// call is the state of one call.
type call struct {
	// id is the number of the call. If it is zero, an overdue call is not checked.
	id uint64
	// floor is the minimum time after which the answer is overdue.
	floor time.Duration
	// idempotent is true if the call ends when a check finds the owner unreachable.
	idempotent bool
	// acceptsGzip is true if the answer may hold compressed changes.
	acceptsGzip bool

	tracker writes.Tracker
	// transport is nil if nothing was sent.
	transport *http.Transport
	// err is set if no complete answer arrived.
	err error
}

type callKey struct{}

// with returns a context that carries k to Do.
func (k *call) with(ctx context.Context) context.Context {
	return context.WithValue(k.tracker.With(ctx), callKey{}, k)
}

// do makes one call with f, without checking it when its answer is overdue.
func (l *link) do(ctx context.Context, f func(ctx context.Context) error) error {
	var k call
	return l.doCall(ctx, &k, f)
}

// doCall makes the call k with f, without checking it when its answer is overdue.
func (l *link) doCall(ctx context.Context, k *call, f func(ctx context.Context) error) error {
	err := f(k.with(ctx))
	l.retireIfFailed(ctx, k)
	return err
}

// doChecked makes the call k with f and checks it when its answer is overdue. If the
// call was canceled, cause says why.
func (l *link) doChecked(ctx context.Context, k *call, f func(ctx context.Context) error) (cause, err error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := time.Now()
	g := l.guard(callCtx, cancel, k)
	err = f(k.with(callCtx))
	cause = context.Cause(callCtx)
	cancel(nil)
	g.End()
	l.retireIfFailed(ctx, k)
	if err == nil {
		l.conns.Observe(time.Since(start))
	}
	return cause, err
}

// guard returns a guard that checks k when its answer is overdue.
func (l *link) guard(ctx context.Context, cancel context.CancelCauseFunc, k *call) conns.Guard {
	if k.id == 0 {
		return conns.Guard{}
	}
	return conns.Watch(l.conns.Overdue(k.floor), func() error { return l.check(ctx, k) }, cancel)
}

// retireIfFailed retires the current connections if k failed on one of them. A call
// that its caller canceled does not count as failed.
func (l *link) retireIfFailed(ctx context.Context, k *call) {
	if k.err != nil && k.transport != nil && !errors.Is(ctx.Err(), context.Canceled) {
		l.conns.Retire(k.transport)
	}
}

// Do implements wire.HTTPClient for the call in the context of req.
func (l *link) Do(req *http.Request) (*http.Response, error) {
	k, ok := req.Context().Value(callKey{}).(*call)
	if !ok {
		return nil, errors.New("context holds no call")
	}
	resp, err := l.roundTrip(k, req)
	if err != nil {
		k.err = err
		return nil, err
	}
	resp.Body = &answerBody{ReadCloser: resp.Body, call: k}
	return resp, nil
}

func (l *link) roundTrip(k *call, req *http.Request) (*http.Response, error) {
	if req.ContentLength > l.maxBytes {
		return nil, errTooBig
	}
	req.Header = l.header
	if k.acceptsGzip {
		req.Header = l.gzipHeader
	}
	k.transport = l.conns.Transport()
	resp, err := k.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	switch {
	case k.tracker.Unsolicited():
		err = errMismatchedAnswer
	case resp.ContentLength < 0:
		err = errNoLength
	case resp.ContentLength > l.maxBytes:
		err = errTooBig
	default:
		return resp, nil
	}
	resp.Body.Close()
	return nil, err
}

// answerBody is the body of an answer. It records in call that reading it failed.
type answerBody struct {
	io.ReadCloser
	call *call
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.call.err = err
	}
	return n, err
}

// checkResult is the result of a check over a new connection.
type checkResult uint8

const (
	// running means that the owner runs the call.
	running checkResult = iota
	// notRunning means that the owner has ended the call or never received it.
	notRunning
	// unreachable means that the check itself failed.
	unreachable
)

// check repeats the check of an overdue call until ctx ends. It returns the error
// with which the call is canceled, or nil once ctx has ended.
func (l *link) check(ctx context.Context, k *call) error {
	for ctx.Err() == nil {
		switch l.checkOnce(ctx, k.id) {
		case notRunning:
			if timer.Sleep(ctx, checkGrace) {
				return conns.ErrHalfOpen
			}
		case unreachable:
			if k.idempotent {
				return errUnreachable
			}
		}
		timer.Sleep(ctx, l.conns.Overdue(k.floor))
	}
	return nil
}

// checkOnce asks the owner over a new connection whether it runs the call id. Only one
// check is made at a time, so that a slow owner does not receive one from every caller
// that waits for it. Other calls rely on whether the last check reached the address.
func (l *link) checkOnce(ctx context.Context, id uint64) checkResult {
	if !l.checkMu.TryLock() {
		if l.unreachable.Load() {
			return unreachable
		}
		return running
	}
	defer l.checkMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	c, err := l.newConnPeer.Check(ctx, &wire.CheckRequest{Call: id})
	l.unreachable.Store(err != nil && !errors.Is(context.Cause(ctx), context.Canceled))
	switch {
	case err != nil:
		return unreachable
	case c.Running:
		return running
	default:
		return notRunning
	}
}
