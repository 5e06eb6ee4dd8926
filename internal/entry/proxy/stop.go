package proxy

import (
	"net/http"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/drain"
	"github.com/snipefront/snipefront/internal/entry/pipe"
)

// Stop begins a planned stop that ends at the given time. From now on, requests that may
// not be answered by then are refused.
func (p *Proxy) Stop(now, end time.Time) { p.gate.Stop(now, end) }

// Refuse implements pipe.Handler. It refuses what this instance can't answer before its
// planned stop ends.
func (p *Proxy) Refuse(r *http.Request) (pipe.Answer, bool) {
	t := p.table.Load()
	if t == nil {
		return pipe.Answer{}, false
	}
	rt, ok := t.Find(r.Host, r.URL.EscapedPath())
	if !ok {
		return pipe.Answer{}, false
	}
	now := time.Now()
	timeout := rt.Timeout
	if remaining, ok := parseRemaining(r.Header.Get(p.Fields.Remaining)); ok {
		timeout = min(timeout, remaining)
	}
	if p.gate.Admits(now, rt.Name, now.Add(timeout)) {
		return pipe.Answer{}, false
	}
	id := r.Header.Get(p.Fields.RequestID)
	p.Logger.Info("request refused; it may last longer than the planned stop", "request", id, "route", rt.Name, "timeout", timeout)
	return p.refuse("", id, snipefront.Refused(snipefront.ReasonStopping, drain.RetryAfter, "this instance stops")), true
}
