package peers

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/rpc/conns"
	"github.com/snipefront/snipefront/internal/rpc/heads"
	"github.com/snipefront/snipefront/internal/rpc/wire"
)

const (
	defaultProvenFor    = time.Second
	defaultOverdueFloor = 100 * time.Millisecond
)

// Answer is the owner's answer to a forwarded request.
type Answer struct {
	Response *snipefront.Response
	// Free and Queued are the numbers of free slots and of queued requests in the
	// cell.
	Free   int
	Queued int
	// Counted is true if Free and Queued are set.
	Counted bool
}

// Forward forwards r to the instance at address, which dispatches it in cell. If
// mayQueue is true, r may wait there for a free slot. epoch is the membership epoch by
// which the sender chose the instance. An error is always a *snipefront.Error.
//
// If the connection turns out to be half-open, r is sent once more on a new one,
// provided that it certainly did not run or is idempotent.
func (c *Client) Forward(ctx context.Context, address string, epoch uint64, cell snipefront.Cell, r *snipefront.Request, mayQueue bool) (Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	h := &hop{client: c, link: c.peerLink(address), request: r, message: forwardRequest(epoch, cell, r, mayQueue)}
	a, err, halfOpen := h.send(ctx, true)
	if !halfOpen || ctx.Err() != nil || err.Verdict != snipefront.NotRun && !r.Idempotent {
		return a, orNil(err)
	}
	verdict := err.Verdict
	a, err, _ = h.send(ctx, false)
	if err != nil && verdict != snipefront.NotRun {
		err.Verdict = verdict
	}
	return a, orNil(err)
}

// orNil returns e as an error. A nil e becomes a nil interface.
func orNil(e *snipefront.Error) error {
	if e == nil {
		return nil
	}
	return e
}

// hop forwards one request to the owner of a cell.
type hop struct {
	client  *Client
	link    *link
	request *snipefront.Request
	message *wire.ForwardRequest
}

// send sends the request once. If checkOverdue is true, the call is checked when its
// answer is overdue. The last result reports whether the connection was half-open.
// If so, no connection opened until then is used again.
func (h *hop) send(ctx context.Context, checkOverdue bool) (Answer, *snipefront.Error, bool) {
	h.message.Call = h.client.nextCall()
	h.message.TimeoutMicros = time.Until(h.request.Deadline).Microseconds()
	k := call{floor: h.client.overdueFloor(), idempotent: h.request.Idempotent}
	if checkOverdue {
		k.id = h.message.Call
	}
	if !h.request.Idempotent {
		k.tracker.MaxIdle = h.client.provenFor()
	}
	var f *wire.ForwardResponse
	cause, err := h.link.doChecked(ctx, &k, func(ctx context.Context) (err error) {
		f, err = h.link.peer.Forward(ctx, h.message)
		return err
	})
	if err != nil {
		return Answer{}, h.noAnswerError(ctx, &k, err, cause), errors.Is(cause, conns.ErrHalfOpen)
	}
	a, refusal := answerOf(h.request, f)
	return a, refusal, false
}

// noAnswerError returns the error for a call that ended without an answer.
func (h *hop) noAnswerError(ctx context.Context, k *call, err, cause error) *snipefront.Error {
	if cause != nil {
		err = cause
	}
	e := &snipefront.Error{
		Reason: snipefront.ReasonPeer,
		Status: http.StatusBadGateway,
		Detail: "the owner of the cell did not answer: " + err.Error(),
	}
	if !k.tracker.Wrote() {
		e.Verdict = snipefront.NotRun
		e.Status = http.StatusServiceUnavailable
	}
	if e.Verdict == snipefront.NotRun || h.request.Idempotent || h.request.IdempotencyKey != "" {
		e.RetryAfter = time.Second
	}
	switch {
	case errors.Is(k.err, errTooBig) && e.Verdict == snipefront.NotRun:
		e.Reason, e.Status, e.RetryAfter = snipefront.ReasonTooLarge, http.StatusRequestEntityTooLarge, 0
	case errors.Is(k.err, errTooBig):
		e.Reason, e.RetryAfter = snipefront.ReasonAnswerTooBig, 0
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Status = http.StatusGatewayTimeout
	}
	return e
}

// answerOf returns what the owner answered to r. An answer or a refusal that can't be given to a
// caller, which an instance of an earlier version may forward, is a broken answer.
func answerOf(r *snipefront.Request, f *wire.ForwardResponse) (Answer, *snipefront.Error) {
	a := Answer{Free: int(f.Free), Queued: int(f.Queued), Counted: true}
	if f.Refusal != nil {
		if err := heads.CheckFinal(int(f.Refusal.Status), nil); err != nil {
			return a, brokenError(r, err)
		}
		return a, refusalError(f.Refusal)
	}
	response := &snipefront.Response{
		Status:        int(f.Status),
		Header:        headerOf(f.Header),
		Body:          f.Body,
		BackendServer: f.BackendServer,
	}
	if err := heads.CheckFinal(response.Status, response.Header); err != nil {
		return a, brokenError(r, err)
	}
	a.Response = response
	return a, nil
}

// brokenError returns the error for a broken answer to r, which may have run.
func brokenError(r *snipefront.Request, err error) *snipefront.Error {
	e := &snipefront.Error{Verdict: snipefront.MayHaveRun, Reason: snipefront.ReasonBrokenAnswer, Status: http.StatusBadGateway, Detail: err.Error()}
	if r.Idempotent || r.IdempotencyKey != "" {
		e.RetryAfter = time.Second
	}
	return e
}
