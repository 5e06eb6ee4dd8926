// Package proxy takes requests of callers by the routes of a routing configuration:
// it finds the route, sets the deadline, chooses the service and hands the request
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
	"github.com/snipefront/snipefront/internal/entry/header"
	"github.com/snipefront/snipefront/internal/entry/pipe"
	"github.com/snipefront/snipefront/internal/request/paths"
)

const (
	// unknownRetry is the time after which a caller may ask again where this instance
	// has no configuration yet.
	unknownRetry = 250 * time.Millisecond
)

// Sender sends a call to a backend server.
type Sender interface {
	Serve(ctx context.Context, c *direct.Call) (*snipefront.Response, error)
}

// Counter counts answers.
type Counter interface {
	Answered(service string, status int, taken time.Duration)
	Refused(service string, e *snipefront.Error)
}

// Proxy implements pipe.Handler. Set the exported fields before use.
type Proxy struct {
	Sender  Sender
	Fields  snipefront.Fields
	Counter Counter
	Logger  *slog.Logger

	table atomic.Pointer[paths.Table]
	split paths.Splitter
	waits waits
}

// SetTable puts the routes of t into force.
func (g *Proxy) SetTable(t *paths.Table) {
	g.table.Store(t)
	names := t.Names()
	g.split.Forget(names)
	g.waits.forget(names)
}

// Table returns the routes in force, or nil.
func (g *Proxy) Table() *paths.Table { return g.table.Load() }

// Limits returns the bounds on what callers may send.
func (g *Proxy) Limits() snipefront.CallerLimits {
	t := g.table.Load()
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

// defaultLimits hold until there is a configuration.
var defaultLimits = snipefront.CallerLimits{
	HeaderBytes:   64 << 10,
	BodyBytes:     64 << 20,
	HeaderTimeout: 10 * time.Second,
	IdleTimeout:   time.Minute,
}

func orElse[T int | int64 | time.Duration](v, other T) T {
	if v > 0 {
		return v
	}
	return other
}

// Handle implements pipe.Handler.
func (g *Proxy) Handle(ctx context.Context, r *pipe.Request) pipe.Answer {
	id := r.Header.Get(g.Fields.RequestID)
	t := g.table.Load()
	if t == nil {
		return g.refuse("", id, snipefront.Refused(snipefront.ReasonNoConfig, unknownRetry, "this instance has no configuration yet"))
	}
	n, ok := t.Find(r.Host, r.URL.EscapedPath())
	if !ok {
		g.Logger.Info("no route", "request", id, "host", r.Host, "path", r.URL.EscapedPath(), "version", t.Routing.Version)
		return g.refuse("", id, snipefront.Rejected(snipefront.ReasonUnknownService, http.StatusNotFound, "no route for this host and path"))
	}
	c := g.call(r, id, n)
	response, err := g.Sender.Serve(ctx, c)
	if err != nil {
		return g.refuse(c.Service, id, snipefront.AsError(err))
	}
	taken := time.Since(r.Read)
	g.Counter.Answered(c.Service, response.Status, taken)
	if taken > n.Goal {
		g.Logger.Info("answer over the goal", "request", id, "route", n.Name, "service", c.Service,
			"server", response.BackendServer, "status", response.Status, "taken", taken, "version", t.Routing.Version)
	}
	h := header.EndToEnd(response.Header)
	h.Del("Content-Length")
	return pipe.Answer{Status: response.Status, Header: h, Body: response.Body}
}

// call returns the call of r on route n.
func (g *Proxy) call(r *pipe.Request, id string, n *snipefront.Route) *direct.Call {
	h := header.EndToEnd(r.Header)
	h.Del("Content-Length")
	h.Del(g.Fields.Remaining)
	h.Del(g.Fields.Expected)
	h["Host"] = []string{r.Host}
	left := n.Timeout
	var waited time.Duration
	if ms, err := strconv.ParseFloat(r.Header.Get(g.Fields.Remaining), 64); err == nil && ms >= 0 {
		remaining := time.Duration(ms * float64(time.Millisecond))
		waited = g.waits.before(n.Name, remaining)
		left = min(left, remaining)
	}
	c := &direct.Call{
		ID:       id,
		Route:    n.Name,
		Attempts: n.Attempts,
		Goal:     r.Read.Add(n.Goal - waited),
		Request: &snipefront.Request{
			Service:    g.split.Next(n),
			Method:     r.Method,
			Target:     r.RequestURI,
			Header:     h,
			Body:       r.Content,
			Deadline:   r.Read.Add(left),
			Idempotent: n.Idempotent,
		},
	}
	c.Fingerprint = c.ContentFingerprint()
	return c
}

// problem is the body of an answer that is not a backend server's.
type problem struct {
	Reason  snipefront.Reason
	Verdict string
	Detail  string
}

// refuse returns the answer for e.
func (g *Proxy) refuse(service, id string, e *snipefront.Error) pipe.Answer {
	g.Counter.Refused(service, e)
	h := http.Header{}
	if id != "" {
		h.Set(g.Fields.RequestID, id)
	}
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	b, err := json.Marshal(problem{Reason: e.Reason, Verdict: e.Verdict.String(), Detail: e.Detail})
	if err != nil {
		g.Logger.Error("problem not encoded", "error", err)
	}
	return pipe.Answer{Status: e.Status, Header: h, Body: b}
}
