package proxy

import (
	"net/http"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/drain"
	"github.com/snipefront/snipefront/internal/entry/pipe"
)

// addressTime is the time after which most callers no longer hold the address of an instance
// that stops.
const addressTime = 3 * time.Second

// Stop begins a planned stop that ends at the given time. From now on, requests that may
// not be answered by then are refused.
func (p *Proxy) Stop(now, end time.Time) { p.gate.Stop(now, end, addressTime) }

// refuseStopping refuses what this instance can't answer before its planned stop ends.
func (p *Proxy) refuseStopping(q routed, r *http.Request) (pipe.Answer, bool) {
	timeout := p.timeout(r, q.route)
	e := p.stopping(q.route, time.Now().Add(timeout))
	if e == nil {
		return pipe.Answer{}, false
	}
	p.Logger.Info("request refused; it may last longer than the planned stop", "request", q.id, "route", q.route.Name, "timeout", timeout)
	return p.refuse("", q.id, e), true
}

// timeout returns the time that the caller of r, whose route is rt, waits for the answer.
func (p *Proxy) timeout(r *http.Request, rt *snipefront.Route) time.Duration {
	if remaining, ok := parseRemaining(r.Header.Get(p.Fields.Remaining)); ok {
		return min(rt.Timeout, remaining)
	}
	return rt.Timeout
}

// stopping returns the refusal of a request that may not be over before the planned stop of this
// instance is, if it is sent now, or nil.
func (p *Proxy) stopping(rt *snipefront.Route, deadline time.Time) *snipefront.Error {
	if p.gate.Admits(time.Now(), drain.Work{Workload: rt.Name, Deadline: deadline, Idempotent: rt.Idempotent}) {
		return nil
	}
	return snipefront.Refused(snipefront.ReasonStopping, drain.RetryAfter, "this instance stops")
}
