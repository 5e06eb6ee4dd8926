// Package proxy handles the requests of callers by a routing configuration: it finds
// the route and the workspace, sets the deadline, chooses the service and passes the request
// to a Sender.
package proxy

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/entry/drain"
	"github.com/snipefront/snipefront/internal/entry/header"
	"github.com/snipefront/snipefront/internal/entry/pipe"
	"github.com/snipefront/snipefront/internal/request/authn"
	"github.com/snipefront/snipefront/internal/request/paths"
	"github.com/snipefront/snipefront/internal/rpc/bound"
)

const (
	// retryAfterNoConfig is the Retry-After time until this instance has a configuration.
	retryAfterNoConfig = 250 * time.Millisecond
	// maxRemaining bounds the time for which a caller may say that it waits.
	maxRemaining = time.Hour
	// retryAfterNoMemory is the Retry-After time of a request for which there is no memory.
	retryAfterNoMemory = time.Second
)

// Sender sends a call to a backend server and returns the response.
type Sender interface {
	Serve(ctx context.Context, c *direct.Call) (*snipefront.Response, error)
}

// Counter counts responses.
type Counter interface {
	Answered(service string, status int, taken time.Duration)
	Refused(service string, e *snipefront.Error)
	// Unanswered counts a request whose connection ended before its answer.
	Unanswered(cause string)
}

// Proxy implements pipe.Handler. Set the exported fields before use.
type Proxy struct {
	Sender  Sender
	Fields  snipefront.HeaderFields
	Counter Counter
	// Answers is the memory for answers. It may be nil.
	Answers *bound.Memory
	// Quota admits the requests of workspaces with a limit. Nil admits all.
	Quota  snipefront.Admitter
	Logger *slog.Logger

	table atomic.Pointer[paths.Table]
	split paths.Splitter
	waits waits
	gate  drain.Gate
	sizes sizes
}

// SetTable makes t the routes in use and drops the state of routes that t does not have.
func (p *Proxy) SetTable(t *paths.Table) {
	p.table.Store(t)
	names := t.Names()
	p.split.Forget(names)
	p.waits.forget(names)
	p.gate.Forget(names)
	p.sizes.forget(names)
}

// Table returns the routes in use, or nil if there is no configuration yet.
func (p *Proxy) Table() *paths.Table { return p.table.Load() }

// Limits returns the limits on what callers may send.
func (p *Proxy) Limits() snipefront.CallerLimits {
	t := p.table.Load()
	if t == nil {
		return defaultLimits
	}
	l := t.Routing.Limits
	return snipefront.CallerLimits{
		HeaderBytes:   orElse(l.HeaderBytes, defaultLimits.HeaderBytes),
		BodyBytes:     orElse(l.BodyBytes, defaultLimits.BodyBytes),
		HeaderTimeout: orElse(l.HeaderTimeout, defaultLimits.HeaderTimeout),
		IdleTimeout:   orElse(l.IdleTimeout, defaultLimits.IdleTimeout),
	}
}

// defaultLimits apply until there is a configuration, and for limits that it leaves unset.
var defaultLimits = snipefront.CallerLimits{
	HeaderBytes:   64 << 10,
	BodyBytes:     64 << 20,
	HeaderTimeout: 10 * time.Second,
	IdleTimeout:   time.Minute,
}

// orElse returns v if it is positive, else other.
func orElse[T int | int64 | time.Duration](v, other T) T {
	if v > 0 {
		return v
	}
	return other
}

// Handle implements pipe.Handler.
func (p *Proxy) Handle(ctx context.Context, r *pipe.Request) pipe.Answer {
	id := r.Header.Get(p.Fields.RequestID)
	t := p.table.Load()
	if t == nil {
		return p.refuse("", id, snipefront.Refused(snipefront.ReasonNoConfig, retryAfterNoConfig, "this instance has no configuration yet"))
	}
	q, ok := p.find(t, r.Request)
	if !ok {
		p.Logger.Info("no route for the host and the path; answering with 404", "request", id, "host", r.Host, "path", r.URL.EscapedPath(), "version", t.Routing.Version)
		return p.refuse("", id, snipefront.Rejected(snipefront.ReasonUnknownService, http.StatusNotFound, "no route for this host and path"))
	}
	if !q.caller.Allowed {
		return p.unauthorized(q)
	}
	if a, refused := p.refuseStopping(q, r.Request); refused {
		return a
	}
	if p.sizes.isLong(q.route.Name) && p.Answers.Scarce() {
		p.Logger.Info("earlier answers wait for memory; answering with 503", "request", id, "route", q.route.Name, "held", p.Answers.Used())
		return p.refuse("", id, noMemory())
	}
	if e := p.admit(ctx, q, r); e != nil {
		return p.refuse("", id, e)
	}
	return p.dispatch(ctx, q, r)
}

// dispatch sends an admitted request to a backend server.
func (p *Proxy) dispatch(ctx context.Context, q routed, r *pipe.Request) pipe.Answer {
	c := p.call(r, q)
	response, err := p.Sender.Serve(ctx, c)
	if err != nil {
		e := snipefront.AsError(err)
		p.returnToken(q, e)
		return p.refuse(c.Service, q.id, e)
	}
	p.sizes.record(q.route.Name, len(response.Body))
	taken := time.Since(r.Read)
	p.Counter.Answered(c.Service, response.Status, taken)
	p.gate.Observe(time.Now(), q.route.Name, taken)
	if taken > q.route.Goal {
		p.Logger.Info("response later than the latency goal", "request", q.id, "route", q.route.Name, "service", c.Service,
			"server", response.BackendServer, "status", response.Status, "taken", taken, "version", q.table.Routing.Version)
	}
	h := header.EndToEnd(response.Header)
	h.Del("Content-Length")
	return pipe.Answer{Status: response.Status, Header: h, Body: response.Body}
}

// The causes of a request without an answer, for Counter and logs.
const (
	causeConnection = "connection"
	causeStop       = "stop"
)

// Unanswered implements pipe.Observer.
func (p *Proxy) Unanswered(r *pipe.Request, err error) { p.unanswered(r, causeConnection, err) }

// CutOff records that this instance stops before it has answered r.
func (p *Proxy) CutOff(r *pipe.Request) { p.unanswered(r, causeStop, nil) }

func (p *Proxy) unanswered(r *pipe.Request, cause string, err error) {
	p.Counter.Unanswered(cause)
	p.Logger.Info("request has got no answer; its connection ended", "request", r.Header.Get(p.Fields.RequestID), "host", r.Host,
		"cause", cause, "taken", time.Since(r.Read), "error", err)
}

// call returns the call for r.
func (p *Proxy) call(r *pipe.Request, q routed) *direct.Call {
	rt := q.route
	h := header.EndToEnd(r.Header)
	h.Del("Content-Length")
	h.Del(p.Fields.Remaining)
	h.Del(p.Fields.Expected)
	authn.SetFields(q.table, rt, p.Fields, q.caller, h)
	h["Host"] = []string{r.Host}
	var waited time.Duration
	if remaining, ok := parseRemaining(r.Header.Get(p.Fields.Remaining)); ok {
		waited = p.waits.waited(rt.Name, remaining)
	}
	deadline := r.Read.Add(p.timeout(r.Request, rt))
	c := &direct.Call{
		ID:        q.id,
		Route:     rt.Name,
		Workspace: q.workspaceName(),
		Attempts:  rt.Attempts,
		Rank:      q.rank(),
		Goal:      r.Read.Add(rt.Goal - waited),
		Request: &snipefront.Request{
			Service:    p.split.Next(rt),
			Method:     r.Method,
			Target:     r.RequestURI,
			Header:     h,
			Body:       r.Content,
			Deadline:   deadline,
			Idempotent: rt.Idempotent,
		},
		Refuse: func() *snipefront.Error { return p.stopping(rt, deadline) },
	}
	c.Fingerprint = c.ContentFingerprint()
	return c
}

// parseRemaining parses the time for which a caller waits, in milliseconds. It returns false
// if the text names none, or one over maxRemaining.
func parseRemaining(text string) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0 && ms <= float64(maxRemaining.Milliseconds())) {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// problem is the body of an error response of this instance.
type problem struct {
	Reason  snipefront.Reason
	Verdict string
	Detail  string
}

// refuse counts e and returns the error response for it.
func (p *Proxy) refuse(service, id string, e *snipefront.Error) pipe.Answer {
	p.Counter.Refused(service, e)
	h := http.Header{}
	if id != "" {
		h.Set(p.Fields.RequestID, id)
	}
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	b, err := json.Marshal(problem{Reason: e.Reason, Verdict: e.Verdict.String(), Detail: e.Detail})
	if err != nil {
		p.Logger.Error("cannot encode the body of an error response; sending it without one", "error", err)
	}
	return pipe.Answer{Status: e.Status, Header: h, Body: b}
}
