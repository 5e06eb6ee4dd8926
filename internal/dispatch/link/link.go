// Package link carries requests and load probes to backend servers over HTTP.
package link

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/dispatch/notice"
	"github.com/snipefront/snipefront/internal/dispatch/pool"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
	"github.com/snipefront/snipefront/internal/rpc/bound"
	"github.com/snipefront/snipefront/internal/rpc/pace"
)

const (
	// probeTimeout bounds one load probe, and reusedConnTimeout the part of it that
	// may be spent on a connection from the pool.
	probeTimeout      = 150 * time.Millisecond
	reusedConnTimeout = 60 * time.Millisecond
	// maxReportBytes bounds the body of the answer to a load probe.
	maxReportBytes = 64 << 10
	// MaxAnswerBytes bounds the body of the answer to a request.
	MaxAnswerBytes = 16 << 20
	// maxIdle is the maximum number of idle connections to one backend server.
	maxIdle = 8
)

// errUnsigned means that a successful answer lacks the header field by which the
// backend server signs its answers.
var errUnsigned = errors.New("answer without the backend server's signature")

// errLateAnswer means that the answer to a load probe, which has no id, has the id of a
// request: it is a further answer to an earlier request on the connection.
var errLateAnswer = errors.New("answer to an earlier request")

// Counter counts load probes.
type Counter interface {
	Probed(service string, answered bool)
}

// Link implements direct.Link. Set the exported fields before use.
type Link struct {
	Pool *pool.Pool
	// Memory bounds the bodies of the answers that are held. Nil sets no bound.
	Memory *bound.Memory
	// Shaper bounds the rate of long answers. It may be nil.
	Shaper *pace.Shaper
	// Targets holds the backend servers that accept requests.
	Targets *health.Set
	Fields  snipefront.HeaderFields
	Counter Counter
	Logger  *slog.Logger
}

// Send implements direct.Link.
func (l *Link) Send(ctx context.Context, c *direct.Call, t *health.Target) direct.Attempt {
	conn, err := l.Pool.GetFor(ctx, t.Server.Address, !c.Idempotent, c.ID)
	if err != nil {
		return direct.Attempt{Verdict: snipefront.NotRun, Reason: snipefront.ReasonConnect, Err: err, Outcome: health.Unreachable}
	}
	if current, accepts := l.Targets.Current(t.Server.Name); !accepts || current.Server.Incarnation != t.Server.Incarnation {
		l.putBack(conn, t)
		return direct.Attempt{Verdict: snipefront.NotRun, Reason: snipefront.ReasonNoBackendServer, Err: errors.New("backend server left"), Outcome: health.Unreachable}
	}
	if t.PauseLeft(time.Now()) > 0 {
		l.putBack(conn, t)
		return direct.Attempt{Verdict: snipefront.NotRun, Reason: snipefront.ReasonPaused, Err: errors.New("backend server has asked for a pause"), Outcome: health.Unreachable}
	}
	e := pool.Exchange{
		Head: l.requestHead(c, t, time.Until(c.Deadline)), Body: c.Body, Method: c.Method,
		IDField: l.Fields.RequestID, ID: c.ID, MaxBytes: MaxAnswerBytes, Memory: l.Memory, Shaper: l.Shaper, Heard: l.hear(t),
	}
	reusable, err := e.Do(ctx, conn)
	if reusable {
		l.putBack(conn, t)
	}
	if err != nil {
		return brokenAttempt(err)
	}
	a := l.attemptOf(&e, t)
	if !a.Misdirected {
		a.Limit = l.statementOf(t, e.Response.Header)
	}
	return a
}

// brokenAttempt returns the attempt that ended with err instead of an answer. It shows
// nothing about the backend server if this instance had no memory for its answer.
func brokenAttempt(err error) direct.Attempt {
	a := direct.Attempt{Verdict: snipefront.MayHaveRun, Reason: snipefront.ReasonBrokenAnswer, Err: err, Outcome: health.Faulty}
	if errors.Is(err, bound.ErrNoMemory) {
		a.Outcome = health.Neutral
	}
	return a
}

// hear returns a function that records the notice of an answer of t. It ignores answers of
// another backend server at the same address.
func (l *Link) hear(t *health.Target) func(status int, h http.Header) {
	return func(status int, h http.Header) {
		if name := h.Get(l.Fields.Server); status == http.StatusMisdirectedRequest || name != "" && name != t.Server.Name {
			return
		}
		n, err := notice.Parse(l.Fields.Draining, status, h)
		if err != nil {
			l.Logger.Warn("backend server asks for a pause of no usable length", "server", t.Server.Name, "service", t.Server.Service, "used", n.Pause, "error", err)
		}
		t.Hear(n)
	}
}

// statementOf returns what an answer of t with the header h says of its rate limit.
func (l *Link) statementOf(t *health.Target, h http.Header) quota.Statement {
	s, err := quota.Parse(h.Values(l.Fields.RateLimit))
	if err != nil {
		l.Logger.Warn("backend server names a rate limit that can't be read; keeping what is known", "server", t.Server.Name, "service", t.Server.Service, "error", err)
	}
	return s
}

// putBack keeps conn, a connection to t, for further requests. At most half of this
// instance's share of the connections that t accepts is kept idle: the other half is for
// connections in use.
func (l *Link) putBack(conn *pool.Conn, t *health.Target) {
	most := maxIdle
	if share, limited := l.Targets.ConnectionShare(t); limited {
		most = min(maxIdle, max(1, share/2))
	}
	l.Pool.Put(conn, most)
}

// attemptOf derives the verdict and the outcome of an attempt from the answer of t
// in e.
func (l *Link) attemptOf(e *pool.Exchange, t *health.Target) direct.Attempt {
	h := e.Response.Header
	status := e.Response.StatusCode
	signed := h.Get(l.Fields.Signature) != ""
	switch {
	case status == http.StatusMisdirectedRequest:
		return direct.Attempt{Verdict: snipefront.NotRun, Reason: snipefront.ReasonNoBackendServer, Err: errors.New("another backend server has the address"), Outcome: health.Unreachable, Misdirected: true}
	case h.Get(l.Fields.NotRun) != "":
		return direct.Attempt{Verdict: snipefront.NotRun, Reason: snipefront.ReasonShed, Err: errors.Errorf("backend server refused with status %d", status), Outcome: health.Neutral}
	case !signed && status < http.StatusMultipleChoices:
		return direct.Attempt{Verdict: snipefront.MayHaveRun, Reason: snipefront.ReasonBrokenAnswer, Err: errUnsigned, Outcome: health.Faulty}
	}
	a := direct.Attempt{Verdict: snipefront.Ran, Reason: snipefront.ReasonBackendServer, Outcome: health.Answered, Signed: signed}
	a.Complete = signed && e.Sent && snipefront.ShowsCompleteRun(status)
	a.Response = &snipefront.Response{Status: status, Header: h, Body: e.Answer, BackendServer: t.Server.Name}
	if a.Response.Status >= http.StatusInternalServerError {
		a.Outcome = health.Faulty
	}
	return a
}

// requestHead returns the request line and the header of c for t. The header carries the
// time left, after which t should stop work, and the name of t, which rejects the request
// with status 421 if it has another name.
func (l *Link) requestHead(c *direct.Call, t *health.Target, left time.Duration) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(c.Method)
	b.WriteByte(' ')
	b.WriteString(c.Target)
	b.WriteString(" HTTP/1.1\r\n")
	_ = c.Header.Write(&b) // writes to a Buffer never fail
	writeField(&b, l.Fields.Remaining, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	writeField(&b, l.Fields.Expected, t.Server.Name)
	if len(c.Body) > 0 || c.Method != http.MethodGet && c.Method != http.MethodHead {
		writeField(&b, "Content-Length", strconv.Itoa(len(c.Body)))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// Up implements direct.Link. Only the connection counts: a backend server that is full may
// reset it after that. The idle connections to t, which may have ended or gone silent
// like the one that led to the check, are closed.
func (l *Link) Up(ctx context.Context, t *health.Target) bool {
	l.Pool.CloseIdle(t.Server.Address)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := l.Pool.Dial(ctx, t.Server.Address)
	if err != nil {
		return false
	}
	l.putBack(c, t)
	return true
}

// Probe implements health.Prober.
func (l *Link) Probe(t *health.Target) (health.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	r, err := l.probe(ctx, t)
	l.Counter.Probed(t.Server.Service, err == nil)
	if err != nil {
		l.Logger.Info("load probe failed", "server", t.Server.Name, "service", t.Server.Service, "address", t.Server.Address, "error", err)
	}
	return r, err
}

// probe sends a load probe over a pooled connection. If that is half-open or breaks, it
// closes all idle connections to t and sends the probe again over a new one.
func (l *Link) probe(ctx context.Context, t *health.Target) (health.Report, error) {
	c, err := l.Pool.Get(ctx, t.Server.Address, false)
	if err != nil {
		return health.Report{}, err
	}
	if !c.Reused {
		return l.probeOn(ctx, c, t)
	}
	short, cancel := context.WithTimeout(ctx, reusedConnTimeout)
	r, err := l.probeOn(short, c, t)
	cancel()
	if err == nil || ctx.Err() != nil {
		return r, err
	}
	l.Pool.CloseIdle(t.Server.Address)
	t.ChargeProbe(time.Now())
	if c, err = l.Pool.Get(ctx, t.Server.Address, false); err != nil {
		return health.Report{}, err
	}
	return l.probeOn(ctx, c, t)
}

// probeOn sends a load probe over c.
func (l *Link) probeOn(ctx context.Context, c *pool.Conn, t *health.Target) (health.Report, error) {
	head := "GET " + t.Profile.HealthPath + " HTTP/1.1\r\nHost: " + t.Server.Address + "\r\n\r\n"
	e := pool.Exchange{Head: []byte(head), Method: http.MethodGet, MaxBytes: maxReportBytes, Memory: l.Memory, Heard: l.hear(t)}
	at := time.Now()
	reusable, err := e.Do(ctx, c)
	if err != nil && ctx.Err() != nil && !e.Begun {
		return health.Report{}, errors.WithMessage(health.ErrProbeTimeout, err.Error())
	}
	if err != nil {
		return health.Report{}, err
	}
	if e.Response.Header.Get(l.Fields.RequestID) != "" {
		c.Close()
		return health.Report{}, errLateAnswer
	}
	if reusable {
		l.putBack(c, t)
	}
	r := health.ParseReport(l.Fields, e.Response.StatusCode, e.Response.Header, at)
	r.Limit = l.statementOf(t, e.Response.Header)
	return r, nil
}
