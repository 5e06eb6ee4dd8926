// Package local runs a request on the backend servers of a cell that this
// instance owns.
//
// Any request may be retried at another backend server of the cell if the attempt
// certainly did not run. If it may have run, only an idempotent request is retried,
// and only once if the connection broke, since the request itself may have crashed
// the backend server. Retries spend the retry budget of the cell, except those after
// a failure to connect, which cost no backend server any work.
//
// An idempotent request with a slow answer may be hedged: a second attempt runs
// beside the first, at another backend server with a free slot and within the hedge
// budget. The first answer with a status below 500 wins and the other attempt is
// canceled.
package local

import (
	"context"
	"net/http"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
	"github.com/snipefront/snipefront/internal/dispatch/sender"
	"github.com/snipefront/snipefront/internal/request/poison"
)

const (
	// maxAttempts is the maximum number of attempts of one request within a cell,
	// not counting hedges.
	maxAttempts = 3
	// cancelDelay is the time within which a backend server notices that an attempt
	// was canceled. The slot stays taken until then.
	cancelDelay = 5 * time.Millisecond
	// retryAfter is the time after which a caller may resend a request.
	retryAfter = time.Second
)

// Counter counts retries by their reason.
type Counter interface {
	Retried(service string, reason snipefront.Reason)
}

// Dispatcher runs requests in one cell. Set the exported fields before use.
type Dispatcher struct {
	Cell    *cell.Cell
	Sender  *sender.Sender
	Budget  *budget.Share
	Counter Counter
	// Hedges is the hedge budget. Nil disables hedging.
	Hedges *budget.Share
	// HedgeAfter returns the time after which an attempt is hedged. Zero, or a nil
	// function, disables hedging.
	HedgeAfter func() time.Duration
	// Poison records the requests that were in flight on crashed backend servers.
	// Nil records none.
	Poison *poison.Register

	suspects suspects
}

// progress is the state of a request across its attempts.
type progress struct {
	// verdict is NotRun until an attempt may have run.
	verdict snipefront.Verdict
	// attempts counts the attempts, not the hedges.
	attempts int
	// broken counts the attempts whose connection broke, hedges included.
	broken int
	// halfOpen is true once an attempt has ended on a half-open connection.
	halfOpen bool
}

// record adds the result of an attempt to p.
func (p *progress) record(a sender.Attempt) {
	if a.Verdict != snipefront.NotRun {
		p.verdict = snipefront.MayHaveRun
	}
	if isBroken(a) {
		p.broken++
	}
	p.halfOpen = p.halfOpen || a.Silent
}

// Run runs r and returns the answer. It waits for a free slot only if mayQueue is
// true. The error is always a *snipefront.Error.
func (d *Dispatcher) Run(ctx context.Context, r *snipefront.Request, service snipefront.Service, mayQueue bool) (*snipefront.Response, error) {
	ctx, cancel := withDeadline(ctx, r.Deadline)
	defer cancel()
	d.earn(r, service)
	slotRequest := cell.SlotRequest{Importance: r.Importance, Deadline: r.Deadline, MayQueue: mayQueue}
	p := progress{verdict: snipefront.NotRun, broken: r.Broken}
	var last error
	for {
		a, avoid, err := d.attempt(ctx, slotRequest, r, service, &p)
		if err != nil {
			return nil, withVerdict(firstError(last, err), p.verdict)
		}
		if a.Response != nil {
			return a.Response, nil
		}
		retry := false
		if retry, last = d.retry(ctx, r, a, &p); !retry {
			return nil, last
		}
		d.Counter.Retried(r.Service, a.Reason)
		if avoid != "" {
			slotRequest.Avoid = append(slotRequest.Avoid, avoid)
		}
	}
}

// withDeadline returns ctx with the deadline, or ctx itself if it ends no later.
func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if own, ok := ctx.Deadline(); ok && !own.After(deadline) {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline)
}

// earn adds the share of r to the retry budget and, if r may be hedged, to the hedge
// budget.
func (d *Dispatcher) earn(r *snipefront.Request, service snipefront.Service) {
	d.Budget.Earn(service.RetryBudget)
	if d.Hedges != nil && r.Idempotent {
		d.Hedges.Earn(service.HedgeBudget)
	}
}

// retry reports whether r may be retried in this cell after the attempt a, and returns
// the error for the caller if it is not. The budget is also spent for a retry in another
// cell, which the error allows unless its reason is that the budget is used up.
func (d *Dispatcher) retry(ctx context.Context, r *snipefront.Request, a sender.Attempt, p *progress) (ok bool, final error) {
	e := &snipefront.Error{
		Verdict:    p.verdict,
		Reason:     a.Reason,
		Status:     statusOf(a, p.verdict),
		RetryAfter: retryAfterOf(r, a, p.verdict),
		Detail:     a.Err.Error(),
		Broken:     p.broken,
	}
	switch {
	case ctx.Err() != nil:
		return false, e
	case p.verdict != snipefront.NotRun && !r.Idempotent:
		return false, e
	case isPermanent(a), p.broken >= snipefront.MaxBrokenAttempts:
		return false, e
	case a.Reason != snipefront.ReasonConnect && !d.Budget.Spend():
		e.Reason = snipefront.ReasonRetryBudget
		return false, e
	}
	return p.attempts < maxAttempts, e
}

// firstError returns a, or b if a is nil.
func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// isPermanent reports whether a retry would fail for the same reason as a.
func isPermanent(a sender.Attempt) bool {
	return a.Reason == snipefront.ReasonBadRequest || a.Reason == snipefront.ReasonAnswerTooBig
}

// isBroken reports whether the connection of a broke while the request may have
// been running.
func isBroken(a sender.Attempt) bool {
	return a.Response == nil && a.Verdict != snipefront.NotRun && a.Reason == snipefront.ReasonBrokenAnswer
}

// retryAfterOf returns the time after which the caller may resend r, or zero if a
// resend would fail again or could run r twice. The latter holds for a request that
// may have run, is not idempotent and has no idempotency key to identify a resend.
func retryAfterOf(r *snipefront.Request, a sender.Attempt, v snipefront.Verdict) time.Duration {
	if isPermanent(a) {
		return 0
	}
	if v != snipefront.NotRun && !r.Idempotent && r.IdempotencyKey == "" {
		return 0
	}
	return retryAfter
}

func statusOf(a sender.Attempt, v snipefront.Verdict) int {
	switch {
	case a.Reason == snipefront.ReasonBadRequest:
		return http.StatusBadRequest
	case a.Reason == snipefront.ReasonAttemptLate:
		return http.StatusGatewayTimeout
	case v == snipefront.NotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadGateway
	}
}

// withVerdict returns err with the verdict v of the attempts before it. If v is
// NotRun, err keeps its own verdict.
func withVerdict(err error, v snipefront.Verdict) error {
	if v == snipefront.NotRun {
		return err
	}
	e := *snipefront.AsError(err)
	e.Verdict = v
	return &e
}
