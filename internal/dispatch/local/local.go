// Package local runs a request on the backend servers of a cell that this
// instance owns.
//
// An attempt that surely did not run may be repeated at another backend server
// of the cell, whatever the request. One that may have run is repeated only for
// an idempotent request, and only once where the connection broke, since the
// request itself may be what made the backend server fall. All repeats draw on
// the retry budget of the cell, but for those after a connection that could not
// be made, which cost no backend server any work.
//
// An idempotent request whose answer takes long may be sent a second time while
// the first attempt is running, to a backend server with a free slot and within
// the hedge budget. The first good answer wins and the other attempt is
// canceled.
package local

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
	"github.com/snipefront/snipefront/internal/dispatch/sender"
	"github.com/snipefront/snipefront/internal/request/poison"
)

const (
	// maxAttempts is the most attempts of one request within a cell, without
	// hedges.
	maxAttempts = 3
	// cancelTime is the time in which a backend server learns that an attempt was
	// given up.
	cancelTime = 5 * time.Millisecond
	// retryAfter is the time after which a caller may ask again.
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
	// Hedges bounds second attempts. Nil allows none.
	Hedges *budget.Share
	// HedgeAfter returns the time after which an attempt is hedged. Nil, and a
	// result of zero, mean never.
	HedgeAfter func() time.Duration
	// Poison remembers the requests under which backend servers fell. Nil
	// remembers none.
	Poison *poison.Register

	once sync.Once
	// alone holds a token while a suspect runs.
	alone chan struct{}
}

// progress is what became of a request so far.
type progress struct {
	// verdict is the weakest of all attempts.
	verdict snipefront.Verdict
	// attempts counts the attempts without hedges.
	attempts int
	// broken counts the attempts whose connection broke, hedges included.
	broken int
	// silent is true once a connection was silent while a new one worked.
	silent bool
}

// note takes in an attempt that brought no answer.
func (p *progress) note(a sender.Attempt) {
	if a.Verdict != snipefront.NotRun {
		p.verdict = snipefront.MayHaveRun
	}
	if isBroken(a) {
		p.broken++
	}
	p.silent = p.silent || a.Silent
}

// Run runs r, waiting for a slot where mayQueue allows it. An error is always a
// *snipefront.Error.
func (d *Dispatcher) Run(ctx context.Context, r *snipefront.Request, s snipefront.Service, mayQueue bool) (*snipefront.Response, error) {
	ctx, cancel := until(ctx, r.Deadline)
	defer cancel()
	d.earn(r, s)
	w := cell.Wanted{Importance: r.Importance, Deadline: r.Deadline, MayQueue: mayQueue}
	p := progress{verdict: snipefront.NotRun, broken: r.Broken}
	var last error
	for {
		a, avoid, err := d.attempt(ctx, w, r, s, &p)
		if err != nil {
			return nil, weaken(first(last, err), p.verdict)
		}
		if a.Response != nil {
			return a.Response, nil
		}
		again := false
		if again, last = d.retry(ctx, r, a, &p); !again {
			return nil, last
		}
		d.Counter.Retried(r.Service, a.Reason)
		if avoid != "" {
			w.Avoid = append(w.Avoid, avoid)
		}
	}
}

// until returns ctx with the deadline, which its own may already be.
func until(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if own, ok := ctx.Deadline(); ok && !own.After(deadline) {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline)
}

func (d *Dispatcher) earn(r *snipefront.Request, s snipefront.Service) {
	d.Budget.Earn(s.RetryBudget)
	if d.Hedges != nil && r.Idempotent {
		d.Hedges.Earn(s.HedgeBudget)
	}
}

// retry returns whether the attempt a may be repeated, and the final answer where
// it is not.
func (d *Dispatcher) retry(ctx context.Context, r *snipefront.Request, a sender.Attempt, p *progress) (again bool, final error) {
	e := &snipefront.Error{
		Verdict:    p.verdict,
		Reason:     a.Reason,
		Status:     status(a, p.verdict),
		RetryAfter: askAgain(r, a, p.verdict),
		Detail:     a.Err.Error(),
		Broken:     p.broken,
	}
	switch {
	case ctx.Err() != nil:
		return false, e
	case p.verdict != snipefront.NotRun && !r.Idempotent:
		return false, e
	case isFinal(a), p.attempts >= maxAttempts, p.broken >= snipefront.MaxBroken:
		return false, e
	case a.Reason != snipefront.ReasonConnect && !d.Budget.Spend():
		e.Reason = snipefront.ReasonRetryBudget
		return false, e
	}
	return true, e
}

// first returns the earlier of two errors that is not nil.
func first(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// isFinal returns whether a repeat of a would end the same way.
func isFinal(a sender.Attempt) bool {
	return a.Reason == snipefront.ReasonBadRequest || a.Reason == snipefront.ReasonAnswerTooBig
}

// isBroken returns whether the connection broke while the request may have been
// running.
func isBroken(a sender.Attempt) bool {
	return a.Response == nil && a.Verdict != snipefront.NotRun && a.Reason == snipefront.ReasonBrokenAnswer
}

// askAgain returns the time after which the caller may ask again. It is zero
// for a request that may have run, must not run twice and has no key by which a
// resend could be told from a new request.
func askAgain(r *snipefront.Request, a sender.Attempt, v snipefront.Verdict) time.Duration {
	if isFinal(a) {
		return 0
	}
	if v != snipefront.NotRun && !r.Idempotent && r.IdempotencyKey == "" {
		return 0
	}
	return retryAfter
}

func status(a sender.Attempt, v snipefront.Verdict) int {
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

// weaken returns err with the verdict of the attempts before it, where that is
// weaker.
func weaken(err error, v snipefront.Verdict) error {
	if v == snipefront.NotRun {
		return err
	}
	e := *snipefront.AsError(err)
	e.Verdict = v
	return &e
}
