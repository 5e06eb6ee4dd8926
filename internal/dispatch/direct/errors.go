package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
)

const (
	// retryAfter is the time after which a caller may resend a refused request if
	// the wait for a free slot is unknown.
	retryAfter = 200 * time.Millisecond
	// shedRetryAfter replaces retryAfter if the target that refused the request had a
	// free slot, or was gone: its refusal did not depend on the load, so a resend may soon
	// succeed.
	shedRetryAfter = 20 * time.Millisecond
)

// finish returns the result of a call that is not retried: the last answer that was a
// server error or, if there was none, the error e. If c may have run and is quarantined now,
// the error tells when a resend may run.
func (d *Dispatcher) finish(c *Call, p *progress, e *snipefront.Error) (*snipefront.Response, error) {
	if p.response != nil {
		return p.response, nil
	}
	if c.Idempotent && e.Verdict == snipefront.MayHaveRun {
		_, e.RetryAfter = d.admission(time.Now(), c)
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

// noTargetError returns the error of a call that no target can accept in time, after the
// last choice.
func (d *Dispatcher) noTargetError(ctx context.Context, c *Call, p *progress, last choice) *snipefront.Error {
	switch {
	case ctx.Err() != nil:
		return timeoutError(ctx, p)
	case p.verdict != snipefront.NotRun:
		return attemptError(ctx, p)
	case len(d.Targets.Candidates(c.Service)) == 0:
		return snipefront.Refused(snipefront.ReasonNoBackendServer, retryAfter, "no backend server takes requests")
	}
	if last.refusal != nil {
		return last.refusal
	}
	if last.pauseWait > 0 {
		return snipefront.Refused(snipefront.ReasonPaused, last.pauseWait, "all backend servers are paused or unreachable")
	}
	if last.quotaWait > 0 {
		return snipefront.Refused(snipefront.ReasonRateLimit, max(retryAfter, last.quotaWait), "the rate limits of all backend servers are used up")
	}
	return snipefront.Refused(snipefront.ReasonOverload, c.overloadRetryAfter(), "no backend server has room")
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

// withVerdict returns the error e after earlier attempts whose verdict is v. Unless v
// is NotRun, it is a copy with v and status 502, since e alone claims that the request
// did not run.
func withVerdict(e *snipefront.Error, v snipefront.Verdict) *snipefront.Error {
	if v == snipefront.NotRun {
		return e
	}
	return &snipefront.Error{Verdict: v, Reason: e.Reason, Status: http.StatusBadGateway, Detail: e.Detail}
}
