// Package sender sends one attempt of a request to a backend server and reports
// whether it may have run.
//
// A connection carries one request at a time. An attempt has the verdict NotRun only
// if no connection was established, if the connection was sealed before the first
// byte was written, or if the answer has one of the refusal statuses of the service. The
// refusal of a request that is not idempotent must echo the id of the attempt or be the
// first answer on its connection: another may be a copy of an earlier refusal. A refusal
// that breaks off is none.
// The standard transport retries some requests by itself when a reused connection
// fails. Every request therefore has a body that cannot be rewound, which prevents
// such a retry.
//
// An open connection may stop passing data for good while new ones work: it is
// half-open. When an answer is overdue, the sender therefore tries a new connection. If
// that works, the attempt ends, and no connection opened until then is used again.
package sender

import (
	"bytes"
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/notice"
	"github.com/snipefront/snipefront/internal/rpc/bound"
	"github.com/snipefront/snipefront/internal/rpc/conns"
	"github.com/snipefront/snipefront/internal/rpc/heads"
	"github.com/snipefront/snipefront/internal/rpc/writes"
)

const (
	// TimeoutHeader carries the time left for an answer, in milliseconds.
	TimeoutHeader = "X-Request-Timeout"
	// AttemptHeader carries the id of an attempt. If a backend server echoes it in its
	// answers, an answer to another attempt is detected.
	AttemptHeader = "X-Request-Attempt"
	// DrainingHeader is 1 in the answers of a backend server that accepts no new requests any
	// more.
	DrainingHeader = "X-Draining"
)

const (
	// maxHeaderBytes bounds the header of an answer, and how much of the body of a refusal
	// is read so that its connection can be reused.
	maxHeaderBytes = 64 << 10
	// maxTries is the maximum number of times that an attempt is started. It is
	// started again only if its connection was idle for too long.
	maxTries         = 2
	defaultProvenFor = time.Second
)

// Sender sends attempts. Set the exported fields before use.
type Sender struct {
	// MaxAnswerBytes is the maximum length of the body of an answer, in bytes.
	MaxAnswerBytes int64
	// Memory bounds the bodies of all answers that are held. Nil sets no bound.
	Memory *bound.Memory
	// MayProbe spends one probe of the measuring budget and reports whether one was
	// left. If it is nil, Check sends no probe and only opens a connection.
	MayProbe func() bool
	// ProvenFor is the time after its last answer for which an idle connection is
	// proven, that is, assumed to work. A request that is not idempotent is sent only
	// on a proven or a new connection. Zero means one second.
	ProvenFor time.Duration
	// DialTimeout bounds opening a connection. Zero means a quarter of a second.
	DialTimeout time.Duration
	// OverdueFloor is the minimum time after which an answer is overdue. Zero means
	// a tenth of a second.
	OverdueFloor time.Duration

	// Heard is called with the notice of an answer of b, if it has one, and with the error of
	// notice.Parse. It may be nil.
	Heard func(b snipefront.BackendServer, n notice.Notice, err error)

	upstreams sync.Map
}

// Attempt is the result of one attempt.
type Attempt struct {
	// Response is set if Verdict is Ran.
	Response *snipefront.Response
	Verdict  snipefront.Verdict
	// Reason is set if there is no response.
	Reason snipefront.Reason
	// Err is the cause if there is no response.
	Err error
	// Silent is true if the connection was half-open: the answer was overdue while a
	// new connection worked.
	Silent bool
}

// Send sends r to b and waits for the complete answer. A refusal status of service
// means that b refused r without running it.
func (s *Sender) Send(ctx context.Context, b snipefront.BackendServer, r *snipefront.Request, service snipefront.Service) Attempt {
	return s.send(ctx, &call{server: b, request: r, service: service, proven: !r.Idempotent, guarded: true})
}

// SendProven is Send for a request of which an earlier attempt ended on a half-open
// connection. It uses only a proven or a new connection, and waits for the answer until
// ctx ends, however late the answer is.
func (s *Sender) SendProven(ctx context.Context, b snipefront.BackendServer, r *snipefront.Request, service snipefront.Service) Attempt {
	return s.send(ctx, &call{server: b, request: r, service: service, proven: true})
}

// call holds the arguments and the connections of one attempt.
type call struct {
	server  snipefront.BackendServer
	request *snipefront.Request
	service snipefront.Service
	// proven is true if only a proven or a new connection may be used.
	proven bool
	// guarded is true if an overdue answer starts a check over a new connection, which
	// ends the attempt if it succeeds.
	guarded bool

	upstream *upstream
	// shared is the transport of the current connections of upstream.
	shared *http.Transport
	// transport is the one that sends the request.
	transport *http.Transport
}

func (s *Sender) send(ctx context.Context, c *call) Attempt {
	c.upstream = s.upstream(c.server)
	for n := 1; ; n++ {
		c.shared = c.upstream.Transport()
		c.transport = c.upstream.transportFor(c.request, c.shared)
		a, idle := s.try(ctx, c)
		if !idle || n == maxTries {
			return a
		}
		// A connection that is still being opened for another request would be handed to
		// the next try.
		c.upstream.Retire(c.shared)
	}
}

// try sends the request once. The bool is true if nothing was written because the
// connection had been idle for too long.
func (s *Sender) try(ctx context.Context, c *call) (Attempt, bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	tracker := writes.Tracker{MaxIdle: s.maxIdle(c)}
	req, err := newRequest(tracker.With(ctx), c.server, c.request, newAttemptID())
	if err != nil {
		return Attempt{Verdict: snipefront.NotRun, Reason: snipefront.ReasonBadRequest, Err: err}, false
	}
	start := time.Now()
	g := s.guard(ctx, cancel, c)
	a := s.roundTrip(ctx, &tracker, c, req)
	cancel(nil)
	g.End()
	if a.Response == nil && errors.Is(context.Cause(ctx), conns.ErrHalfOpen) {
		a.Silent = true
		a.Err = conns.ErrHalfOpen
		if a.Verdict != snipefront.NotRun {
			a.Reason = snipefront.ReasonAttemptLate
		}
	}
	if a.Response != nil || a.Silent {
		c.upstream.Observe(time.Since(start))
	}
	return a, tracker.IdleTooLong()
}

// roundTrip sends req and reads the complete answer.
func (s *Sender) roundTrip(ctx context.Context, t *writes.Tracker, c *call, req *http.Request) Attempt {
	resp, err := heads.Transport{Base: c.transport}.RoundTrip(req)
	if err == nil {
		defer resp.Body.Close()
		s.hear(c.server, resp.StatusCode, resp.Header)
	}
	if t.Unsolicited() || err == nil && isMismatched(req, resp) {
		c.upstream.DisableReuse()
		err = errMismatched
	}
	if err != nil {
		return failedAttempt(t, err)
	}
	echoes := takeEcho(resp)
	if !echoes {
		c.upstream.anonymous.Store(true)
	}
	if !slices.Contains(c.service.RefusalStatuses, resp.StatusCode) {
		return s.readAnswer(ctx, c.server, resp)
	}
	if !echoes && !t.Fresh() && !c.request.Idempotent {
		c.upstream.Retire(c.shared)
		return Attempt{Reason: snipefront.ReasonBrokenAnswer, Err: errUncertain}
	}
	return refusedAttempt(ctx, c.server, resp)
}

// hear passes the notice of an answer of b to Heard.
func (s *Sender) hear(b snipefront.BackendServer, status int, h http.Header) {
	if s.Heard == nil {
		return
	}
	if n, err := notice.Parse(DrainingHeader, status, h); n != (notice.Notice{}) || err != nil {
		s.Heard(b, n, err)
	}
}

// isMismatched reports whether resp echoes the id of another attempt than req.
func isMismatched(req *http.Request, resp *http.Response) bool {
	id := req.Header.Get(AttemptHeader)
	return slices.ContainsFunc(resp.Header.Values(AttemptHeader), func(v string) bool { return v != "" && v != id })
}

// takeEcho removes the id of the attempt from the header of resp and reports whether there
// was one.
func takeEcho(resp *http.Response) bool {
	echoes := resp.Header.Get(AttemptHeader) != ""
	resp.Header.Del(AttemptHeader)
	return echoes
}

// CloseIdle closes the idle connections to b.
func (s *Sender) CloseIdle(b snipefront.BackendServer) {
	if u, ok := s.upstreams.LoadAndDelete(b.Address); ok {
		u.(*upstream).CloseIdle()
	}
}

// failedAttempt returns the result of an attempt that ended with err and whose writes t
// tracked.
func failedAttempt(t *writes.Tracker, err error) Attempt {
	if !t.Wrote() {
		return Attempt{Verdict: snipefront.NotRun, Reason: unsentReason(err), Err: err}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Attempt{Reason: snipefront.ReasonAttemptLate, Err: err}
	}
	return Attempt{Reason: snipefront.ReasonBrokenAnswer, Err: err}
}

func unsentReason(err error) snipefront.Reason {
	if errors.Is(err, errMismatched) {
		return snipefront.ReasonBrokenAnswer
	}
	return snipefront.ReasonConnect
}

// refusedAttempt returns the attempt that b refused with resp without running the request. A refusal
// that breaks off is a broken answer, but not one that ctx ends.
func refusedAttempt(ctx context.Context, b snipefront.BackendServer, resp *http.Response) Attempt {
	_, err := io.CopyN(io.Discard, resp.Body, maxHeaderBytes)
	if err != nil && !errors.Is(err, io.EOF) && ctx.Err() == nil {
		return Attempt{Reason: snipefront.ReasonBrokenAnswer, Err: err}
	}
	return Attempt{
		Verdict: snipefront.NotRun,
		Reason:  snipefront.ReasonShed,
		Err:     errors.Errorf("backend server %s refused with status %d", b.Name, resp.StatusCode),
	}
}

// readAnswer reads the complete answer.
func (s *Sender) readAnswer(ctx context.Context, b snipefront.BackendServer, resp *http.Response) Attempt {
	body, err := s.readBody(ctx, resp)
	if err != nil {
		return Attempt{Reason: readReason(err), Err: err}
	}
	return Attempt{
		Verdict:  snipefront.Ran,
		Response: &snipefront.Response{Status: resp.StatusCode, Header: resp.Header, Body: body, BackendServer: b.Name},
	}
}

var (
	errNoLength   = errors.New("answer without a length cannot be known to be whole")
	errMismatched = errors.New("answer to another request")
	errUncertain  = errors.New("refusal without the id of the attempt, which may be that of an earlier request")
)

func readReason(err error) snipefront.Reason {
	switch {
	case errors.Is(err, bound.ErrTooBig):
		return snipefront.ReasonAnswerTooBig
	case errors.Is(err, context.DeadlineExceeded):
		return snipefront.ReasonAttemptLate
	default:
		return snipefront.ReasonBrokenAnswer
	}
}

func (s *Sender) readBody(ctx context.Context, resp *http.Response) ([]byte, error) {
	if resp.Request.Method == http.MethodHead {
		return nil, nil
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errNoLength
	}
	return s.Memory.ReadBody(ctx, resp.Body, resp.ContentLength, s.MaxAnswerBytes)
}

// maxIdle returns how long the connection for c may have been idle. Zero sets no
// limit.
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

// identityEncoding is the transfer encoding of a request without a body. The
// transport then writes neither Transfer-Encoding nor Content-Length.
var identityEncoding = []string{"identity"}

func newRequest(ctx context.Context, b snipefront.BackendServer, r *snipefront.Request, id string) (*http.Request, error) {
	if !strings.HasPrefix(r.Target, "/") || strings.HasPrefix(r.Target, "//") {
		return nil, errors.Errorf("target %q is not a path", r.Target)
	}
	req := &http.Request{
		Method: r.Method,
		// An opaque URL is written unchanged.
		URL:        &url.URL{Scheme: "http", Host: b.Address, Opaque: r.Target},
		Host:       b.Address,
		Header:     headerOf(r, id),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		// Without GetBody the body cannot be rewound. The transport knows that this
		// type does not block, and writes it together with the header.
		Body:          io.NopCloser(bytes.NewReader(r.Body)),
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) == 0 && lacksBody(r.Method) {
		// Otherwise the transport first probes the body in a separate goroutine.
		req.TransferEncoding = identityEncoding
	}
	return req.WithContext(ctx), nil
}

// headerOf returns the header of r with the time left and the id of the attempt. Its
// values are shared with r, since they are never changed in place.
func headerOf(r *snipefront.Request, id string) http.Header {
	h := make(http.Header, len(r.Header)+2)
	maps.Copy(h, r.Header)
	h[AttemptHeader] = []string{id}
	h[TimeoutHeader] = []string{strconv.FormatInt(max(1, time.Until(r.Deadline).Milliseconds()), 10)}
	return h
}

// newAttemptID returns a random id.
func newAttemptID() string {
	return strconv.FormatUint(rand.Uint64(), 36)
}

// lacksBody reports whether a request with the method usually has no body. For other
// methods a backend server may require a Content-Length.
func lacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}
