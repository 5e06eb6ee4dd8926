// Package claim lets a request with an idempotency key run at most once.
//
// Before the request is dispatched, a claim on its key is made durable on the
// control quorum. A resend, through any instance, finds the claim: it gets the
// kept answer, or is told truthfully that the request may have run. A claim is
// released only where the request has surely not run.
package claim

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/state"
)

const (
	// maxKeptBytes bounds the body of an answer that is kept for resends.
	maxKeptBytes = 64 << 10
	// settleTimeout bounds how long the end of a claim is tried. A claim that is
	// not ended has its resends told that the request may have run.
	settleTimeout = time.Minute
	// settlePause is the time between two tries.
	settlePause = 100 * time.Millisecond
	// retryPending is the time after which a resend may learn more.
	retryPending = time.Second
)

// Proposer applies a command to the replicated state.
type Proposer interface {
	Propose(ctx context.Context, c state.Command, result any) error
}

// Filter implements snipefront.Filter. Set the exported fields before use.
type Filter struct {
	Proposer Proposer
	// Origin is unique to this start of this instance.
	Origin string
	Logger *slog.Logger

	count   atomic.Uint64
	pending atomic.Int64
}

// Filter passes requests without a key on. For others it claims the key first.
func (f *Filter) Filter(ctx context.Context, r *snipefront.Request, next snipefront.Handler) (*snipefront.Response, error) {
	if r.IdempotencyKey == "" {
		return next.Serve(ctx, r)
	}
	c := &state.Claim{
		Key:         r.Service + "\x00" + r.IdempotencyKey,
		Fingerprint: r.Fingerprint,
		Token:       f.Origin + "/" + strconv.FormatUint(f.count.Add(1), 10),
	}
	held, err := f.claim(ctx, r, c)
	if held != nil || err != nil {
		return held, err
	}
	resp, err := next.Serve(ctx, r)
	f.settle(ctx, c, resp, err)
	return resp, err
}

// Pending returns the number of claims whose end is not yet durable.
func (f *Filter) Pending() int {
	return int(f.pending.Load())
}

// claim returns the final answer where the request must not run.
func (f *Filter) claim(ctx context.Context, r *snipefront.Request, c *state.Claim) (*snipefront.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	var result state.ClaimResult
	if err := f.Proposer.Propose(ctx, state.Command{UnixMillis: time.Now().UnixMilli(), Claim: c}, &result); err != nil {
		f.release(ctx, c)
		return nil, snipefront.Refused(snipefront.ReasonClaimUnavailable, retryPending, "this request was not sent, since its claim could not be made durable: "+err.Error())
	}
	switch result.Outcome {
	case state.ClaimGranted:
		return nil, nil
	case state.ClaimRan:
		return kept(result.Answer)
	case state.ClaimMismatch:
		return nil, snipefront.Rejected(snipefront.ReasonClaimMismatch, http.StatusUnprocessableEntity, "the idempotency key was used for a different request")
	default:
		return nil, &snipefront.Error{
			Reason:     snipefront.ReasonClaimPending,
			Status:     http.StatusConflict,
			RetryAfter: retryPending,
			Detail:     "a request with this idempotency key is running or may have run",
		}
	}
}

// settle ends the claim according to what became of the request.
func (f *Filter) settle(ctx context.Context, c *state.Claim, resp *snipefront.Response, err error) {
	if err == nil {
		f.end(ctx, &state.Settle{Key: c.Key, Token: c.Token, Answer: answerOf(resp)})
		return
	}
	if snipefront.AsError(err).Verdict == snipefront.NotRun {
		f.release(ctx, c)
	}
}

func (f *Filter) release(ctx context.Context, c *state.Claim) {
	f.end(ctx, &state.Settle{Key: c.Key, Token: c.Token, Release: true})
}

// end proposes s apart from the request, whose answer need not wait for it.
func (f *Filter) end(ctx context.Context, s *state.Settle) {
	f.pending.Add(1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	go func() {
		defer f.pending.Add(-1)
		defer cancel()
		if err := f.propose(ctx, s); err != nil {
			f.Logger.Warn("claim not settled", "release", s.Release, "error", err)
		}
	}()
}

// propose proposes s until the result is known or ctx ends. Only the execution
// that holds the claim can end it, so a late proposal harms no other.
func (f *Filter) propose(ctx context.Context, s *state.Settle) error {
	for {
		var result state.SettleResult
		err := f.Proposer.Propose(ctx, state.Command{UnixMillis: time.Now().UnixMilli(), Settle: s}, &result)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(settlePause):
		}
	}
}

func answerOf(r *snipefront.Response) *state.Answer {
	if len(r.Body) > maxKeptBytes {
		return nil
	}
	return &state.Answer{Status: r.Status, Header: r.Header, Body: r.Body}
}

// kept returns the kept answer of a request that ran.
func kept(a *state.Answer) (*snipefront.Response, error) {
	if a == nil {
		return nil, &snipefront.Error{
			Verdict: snipefront.Ran,
			Reason:  snipefront.ReasonClaimPending,
			Status:  http.StatusConflict,
			Detail:  "the request ran and its answer was too large to keep",
		}
	}
	h := http.Header(a.Header).Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set("Idempotent-Replayed", "true")
	return &snipefront.Response{Status: a.Status, Header: h, Body: a.Body}, nil
}
