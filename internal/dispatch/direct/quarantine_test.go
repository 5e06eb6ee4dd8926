package direct_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/request/poison"
)

// quarantineElsewhere tells d that the request of newCall crashed two backend servers at
// other instances.
func quarantineElsewhere(d *direct.Dispatcher) {
	d.Poison.Merge(time.Now(), []poison.Record{{Fingerprint: 7, Left: time.Minute, Crashed: []poison.Server{{Name: "x"}, {Name: "y"}}}})
}

// neverAnswer is a backend server that answers nothing.
func neverAnswer(ctx context.Context, _ string) direct.Attempt {
	<-ctx.Done()
	return broken
}

// TestWaitingRequestIsQuarantined guards against a request that is sent although it was
// quarantined while it waited for a backend server with a free slot.
func TestWaitingRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLink{running: 20}
		s.send = func(context.Context, string) direct.Attempt { return answered }
		d := newDispatcher(2, s)
		time.AfterFunc(50*time.Millisecond, func() { quarantineElsewhere(d) })
		time.AfterFunc(100*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.running = 0
		})
		_, err := d.Serve(t.Context(), newCall(true))
		if e := errorOf(t, err); e.Reason != snipefront.ReasonQuarantined || len(s.sent) > 0 {
			t.Errorf("the request ended with %v and reached %v, want a refusal as quarantined", e, s.sent)
		}
	})
}

// TestQuarantinedRequestIsNotHedged guards against a second backend server that receives a
// request since its answer is overdue, though it was quarantined meanwhile.
func TestQuarantinedRequestIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLink{send: neverAnswer}
		d := newDispatcher(3, s)
		time.AfterFunc(20*time.Millisecond, func() { quarantineElsewhere(d) })
		if _, err := d.Serve(t.Context(), newCall(true)); err == nil || len(s.sent) != 1 {
			t.Errorf("the request ended with %v and reached %v, want one backend server", err, s.sent)
		}
	})
}

// TestHedgesStayWithinAttempts guards against a request that is sent to more backend
// servers than its route allows, since the answers of all of them are overdue.
func TestHedgesStayWithinAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLink{send: neverAnswer}
		if _, err := newDispatcher(5, s).Serve(t.Context(), newCall(true)); err == nil || len(s.sent) != 2 {
			t.Errorf("the request ended with %v and reached %v, want two backend servers", err, s.sent)
		}
	})
}

// TestAnswerTellsOfTrialRun guards against callers that waste their resends: the attempts of
// their request crashed backend servers so that it is quarantined now, and the answer that
// it may have run has no Retry-After, so that they come back before a trial run is due.
func TestAnswerTellsOfTrialRun(t *testing.T) {
	const trialAfter = 200 * time.Millisecond
	for name, test := range map[string]struct {
		idempotent, elsewhere bool
		least, most           time.Duration
	}{
		"quarantined here":      {idempotent: true, least: trialAfter, most: 2 * trialAfter},
		"quarantined elsewhere": {idempotent: true, elsewhere: true, least: trialAfter, most: 2 * trialAfter},
		"not idempotent":        {elsewhere: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeLink{}
				d := newDispatcher(5, s)
				d.Poison.Trials = true
				s.send = func(_ context.Context, name string) direct.Attempt {
					if test.elsewhere {
						quarantineElsewhere(d)
					}
					s.crash(name)
					return broken
				}
				_, err := d.Serve(t.Context(), newCall(test.idempotent))
				if e := errorOf(t, err); e.Verdict != snipefront.MayHaveRun || e.RetryAfter < test.least || e.RetryAfter > test.most {
					t.Errorf("the request ended with %v and Retry-After %v, want one from %v to %v", e, e.RetryAfter, test.least, test.most)
				}
			})
		})
	}
}
