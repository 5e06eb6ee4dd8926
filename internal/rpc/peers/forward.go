package peers

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/rpc/conns"
	"github.com/snipefront/snipefront/internal/rpc/wire"
)

const (
	defaultProvenFor    = time.Second
	defaultOverdueFloor = 100 * time.Millisecond
)

// Answer is what the owner of a cell made of a request.
type Answer struct {
	Response *snipefront.Response
	// Free and Queued are the owner's counts for the cell.
	Free   int
	Queued int
	// Counted is true where Free and Queued are set.
	Counted bool
}

// Forward asks the instance at address to run r in c. An error is always a
// *snipefront.Error.
//
// Where the connection is silent while a new one works, r is sent once more on a
// new one if it surely did not run or is idempotent.
func (c *Client) Forward(ctx context.Context, address string, e uint64, l snipefront.Cell, r *snipefront.Request, mayQueue bool) (Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	h := &hop{client: c, link: c.peerAt(address), request: r, message: forwardRequest(e, l, r, mayQueue)}
	a, err, silent := h.send(ctx, true)
	if !silent || ctx.Err() != nil || err.Verdict != snipefront.NotRun && !r.Idempotent {
		return a, orNil(err)
	}
	verdict := err.Verdict
	a, err, _ = h.send(ctx, false)
	if err != nil && verdict != snipefront.NotRun {
		err.Verdict = verdict
	}
	return a, orNil(err)
}

// orNil returns e as an error.
func orNil(e *snipefront.Error) error {
	if e == nil {
		return nil
	}
	return e
}

// hop is one request on its way to the owner of a cell.
type hop struct {
	client  *Client
	link    *link
	request *snipefront.Request
	message *wire.ForwardRequest
}

// send sends the request once. The first time an overdue answer is looked into.
// It returns true where the connection was silent while a new one worked. No
// connection opened until then is used again.
func (h *hop) send(ctx context.Context, first bool) (Answer, *snipefront.Error, bool) {
	h.message.Call = h.client.nextCall()
	h.message.TimeoutMicros = time.Until(h.request.Deadline).Microseconds()
	k := call{floor: h.client.overdueFloor(), idempotent: h.request.Idempotent}
	if first {
		k.id = h.message.Call
	}
	if !h.request.Idempotent {
		k.probe.MaxIdle = h.client.provenFor()
	}
	var f *wire.ForwardResponse
	cause, err := h.link.try(ctx, &k, func(ctx context.Context) (err error) {
		f, err = h.link.peer.Forward(ctx, h.message)
		return err
	})
	if err != nil {
		return Answer{}, h.unreached(ctx, &k, err, cause), errors.Is(cause, conns.ErrSilent)
	}
	a, refusal := answerOf(f)
	return a, refusal, false
}

// unreached returns the error for a call that brought no answer.
func (h *hop) unreached(ctx context.Context, k *call, err, cause error) *snipefront.Error {
	if cause != nil {
		err = cause
	}
	e := &snipefront.Error{
		Reason: snipefront.ReasonPeer,
		Status: http.StatusBadGateway,
		Detail: "the owner of the cell did not answer: " + err.Error(),
	}
	if !k.probe.Wrote() {
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

func answerOf(f *wire.ForwardResponse) (Answer, *snipefront.Error) {
	a := Answer{Free: int(f.Free), Queued: int(f.Queued), Counted: true}
	if f.Refusal != nil {
		return a, refusalError(f.Refusal)
	}
	a.Response = &snipefront.Response{
		Status:        int(f.Status),
		Header:        headerOf(f.Header),
		Body:          f.Body,
		BackendServer: f.BackendServer,
	}
	return a, nil
}
