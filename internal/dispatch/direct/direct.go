// Package direct sends requests to backend servers that several instances choose
// from at the same time.
//
// Before a choice, local targets are probed for their load, and remote ones if all
// local ones are slow. An attempt that certainly did not run may be retried at
// another target, whatever the request; one that may have run is retried only for an
// idempotent request. Retries spend a budget. A request that no target can accept in
// time is refused.
package direct

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/request/poison"
)

const (
	// maxUndelivered is the number of attempts that did not reach their target after
	// which a request is still retried. One more ends it.
	maxUndelivered = 4
	// minAttemptTime is the minimum time that must be left until the deadline when an
	// attempt is started.
	minAttemptTime = 5 * time.Millisecond
	// retryAfter is the time after which a caller may resend a refused request if
	// the wait for a free slot is unknown.
	retryAfter = 200 * time.Millisecond
	// shedRetryAfter replaces retryAfter if the target that refused the request had a
	// free slot, or was gone: its refusal did not depend on the load, so a resend may soon
	// succeed.
	shedRetryAfter = 20 * time.Millisecond
)

// Counter counts retries by their reason.
type Counter interface {
	Retried(service string, reason snipefront.Reason)
}

// Dispatcher sends requests to targets. Set the exported fields before use.
type Dispatcher struct {
	Targets *health.Set
	Link    Link
	// Budget bounds the attempts beyond the first of a request.
	Budget *budget.Retries
	// Probes bounds the load probes. Nil sets no bound.
	Probes *budget.Probes
	// Poison records the requests that were in flight on a backend server when it
	// crashed. Nil records none.
	Poison   *poison.Register
	Counter  Counter
	Attempts snipefront.AttemptCounter
	Logger   *slog.Logger

	estimator estimator
}

// Call is a caller's request with the values that its dispatch needs.
type Call struct {
	*snipefront.Request
	// ID is the caller's request ID, which backend servers echo.
	ID    string
	Route string
	// Goal is the time by which the latency goal requires an answer. Until then an
	// answer has its full value.
	Goal time.Time
	// Attempts is the maximum number of attempts that reach a target.
	Attempts int
}

// Attempt is the result of sending a call to one target.
type Attempt struct {
	// Response is nil if the backend server gave no complete answer.
	Response *snipefront.Response
	Verdict  snipefront.Verdict
	Reason   snipefront.Reason
	// Err is why there is no answer.
	Err error
	// Outcome is what the attempt shows about the target.
	Outcome health.Outcome
	// Misdirected is true if the request reached a backend server that was not the
	// target, and that refused it.
	Misdirected bool
}

// Link carries calls and load probes to backend servers.
type Link interface {
	health.Prober
	// Send sends c to t. It returns when there is an answer, when none can come any
	// more, or when ctx is done.
	Send(ctx context.Context, c *Call, t *health.Target) Attempt
	// Up reports whether t accepts a new connection.
	Up(ctx context.Context, t *health.Target) bool
}

// progress is the state of a call after its attempts so far.
type progress struct {
	// verdict covers all attempts: MayHaveRun if any of them may have run.
	verdict snipefront.Verdict
	// sent counts the attempts that reached a target, undelivered the others: the
	// target was unreachable, accepted no requests any more, or another backend server
	// had its address.
	sent, undelivered int
	// reached is true once an attempt has reached a backend server, whether it was the
	// target or not. Each further attempt spends the retry budget.
	reached bool
	// paid is true while an attempt is spent for which none has reached a backend server.
	paid bool
	// avoid names the targets that were tried.
	avoid map[string]bool
	// last is the last attempt, response the last answer that was a server error.
	last     Attempt
	response *snipefront.Response
	// hadFreeSlot reports whether the target of the last attempt had a free slot
	// when it was chosen.
	hadFreeSlot bool
}

// Serve sends c to targets and returns the answer of a backend server, or a
// *snipefront.Error. It returns by the deadline of c.
func (d *Dispatcher) Serve(ctx context.Context, c *Call) (*snipefront.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	d.Budget.Earn(time.Now(), c.Service)
	d.Attempts.Received(c.Service)
	p := progress{verdict: snipefront.NotRun, avoid: map[string]bool{}}
	for {
		if time.Until(c.Deadline) < minAttemptTime || ctx.Err() != nil {
			return d.finish(c, &p, timeoutError(ctx, &p))
		}
		if admission, left := d.Poison.Admit(time.Now(), c.Fingerprint); admission == poison.Quarantined {
			return d.finish(c, &p, withVerdict(poison.Refusal(left), p.verdict))
		}
		chosen, ok := d.choose(ctx, c, p.avoid)
		if !ok {
			return d.finish(c, &p, d.noTargetError(ctx, c, &p))
		}
		if !d.pay(c, &p) {
			chosen.target.Done(time.Now(), health.Neutral)
			return d.finish(c, &p, attemptError(ctx, &p))
		}
		a := d.run(ctx, c, &p, chosen)
		if a.Response != nil && !isServerError(a.Response) {
			return a.Response, nil
		}
		if !d.mayRetry(ctx, c, &p) {
			return d.finish(c, &p, attemptError(ctx, &p))
		}
		d.Counter.Retried(c.Service, a.Reason)
	}
}

// PoisonServer returns the key by which package poison records the incarnation of n.
func PoisonServer(n fleet.Server) poison.Server {
	return poison.Server{Service: n.Service, DataCentre: n.DataCentre, Name: n.Name, Incarnation: n.Incarnation}
}

// withVerdict returns the error e after earlier attempts whose verdict is v. Unless v
// is NotRun, it is a copy with v and status 502, since e alone claims that the request
// did not run.
func withVerdict(e *snipefront.Error, v snipefront.Verdict) *snipefront.Error {
	if v == snipefront.NotRun {
		return e
	}
	return &snipefront.Error{Verdict: v, Reason: e.Reason, Status: http.StatusBadGateway, Detail: e.Detail}
}

// recordAttempt updates p with the result of an attempt and logs it.
func (d *Dispatcher) recordAttempt(c *Call, p *progress, r attemptResult) {
	p.last = r.Attempt
	p.hadFreeSlot = hasFreeSlot(r.snapshot)
	p.avoid[r.target.Server.Name] = true
	if r.Response != nil {
		p.response = r.Response
	}
	if r.Verdict != snipefront.NotRun {
		p.verdict = snipefront.MayHaveRun
	}
	if r.Outcome == health.Unreachable {
		p.undelivered++
	} else {
		p.sent++
	}
	if r.Outcome != health.Unreachable || r.Misdirected {
		p.reached, p.paid = true, false
	}
	d.logAttempt(c, p, r)
}

// logAttempt logs the result of an attempt with the estimate and the snapshot by
// which its target was chosen.
func (d *Dispatcher) logAttempt(c *Call, p *progress, r attemptResult) {
	message, status := "attempt failed", 0
	if r.Response != nil {
		status = r.Response.Status
		if !isServerError(r.Response) {
			message = "attempt answered"
		}
	}
	d.Logger.Info(message, "request", c.ID, "fingerprint", c.Fingerprint, "route", c.Route, "service", c.Service, "server", r.target.Server.Name,
		"attempt", p.sent, "estimated", r.estimate, "load", r.snapshot, "taken", r.taken, "status", status,
		"verdict", r.Verdict, "reason", r.Reason, "error", r.Err, "left", time.Until(c.Deadline))
}

// isServerError reports whether r has a status of 5xx, so that another target may do
// better.
func isServerError(r *snipefront.Response) bool { return r.Status >= http.StatusInternalServerError }

// mayRetry reports whether the call may be sent to another target.
func (d *Dispatcher) mayRetry(ctx context.Context, c *Call, p *progress) bool {
	switch {
	case ctx.Err() != nil, p.sent >= c.Attempts, p.undelivered > maxUndelivered:
		return false
	case p.verdict != snipefront.NotRun && !c.Idempotent:
		return false
	case p.reached && !p.paid && !d.Budget.Left(time.Now(), c.Service):
		d.Attempts.Denied(c.Service)
		return false
	}
	return true
}

// cause returns why the next attempt is made, unless it is a hedge.
func (p *progress) cause() snipefront.Cause {
	switch {
	case !p.reached:
		return snipefront.CauseFirst
	case p.last.Misdirected:
		return snipefront.CauseMisdirected
	}
	return snipefront.CauseRetry
}

// pay spends the retry budget for the next attempt, unless that costs nothing, and
// reports whether the attempt may be made.
func (d *Dispatcher) pay(c *Call, p *progress) bool {
	if p.reached && !p.paid {
		p.paid = d.spend(c)
		return p.paid
	}
	return true
}

// spend takes one attempt at the service of c from the retry budget, or returns false
// if none is left.
func (d *Dispatcher) spend(c *Call) bool {
	if !d.Budget.Spend(time.Now(), c.Service) {
		d.Attempts.Denied(c.Service)
		return false
	}
	return true
}

// finish returns the result of a call that is not retried: the last answer that was a
// server error or, if there was none, the error e.
func (d *Dispatcher) finish(c *Call, p *progress, e *snipefront.Error) (*snipefront.Response, error) {
	if p.response != nil {
		return p.response, nil
	}
	d.Logger.Info("request failed", "request", c.ID, "fingerprint", c.Fingerprint, "route", c.Route, "service", c.Service, "verdict", e.Verdict, "reason", e.Reason,
		"status", e.Status, "attempts", p.sent, "undelivered", p.undelivered, "retryAfter", e.RetryAfter, "targets", len(d.Targets.Candidates(c.Service)), "goalIn", time.Until(c.Goal), "detail", e.Detail)
	return nil, e
}

// timeoutError returns the error of a call whose deadline has passed or whose caller
// has canceled it.
func timeoutError(ctx context.Context, p *progress) *snipefront.Error {
	reason := snipefront.ReasonDeadline
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = snipefront.ReasonCanceled
	}
	if p.verdict == snipefront.NotRun {
		return snipefront.Refused(reason, retryAfter, "the time was over before the request was sent")
	}
	return &snipefront.Error{Verdict: p.verdict, Reason: reason, Status: http.StatusGatewayTimeout, Detail: "no answer in time"}
}

// noTargetError returns the error of a call that no target can accept in time.
func (d *Dispatcher) noTargetError(ctx context.Context, c *Call, p *progress) *snipefront.Error {
	switch {
	case ctx.Err() != nil:
		return timeoutError(ctx, p)
	case p.verdict != snipefront.NotRun:
		return attemptError(ctx, p)
	case len(d.Targets.Candidates(c.Service)) == 0:
		return snipefront.Refused(snipefront.ReasonNoBackendServer, retryAfter, "no backend server takes requests")
	}
	return snipefront.Refused(snipefront.ReasonOverload, retryAfter, "no backend server has room")
}

// attemptError returns the error of a call after its last attempt.
func attemptError(ctx context.Context, p *progress) *snipefront.Error {
	if ctx.Err() != nil {
		return timeoutError(ctx, p)
	}
	detail := "the backend server gave no answer"
	if p.last.Err != nil {
		detail = p.last.Err.Error()
	}
	if p.verdict == snipefront.NotRun {
		return snipefront.Refused(p.last.Reason, p.retryAfter(), detail)
	}
	return &snipefront.Error{Verdict: p.verdict, Reason: p.last.Reason, Status: http.StatusBadGateway, Detail: detail}
}

// retryAfter returns the time after which the caller may resend the call.
func (p *progress) retryAfter() time.Duration {
	if p.last.Misdirected || p.last.Reason == snipefront.ReasonShed && p.hadFreeSlot {
		return shedRetryAfter
	}
	return retryAfter
}
