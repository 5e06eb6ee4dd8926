package proxy

import (
	"context"
	"net/http"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/pipe"
	"github.com/snipefront/snipefront/internal/request/authn"
	"github.com/snipefront/snipefront/internal/request/paths"
)

// routed is a request with its route and its caller according to one table. All decisions on the
// request use it, so that a table which is replaced in between doesn't matter.
type routed struct {
	// id is the caller's request ID.
	id     string
	table  *paths.Table
	route  *snipefront.Route
	caller authn.Identity
}

// find returns the route and the caller of r according to t, and reports whether t has a route
// for it.
func (p *Proxy) find(t *paths.Table, r *http.Request) (routed, bool) {
	rt, ok := t.Find(r.Host, r.URL.EscapedPath())
	if !ok {
		return routed{}, false
	}
	q := routed{id: r.Header.Get(p.Fields.RequestID), table: t, route: rt}
	q.caller = authn.Identify(t, rt, p.Fields, r.Header)
	return q, true
}

// rank returns the rank of the workspace if it has one, else that of the route.
func (q routed) rank() int {
	if w := q.caller.Workspace; w != nil && w.HasRank {
		return w.Rank
	}
	return q.route.Rank
}

// workspaceName returns the name of the caller's workspace, or an empty string.
func (q routed) workspaceName() string {
	if q.caller.Workspace == nil {
		return ""
	}
	return q.caller.Workspace.Name
}

// limited reports whether the caller's workspace has a quota.
func (q routed) limited() bool {
	return q.caller.Workspace != nil && q.caller.Workspace.Quota.Limited()
}

// Refuse implements pipe.Handler. It refuses requests that lack a known key, and those that this
// instance can't answer before its planned stop ends. Since the answer to a refused request
// closes its connection, a request that lacks a key but has no body is left to Handle.
func (p *Proxy) Refuse(r *http.Request) (pipe.Answer, bool) {
	t := p.table.Load()
	if t == nil {
		return pipe.Answer{}, false
	}
	q, ok := p.find(t, r)
	switch {
	case !ok:
		return pipe.Answer{}, false
	case q.caller.Allowed:
		return p.refuseStopping(q, r)
	case r.ContentLength == 0:
		return pipe.Answer{}, false
	}
	return p.unauthorized(q), true
}

// refuseUnauthorized refuses r if it lacks a known key.
func (p *Proxy) refuseUnauthorized(r *http.Request) (pipe.Answer, bool) {
	t := p.table.Load()
	if t == nil {
		return pipe.Answer{}, false
	}
	q, ok := p.find(t, r)
	if !ok || q.caller.Allowed {
		return pipe.Answer{}, false
	}
	return p.unauthorized(q), true
}

// unauthorized returns the answer to a request that lacks a known key.
func (p *Proxy) unauthorized(q routed) pipe.Answer {
	p.Logger.Info("no known key in the request; answering with 401", "request", q.id, "route", q.route.Name,
		"version", q.table.Routing.Version, "hasKey", q.caller.HasKey)
	a := p.refuse("", q.id, snipefront.Rejected(snipefront.ReasonUnauthorized, http.StatusUnauthorized, "this route needs the key of a workspace"))
	a.Header.Set("WWW-Authenticate", p.Fields.KeyScheme)
	return a
}

// admit takes a token of the quota of the caller's workspace, if it has one, and returns nil, or
// returns the refusal.
func (p *Proxy) admit(ctx context.Context, q routed, r *pipe.Request) *snipefront.Error {
	if p.Quota == nil || !q.limited() {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, r.Read.Add(p.timeout(r.Request, q.route)))
	defer cancel()
	e := p.Quota.Admit(ctx, q.caller.Workspace)
	if e != nil {
		p.Logger.Info("request of the workspace is not admitted", "request", q.id, "route", q.route.Name, "workspace", q.workspaceName(),
			"version", q.table.Routing.Version, "status", e.Status, "reason", e.Reason, "retryAfter", e.RetryAfter)
	}
	return e
}

// returnToken returns the token of an admitted request whose final answer is e, if it has not
// run.
func (p *Proxy) returnToken(q routed, e *snipefront.Error) {
	if p.Quota != nil && q.limited() && e.Verdict == snipefront.NotRun {
		p.Quota.Return(q.workspaceName())
	}
}
