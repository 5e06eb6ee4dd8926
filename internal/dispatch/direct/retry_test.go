package direct_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/health"
)

// TestRetries guards against running a request twice that is not idempotent: it is
// retried only after an attempt that certainly did not run. An idempotent request is
// also retried after a broken connection. A retry goes to another target.
func TestRetries(t *testing.T) {
	for name, c := range map[string]struct {
		idempotent bool
		first      direct.Attempt
		sent       int
		verdict    snipefront.Verdict
		ok         bool
	}{
		"idempotent, broken":          {idempotent: true, first: broken, sent: 2, ok: true},
		"not idempotent, broken":      {first: broken, sent: 1, verdict: snipefront.MayHaveRun},
		"not idempotent, not run":     {first: shed, sent: 2, ok: true},
		"not idempotent, unreachable": {first: direct.Attempt{Verdict: snipefront.NotRun, Outcome: health.Unreachable}, sent: 2, ok: true},
		"not idempotent, answered":    {first: answered, sent: 1, ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeLink{}
				s.send = func(context.Context, string) direct.Attempt {
					if len(s.sent) == 1 {
						return c.first
					}
					return answered
				}
				_, err := newDispatcher(3, s).Serve(t.Context(), newCall(c.idempotent))
				if len(s.sent) != c.sent || slices.Contains(s.sent[1:], s.sent[0]) {
					t.Errorf("sent to %v, want %d different", s.sent, c.sent)
				}
				if (err == nil) != c.ok {
					t.Fatalf("error %v, want one only if the request may have run and is not idempotent", err)
				}
				if err == nil {
					return
				}
				if e := errorOf(t, err); e.Verdict != c.verdict {
					t.Errorf("the verdict is %v, want %v", e.Verdict, c.verdict)
				}
			})
		})
	}
}

// TestAttemptsAreBounded checks that a request is sent to no more targets than its
// route allows, even if each of them refuses it.
func TestAttemptsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLink{send: func(context.Context, string) direct.Attempt { return shed }}
		_, err := newDispatcher(5, s).Serve(t.Context(), newCall(true))
		if e := errorOf(t, err); e.Verdict != snipefront.NotRun || e.RetryAfter == 0 {
			t.Errorf("ended with %v, want a refusal with verdict not-run and a retry delay", e)
		}
		if len(s.sent) != 2 {
			t.Errorf("sent to %v, want two targets", s.sent)
		}
	})
}

// TestOverdueIdempotentRequestIsHedged guards against spending the whole deadline of
// a request on a backend server that does not answer. An idempotent request is sent
// to a second one beside it; any other is not, since both might run it.
func TestOverdueIdempotentRequestIsHedged(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeLink{}
			s.send = func(ctx context.Context, name string) direct.Attempt {
				if name == s.sent[0] {
					<-ctx.Done()
					return broken
				}
				return answered
			}
			begun := time.Now()
			_, err := newDispatcher(3, s).Serve(t.Context(), newCall(idempotent))
			taken := time.Since(begun)
			if idempotent && (err != nil || taken > 500*time.Millisecond || len(s.sent) != 2) {
				t.Errorf("idempotent: error %v after %v, sent to %v; want an answer within 500ms after two attempts", err, taken, s.sent)
			}
			if !idempotent && (err == nil || len(s.sent) != 1) {
				t.Errorf("not idempotent: error %v after %v, sent to %v; want an error after one attempt", err, taken, s.sent)
			}
		})
	}
}
