// Package local runs a request on the backend servers of a cell that this
// instance owns.
//
// An attempt that surely did not run may be repeated at another backend server
// of the cell, whatever the request. One that may have run is repeated only for
// an idempotent request. Both draw on the retry budget of the cell.
package local

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
	"github.com/snipefront/snipefront/internal/dispatch/sender"
)

// maxAttempts is the most attempts of one request within a cell.
const maxAttempts = 3

// retryAfter is the time after which a caller may ask again.
const retryAfter = time.Second

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
}

// Run runs r, waiting for a slot where mayQueue allows it. An error is always a
// *snipefront.Error.
func (d *Dispatcher) Run(ctx context.Context, r *snipefront.Request, s snipefront.Service, mayQueue bool) (*snipefront.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	d.Budget.Earn(s.RetryBudget)
	w := cell.Wanted{Importance: r.Importance, Deadline: r.Deadline, MayQueue: mayQueue}
	verdict := snipefront.NotRun
	for i := 1; ; i++ {
		slot, err := d.Cell.Acquire(ctx, w)
		if err != nil {
			return nil, weaken(err, verdict)
		}
		a := d.attempt(ctx, slot, r, s)
		if a.Response != nil {
			return a.Response, nil
		}
		if a.Verdict != snipefront.NotRun {
			verdict = snipefront.MayHaveRun
		}
		if err := d.retry(ctx, i, r, a, verdict); err != nil {
			return nil, err
		}
		d.Counter.Retried(r.Service, a.Reason)
		w.Avoid = slot.BackendServer.Name
	}
}

func (d *Dispatcher) attempt(ctx context.Context, slot *cell.Slot, r *snipefront.Request, s snipefront.Service) sender.Attempt {
	a := d.Sender.Send(ctx, slot.BackendServer, r, s)
	slot.Done(outcome(ctx, a))
	return a
}

// outcome tells the cell what an attempt says of the backend server.
func outcome(ctx context.Context, a sender.Attempt) cell.Outcome {
	switch {
	case a.Response != nil && a.Response.Status < http.StatusInternalServerError:
		return cell.Answered
	case a.Response == nil && errors.Is(ctx.Err(), context.Canceled):
		return cell.Canceled
	default:
		return cell.Troubled
	}
}

// retry returns nil where the attempt may be repeated, else the final answer.
func (d *Dispatcher) retry(ctx context.Context, n int, r *snipefront.Request, a sender.Attempt, v snipefront.Verdict) error {
	e := &snipefront.Error{Verdict: v, Reason: a.Reason, Status: status(a), RetryAfter: retryAfter, Detail: a.Err.Error()}
	switch {
	case ctx.Err() != nil:
		return e
	case v != snipefront.NotRun && !r.Idempotent:
		return e
	case n >= maxAttempts:
		return e
	case !d.Budget.Spend():
		e.Reason = snipefront.ReasonRetryBudget
		return e
	}
	return nil
}

func status(a sender.Attempt) int {
	switch {
	case a.Reason == snipefront.ReasonAttemptLate:
		return http.StatusGatewayTimeout
	case a.Verdict == snipefront.NotRun:
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
