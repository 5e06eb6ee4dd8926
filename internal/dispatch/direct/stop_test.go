package direct_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
)

// stopTime is the time from the begin of a call to that of the planned stop of its instance, whose
// gate refuses all attempts from then on.
const stopTime = 50 * time.Millisecond

// late returns a function that ends the first attempt with a, after the begin of the stop.
func late(a direct.Attempt) func(context.Context) direct.Attempt {
	return func(context.Context) direct.Attempt {
		time.Sleep(2 * stopTime)
		return a
	}
}

// hang answers an attempt after 0.8 s, unless it is canceled before.
func hang(ctx context.Context) direct.Attempt {
	select {
	case <-ctx.Done():
		return broken
	case <-time.After(800 * time.Millisecond):
		return answered
	}
}

// serveInStop sends an idempotent call, with or without a planned stop, and returns the number of
// attempts, the error and the time taken. Each backend server reports the given number of
// running requests, for as long as stopTime if there is no stop. first ends the first attempt.
func serveInStop(t *testing.T, stops bool, running int, first func(context.Context) direct.Attempt) (sent int, taken time.Duration, err error) {
	t.Helper()
	s := &fakeLink{running: running}
	s.send = func(ctx context.Context, name string) direct.Attempt {
		if name == s.sent[0] {
			return first(ctx)
		}
		return answered
	}
	call := newCall(true)
	begin := time.Now()
	call.Refuse = func() *snipefront.Error {
		if !stops || time.Since(begin) < stopTime {
			return nil
		}
		return snipefront.Refused(snipefront.ReasonStopping, time.Millisecond, "the instance stops")
	}
	if !stops {
		time.AfterFunc(stopTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.running = 0
		})
	}
	_, err = newDispatcher(3, s).Serve(t.Context(), call)
	return len(s.sent), time.Since(begin), err
}

// TestNoAttemptBeginsThatOutlastsStop guards against requests that an instance took before its
// planned stop, or early in it, and sends to a backend server late in it, for the first time or once
// more: they are cut off at its end while the backend server works. Without a stop there is one more
// attempt in each case.
func TestNoAttemptBeginsThatOutlastsStop(t *testing.T) {
	for name, c := range map[string]struct {
		running int
		first   func(context.Context) direct.Attempt
		sent    int
		verdict snipefront.Verdict
		// reason is that of the error, or empty if there is none.
		reason snipefront.Reason
		// within is the time that the answer may take.
		within time.Duration
	}{
		"waits for room": {running: 4, first: late(answered), verdict: snipefront.NotRun, reason: snipefront.ReasonStopping, within: 2 * stopTime},
		"refused":        {first: late(shed), sent: 1, verdict: snipefront.NotRun, reason: snipefront.ReasonStopping, within: 2 * stopTime},
		"broken":         {first: late(broken), sent: 1, verdict: snipefront.MayHaveRun, reason: snipefront.ReasonBrokenAnswer, within: 2 * stopTime},
		"overdue":        {first: hang, sent: 1, within: 800 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if sent, _, err := serveInStop(t, false, c.running, c.first); sent != c.sent+1 || err != nil {
					t.Errorf("without a stop: %d attempts and the error %v, want %d and none", sent, err, c.sent+1)
				}
				sent, taken, err := serveInStop(t, true, c.running, c.first)
				if sent != c.sent || taken > c.within {
					t.Errorf("%d attempts in %v, want %d within %v", sent, taken, c.sent, c.within)
				}
				if c.reason == "" {
					if err != nil {
						t.Errorf("the error is %v, want none", err)
					}
					return
				}
				if e := errorOf(t, err); e.Verdict != c.verdict || e.Reason != c.reason {
					t.Errorf("ended with %v, want %v and %v", e, c.verdict, c.reason)
				}
			})
		})
	}
}
