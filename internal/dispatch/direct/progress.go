package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/health"
)

// maxUndelivered is the number of attempts that did not reach their target after which a
// request is still retried. One more ends it.
const maxUndelivered = 4

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
	// spentUnused is true if the retry budget was spent for an attempt that has reached no
	// backend server. The next attempt then costs nothing.
	spentUnused bool
	// avoid names the targets that were tried.
	avoid map[string]bool
	// trial is true while the call is the trial run of a quarantined request.
	trial bool
	// received is when the call came, and granting the time that it has waited for the
	// grants of trial runs.
	received time.Time
	granting time.Duration
	// last is the last attempt, response the last answer that was a server error.
	last     Attempt
	response *snipefront.Response
	// hadFreeSlot reports whether the target of the last attempt had a free slot
	// when it was chosen.
	hadFreeSlot bool
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
		p.reached, p.spentUnused = true, false
	}
	d.countEnd(r)
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
		"attempt", p.sent, "waited", r.begun.Sub(p.received), "choices", r.choices, "granting", p.granting, "signed", r.Signed, "estimated", r.estimate, "load", r.snapshot, "taken", r.taken, "status", status,
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
	case p.mustSpend() && !d.Retries.Left(time.Now(), c.Service):
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

// mustSpend reports whether the next attempt costs a part of the retry budget.
func (p *progress) mustSpend() bool { return p.reached && !p.spentUnused }

// spendForNext spends the retry budget for the next attempt if it must, and reports
// whether the attempt may be made.
func (d *Dispatcher) spendForNext(c *Call, p *progress) bool {
	if !p.mustSpend() {
		return true
	}
	p.spentUnused = d.spend(c)
	return p.spentUnused
}

// spend takes one attempt at the service of c from the retry budget, or returns false
// if none is left.
func (d *Dispatcher) spend(c *Call) bool {
	if !d.Retries.Spend(time.Now(), c.Service) {
		d.Attempts.Denied(c.Service)
		return false
	}
	return true
}
