// Package sender sends one attempt of a request to a backend server and tells
// whether it may have run.
//
// A connection carries one request at a time. The sender counts a request as
// not run only where no connection was established, where the connection was
// sealed before the first byte was written, or where the answer's status is one
// by which the service's backend servers refuse. The standard transport sends
// some requests again by itself when a reused connection fails; every request
// therefore carries a body that cannot be rewound, which forbids that.
//
// An open connection may be silent for good while new ones work. An answer that
// is overdue therefore has a new connection tried. Where that works, the silent
// request ends, and no connection opened until then is used again.
package sender

import (
	"bytes"
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/rpc/conns"
	"github.com/snipefront/snipefront/internal/rpc/writes"
)

const (
	// TimeoutHeader carries the time left for an answer, in milliseconds.
	TimeoutHeader = "X-Request-Timeout"
	// AttemptHeader carries the id of an attempt. A backend server that echoes it in
	// its answers lets one that belongs to another attempt be told.
	AttemptHeader = "X-Request-Attempt"
)

const (
	headerLimit = 64 << 10
	// maxTries bounds how often another connection is taken because the one
	// before was idle for too long.
	maxTries         = 2
	defaultProvenFor = time.Second
)

// Sender sends attempts. Set the exported fields before use.
type Sender struct {
	// MaxAnswerBytes bounds the body of an answer that is held.
	MaxAnswerBytes int64
	// MayProbe takes one probe out of the measuring budget, or returns false
	// where none is left. Nil allows none.
	MayProbe func() bool
	// ProvenFor is the time since its last answer for which a connection counts
	// as working. One that was idle for longer carries no request that must not
	// run twice. Zero means a second.
	ProvenFor time.Duration
	// OverdueFloor is the time under which no answer is overdue. Zero means a
	// tenth of a second.
	OverdueFloor time.Duration

	upstreams sync.Map
}

// Attempt is what became of one attempt.
type Attempt struct {
	// Response is set where Verdict is Ran.
	Response *snipefront.Response
	Verdict  snipefront.Verdict
	// Reason is set where there is no response.
	Reason snipefront.Reason
	// Err is the cause where there is no response.
	Err error
	// Silent is true where the connection was silent while a new one worked.
	Silent bool
}

// Send sends r to b and waits for the whole answer. The refusal statuses of
// service mean that b refused before running.
func (s *Sender) Send(ctx context.Context, b snipefront.BackendServer, r *snipefront.Request, service snipefront.Service) Attempt {
	return s.send(ctx, &call{server: b, request: r, service: service, proven: !r.Idempotent, guarded: true})
}

// SendProven is Send for a request that was silent before: it goes only on a
// connection that works, and its answer may take as long as it does.
func (s *Sender) SendProven(ctx context.Context, b snipefront.BackendServer, r *snipefront.Request, service snipefront.Service) Attempt {
	return s.send(ctx, &call{server: b, request: r, service: service, proven: true})
}

// call is one attempt in the making.
type call struct {
	server  snipefront.BackendServer
	request *snipefront.Request
	service snipefront.Service
	// proven is true where only a connection that works will do.
	proven bool
	// guarded is true where an overdue answer is looked into.
	guarded bool

	upstream  *conns.Conns
	transport *http.Transport
}

func (s *Sender) send(ctx context.Context, c *call) Attempt {
	c.upstream = s.upstream(c.server)
	for n := 1; ; n++ {
		c.transport = c.upstream.Transport()
		a, idle := s.try(ctx, c)
		if !idle || n == maxTries {
			return a
		}
		c.transport.CloseIdleConnections()
	}
}

// try sends the request once. It returns true where nothing was written because
// the connection was idle for too long.
func (s *Sender) try(ctx context.Context, c *call) (Attempt, bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	probe := writes.Tracker{MaxIdle: s.maxIdle(c)}
	req, err := build(probe.With(ctx), c.server, c.request, newAttemptID())
	if err != nil {
		return Attempt{Verdict: snipefront.NotRun, Reason: snipefront.ReasonBadRequest, Err: err}, false
	}
	begun := time.Now()
	g := s.guard(ctx, cancel, c)
	a := s.roundTrip(&probe, c, req)
	cancel(nil)
	g.End()
	if a.Response == nil && errors.Is(context.Cause(ctx), conns.ErrSilent) {
		a.Silent = true
		a.Err = conns.ErrSilent
		if a.Verdict != snipefront.NotRun {
			a.Reason = snipefront.ReasonAttemptLate
		}
	}
	if a.Response != nil || a.Silent {
		c.upstream.Learn(time.Since(begun))
	}
	return a, probe.Idle()
}

// roundTrip sends req and reads the whole answer.
func (s *Sender) roundTrip(p *writes.Tracker, c *call, req *http.Request) Attempt {
	resp, err := c.transport.RoundTrip(req)
	if err == nil {
		defer resp.Body.Close()
	}
	if p.Crossed() || err == nil && isOther(req, resp) {
		c.upstream.Distrust()
		err = errCrossed
	}
	if err != nil {
		return failed(p, err)
	}
	return s.read(c.server, resp, c.service.RefusalStatuses)
}

// isOther returns whether resp says that it answers another attempt than req.
func isOther(req *http.Request, resp *http.Response) bool {
	id := resp.Header.Get(AttemptHeader)
	resp.Header.Del(AttemptHeader)
	return id != "" && id != req.Header.Get(AttemptHeader)
}

// Forget closes the idle connections to b.
func (s *Sender) Forget(b snipefront.BackendServer) {
	if u, ok := s.upstreams.LoadAndDelete(b.Address); ok {
		u.(*conns.Conns).CloseIdle()
	}
}

// failed returns the attempt that p watched.
func failed(p *writes.Tracker, err error) Attempt {
	if !p.Wrote() {
		return Attempt{Verdict: snipefront.NotRun, Reason: unsentReason(err), Err: err}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Attempt{Reason: snipefront.ReasonAttemptLate, Err: err}
	}
	return Attempt{Reason: snipefront.ReasonBrokenAnswer, Err: err}
}

func unsentReason(err error) snipefront.Reason {
	if errors.Is(err, errCrossed) {
		return snipefront.ReasonBrokenAnswer
	}
	return snipefront.ReasonConnect
}

// read reads the whole answer.
func (s *Sender) read(b snipefront.BackendServer, resp *http.Response, refusals []int) Attempt {
	for _, st := range refusals {
		if resp.StatusCode == st {
			_, _ = io.CopyN(io.Discard, resp.Body, headerLimit)
			return Attempt{
				Verdict: snipefront.NotRun,
				Reason:  snipefront.ReasonShed,
				Err:     errors.Errorf("backend server %s refused with status %d", b.Name, st),
			}
		}
	}
	body, err := s.readBody(resp)
	if err != nil {
		return Attempt{Reason: reasonOf(err), Err: err}
	}
	return Attempt{
		Verdict:  snipefront.Ran,
		Response: &snipefront.Response{Status: resp.StatusCode, Header: resp.Header, Body: body, BackendServer: b.Name},
	}
}

var (
	errTooBig   = errors.New("answer over the size limit")
	errNoLength = errors.New("answer without a length cannot be known to be whole")
	errSwitch   = errors.New("answer switches the protocol")
	errCrossed  = errors.New("answer to another request")
)

func reasonOf(err error) snipefront.Reason {
	switch {
	case errors.Is(err, errTooBig):
		return snipefront.ReasonAnswerTooBig
	case errors.Is(err, context.DeadlineExceeded):
		return snipefront.ReasonAttemptLate
	default:
		return snipefront.ReasonBrokenAnswer
	}
}

func (s *Sender) readBody(resp *http.Response) ([]byte, error) {
	if resp.StatusCode < http.StatusOK {
		return nil, errSwitch
	}
	if resp.Request.Method == http.MethodHead {
		return nil, nil
	}
	if resp.ContentLength > s.MaxAnswerBytes {
		return nil, errTooBig
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	if len(resp.TransferEncoding) == 0 {
		return nil, errNoLength
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.MaxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > s.MaxAnswerBytes {
		return nil, errTooBig
	}
	return body, nil
}

// maxIdle returns how long the connection for c may have been idle.
func (s *Sender) maxIdle(c *call) time.Duration {
	switch {
	case !c.proven:
		return 0
	case s.ProvenFor == 0:
		return defaultProvenFor
	default:
		return s.ProvenFor
	}
}

// identity is the transfer encoding of a request without a body. It goes out
// without one and without a length.
var identity = []string{"identity"}

func build(ctx context.Context, b snipefront.BackendServer, r *snipefront.Request, id string) (*http.Request, error) {
	if !strings.HasPrefix(r.Target, "/") || strings.HasPrefix(r.Target, "//") {
		return nil, errors.Errorf("target %q is not a path", r.Target)
	}
	req := &http.Request{
		Method: r.Method,
		// An opaque URL is written as it is.
		URL:        &url.URL{Scheme: "http", Host: b.Address, Opaque: r.Target},
		Host:       b.Address,
		Header:     headerOf(r, id),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		// Without GetBody the body cannot be rewound. The transport knows that this
		// type does not block, and writes it along with the header.
		Body:          io.NopCloser(bytes.NewReader(r.Body)),
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) == 0 && lacksBody(r.Method) {
		// Otherwise the transport tries the body first in a goroutine of its own.
		req.TransferEncoding = identity
	}
	return req.WithContext(ctx), nil
}

// headerOf returns the header of r with the time left and the id of the attempt. It
// shares the values, which are never changed in place.
func headerOf(r *snipefront.Request, id string) http.Header {
	h := make(http.Header, len(r.Header)+2)
	maps.Copy(h, r.Header)
	h[AttemptHeader] = []string{id}
	h[TimeoutHeader] = []string{strconv.FormatInt(max(1, time.Until(r.Deadline).Milliseconds()), 10)}
	return h
}

// newAttemptID returns an id that no other attempt has.
func newAttemptID() string {
	return strconv.FormatUint(rand.Uint64(), 36)
}

// lacksBody returns whether a request with the method usually has no body. A
// backend server may ask others for a length.
func lacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}
