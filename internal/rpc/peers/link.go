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
	idleTimeout = 30 * time.Second
	idlePerHost = 128
	// headerBytes bounds the header of an answer.
	headerBytes = 32 << 10
	// checkTimeout bounds asking over a new connection.
	checkTimeout = 250 * time.Millisecond
	// checkGrace is the time that an answer may take from the owner, which has
	// ended the request, to here.
	checkGrace = 50 * time.Millisecond
)

var (
	errTooBig      = errors.New("message over the size limit")
	errCrossed     = errors.New("answer to another call")
	errNoLength    = errors.New("answer without a length cannot be known to be whole")
	errUnreachable = errors.New("no answer, and a new connection does not work either")
)

// link is the connections to one address for one kind of call, so that neither
// a fault nor a flood of the others touches them.
type link struct {
	conns    conns.Conns
	maxBytes int64
	peer     wire.Peer
	control  wire.Control
	// fresh makes each call over a new connection.
	fresh wire.Peer
	// header is that of every call. It is never changed.
	header http.Header
	// used is the instant of the last call, in nanoseconds of Unix time.
	used atomic.Int64
	// checking is held while a check is going on.
	checking sync.Mutex
	// lost is true where the last check found the address unreachable.
	lost atomic.Bool
}

func newLink(address string, maxBytes int64, dial writes.Dial) *link {
	newTransport := func(single bool) *http.Transport { return transport(single, dial) }
	l := &link{
		conns:    conns.Conns{New: newTransport},
		maxBytes: maxBytes,
		header:   http.Header{"Content-Type": {"application/protobuf"}, "User-Agent": nil},
	}
	url := "http://" + address
	l.peer = wire.NewPeerProtobufClient(url, l)
	l.control = wire.NewControlProtobufClient(url, l)
	l.fresh = wire.NewPeerProtobufClient(url, &http.Client{Transport: newTransport(true)})
	return l
}

func transport(single bool, dial writes.Dial) *http.Transport {
	return &http.Transport{
		DisableKeepAlives:      single,
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerBytes,
	}
}

// call is one call in the making.
type call struct {
	// id is zero where an overdue answer is not looked into.
	id uint64
	// floor is the time under which no answer is overdue.
	floor time.Duration
	// idempotent is true where the call ends when the owner is lost.
	idempotent bool

	probe writes.Tracker
	// transport is nil where nothing was sent.
	transport *http.Transport
	// err is set where no whole answer arrived.
	err error
}

type callKey struct{}

// with returns the context for the call.
func (k *call) with(ctx context.Context) context.Context {
	return context.WithValue(k.probe.With(ctx), callKey{}, k)
}

// do makes one call with f.
func (l *link) do(ctx context.Context, f func(ctx context.Context) error) error {
	var k call
	err := f(k.with(ctx))
	l.end(ctx, &k)
	return err
}

// try makes the call k with f, and looks into it when its answer is overdue. It
// returns why the call was ended early, if it was.
func (l *link) try(ctx context.Context, k *call, f func(ctx context.Context) error) (cause, err error) {
	own, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	begun := time.Now()
	g := l.guard(own, cancel, k)
	err = f(k.with(own))
	cause = context.Cause(own)
	cancel(nil)
	g.End()
	l.end(ctx, k)
	if err == nil {
		l.conns.Learn(time.Since(begun))
	}
	return cause, err
}

// guard looks into k when its answer is overdue.
func (l *link) guard(ctx context.Context, cancel context.CancelCauseFunc, k *call) conns.Guard {
	if k.id == 0 {
		return conns.Guard{}
	}
	return conns.Watch(l.conns.Overdue(k.floor), func() error { return l.check(ctx, k) }, cancel)
}

// end retires the connections where k found one that does not work. That the
// caller gave up says nothing of them.
func (l *link) end(ctx context.Context, k *call) {
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
	resp.Body = &body{ReadCloser: resp.Body, call: k}
	return resp, nil
}

func (l *link) roundTrip(k *call, req *http.Request) (*http.Response, error) {
	if req.ContentLength > l.maxBytes {
		return nil, errTooBig
	}
	req.Header = l.header
	k.transport = l.conns.Transport()
	resp, err := k.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	switch {
	case k.probe.Crossed():
		err = errCrossed
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

// body notes that an answer was cut short.
type body struct {
	io.ReadCloser
	call *call
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.call.err = err
	}
	return n, err
}

// finding is what a check of a call over a new connection came to.
type finding uint8

const (
	// running means that the owner runs the request.
	running finding = iota
	// absent means that the owner has ended the request or never seen it.
	absent
	// unreachable means that the new connection does not work.
	unreachable
)

// check looks into a call that is overdue until its context ends. It returns
// the error with which the call ends.
func (l *link) check(ctx context.Context, k *call) error {
	for ctx.Err() == nil {
		switch l.find(ctx, k.id) {
		case absent:
			if timer.Sleep(ctx, checkGrace) {
				return conns.ErrSilent
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

// find asks the owner for a call over a new connection. One check goes on at a
// time, so that a slow owner is not asked by all that wait for it; the others go
// by what the last one found of the address.
func (l *link) find(ctx context.Context, id uint64) finding {
	if !l.checking.TryLock() {
		if l.lost.Load() {
			return unreachable
		}
		return running
	}
	defer l.checking.Unlock()
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	c, err := l.fresh.Check(ctx, &wire.CheckRequest{Call: id})
	l.lost.Store(err != nil && !errors.Is(context.Cause(ctx), context.Canceled))
	switch {
	case err != nil:
		return unreachable
	case c.Running:
		return running
	default:
		return absent
	}
}
