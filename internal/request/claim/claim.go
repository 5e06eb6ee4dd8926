// Package claim lets a request with an idempotency key run at most once.
//
// Before the request is dispatched, a claim on its key is made durable on the
// control quorum. A resend through any instance finds the claim and gets the
// stored response, or the verdict that the request may have run. A claim is
// released only if the request certainly did not run.
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
	// maxStoredBytes bounds the body of a response that is stored for resends.
	maxStoredBytes = 64 << 10
	// settleTimeout bounds the time for which the settlement of a claim is retried.
	// While a claim is unsettled, a resend is refused with the verdict MayHaveRun.
	settleTimeout = time.Minute
	// settleInterval is the time between two attempts to settle a claim.
	settleInterval = 100 * time.Millisecond
	// retryAfterFull is the Retry-After time when no more claims can be stored.
	retryAfterFull = time.Minute
	// retryAfterPending is the Retry-After time when the outcome of a claim is not known.
	retryAfterPending = time.Second
)

// Proposer applies commands to the replicated state.
type Proposer interface {
	Propose(ctx context.Context, c state.Command, result any) error
}

// Filter implements snipefront.Filter. Set the exported fields before use.
type Filter struct {
	Proposer Proposer
	// Origin is the prefix of claim tokens. It is unique to this run of the instance.
	Origin string
	Logger *slog.Logger

	sequence atomic.Uint64
	pending  atomic.Int64
}

// Filter calls next. If the request has an idempotency key, it claims the key first
// and settles the claim afterwards.
func (f *Filter) Filter(ctx context.Context, r *snipefront.Request, next snipefront.Handler) (*snipefront.Response, error) {
	if r.IdempotencyKey == "" {
		return next.Serve(ctx, r)
	}
	c := &state.Claim{
		Key:         r.Service + "\x00" + r.IdempotencyKey,
		Fingerprint: r.KeyFingerprint(),
		Token:       f.Origin + "/" + strconv.FormatUint(f.sequence.Add(1), 10),
	}
	replayed, err := f.claim(ctx, r, c)
	if replayed != nil || err != nil {
		return replayed, err
	}
	resp, err := next.Serve(ctx, r)
	f.settle(ctx, c, resp, err)
	return resp, err
}

// Pending returns the number of claims that are still being settled.
func (f *Filter) Pending() int {
	return int(f.pending.Load())
}

// claim claims the key of r. It returns a response or an error if r must not run, and
// nil for both once the claim is granted. If the proposal fails, the claim is released,
// since the proposal may still be applied.
func (f *Filter) claim(ctx context.Context, r *snipefront.Request, c *state.Claim) (*snipefront.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	var result state.ClaimResult
	if err := f.Proposer.Propose(ctx, state.Command{Claim: c}, &result); err != nil {
		f.release(ctx, c)
		return nil, &snipefront.Error{
			Reason:     snipefront.ReasonClaimUnavailable,
			Status:     http.StatusServiceUnavailable,
			RetryAfter: retryAfterPending,
			Detail:     "no claim could be made; an earlier request with this idempotency key may have run: " + err.Error(),
		}
	}
	switch result.Outcome {
	case state.ClaimGranted:
		return nil, nil
	case state.ClaimRan:
		return replay(result.Answer)
	case state.ClaimFull:
		return nil, snipefront.Refused(snipefront.ReasonClaimFull, retryAfterFull, "no more claims can be kept")
	case state.ClaimMismatch:
		return nil, snipefront.Rejected(snipefront.ReasonClaimMismatch, http.StatusUnprocessableEntity, "the idempotency key was used for a different request")
	default:
		return nil, &snipefront.Error{
			Reason:     snipefront.ReasonClaimPending,
			Status:     http.StatusConflict,
			RetryAfter: retryAfterPending,
			Detail:     "a request with this idempotency key is running or may have run",
		}
	}
}

// settle records a response in the claim of its request, or releases the claim if the
// request did not run. After any other error the claim stays unsettled.
func (f *Filter) settle(ctx context.Context, c *state.Claim, resp *snipefront.Response, err error) {
	if err == nil {
		f.settleAsync(ctx, &state.Settle{Key: c.Key, Token: c.Token, Answer: storedAnswer(resp)})
		return
	}
	if snipefront.AsError(err).Verdict == snipefront.NotRun {
		f.release(ctx, c)
	}
}

func (f *Filter) release(ctx context.Context, c *state.Claim) {
	f.settleAsync(ctx, &state.Settle{Key: c.Key, Token: c.Token, Release: true})
}

// settleAsync proposes s in the background, so that the response need not wait for it.
func (f *Filter) settleAsync(ctx context.Context, s *state.Settle) {
	f.pending.Add(1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	go func() {
		defer f.pending.Add(-1)
		defer cancel()
		if err := f.proposeUntilApplied(ctx, s); err != nil {
			f.Logger.Warn("could not settle the claim; resends are refused, since the request may have run", "release", s.Release, "error", err)
		}
	}()
}

// proposeUntilApplied proposes s until a proposal succeeds or ctx ends. A claim is
// settled only by the request whose token it holds, so a late proposal does not affect
// the claim of another request.
func (f *Filter) proposeUntilApplied(ctx context.Context, s *state.Settle) error {
	for {
		var result state.SettleResult
		err := f.Proposer.Propose(ctx, state.Command{Settle: s}, &result)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(settleInterval):
		}
	}
}

// storedAnswer returns r as it is stored in a claim, or nil if its body is too large.
func storedAnswer(r *snipefront.Response) *state.Answer {
	if len(r.Body) > maxStoredBytes {
		return nil
	}
	return &state.Answer{Status: r.Status, Header: r.Header, Body: r.Body}
}

// replay returns the stored response of a request that ran, or an error if the response
// was too large to store.
func replay(a *state.Answer) (*snipefront.Response, error) {
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
