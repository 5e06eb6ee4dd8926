package direct_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/request/poison"
)

// fakeLink is a direct.Link whose function send answers each request.
type fakeLink struct {
	send func(ctx context.Context, name string) direct.Attempt

	mu   sync.Mutex
	down map[string]bool
	sent []string
	// noLoad leaves the load out of reports.
	noLoad bool
	// running is the reported number of running requests of each backend server.
	running int
}

// Send implements direct.Link.
func (s *fakeLink) Send(ctx context.Context, _ *direct.Call, t *health.Target) direct.Attempt {
	s.mu.Lock()
	s.sent = append(s.sent, t.Server.Name)
	s.mu.Unlock()
	return s.send(ctx, t.Server.Name)
}

// Probe implements health.Prober.
func (s *fakeLink) Probe(t *health.Target) (health.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down[t.Server.Name] {
		return health.Report{}, errors.New("refused")
	}
	return health.Report{At: time.Now(), Known: !s.noLoad, Healthy: true, Running: s.running, Slots: 2, Pace: 1}, nil
}

// Up implements direct.Link.
func (s *fakeLink) Up(_ context.Context, t *health.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.down[t.Server.Name]
}

func (s *fakeLink) crash(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[name] = true
}

var (
	answered = direct.Attempt{
		Verdict: snipefront.Ran, Outcome: health.Answered, Response: &snipefront.Response{Status: http.StatusOK},
	}
	broken = direct.Attempt{
		Verdict: snipefront.MayHaveRun, Reason: snipefront.ReasonBrokenAnswer, Err: errors.New("reset"), Outcome: health.Faulty,
	}
	shed = direct.Attempt{
		Verdict: snipefront.NotRun, Reason: snipefront.ReasonShed, Err: errors.New("full"), Outcome: health.Neutral,
	}
)

type noCounter struct{}

// Retried implements direct.Counter.
func (noCounter) Retried(string, snipefront.Reason)  {}
func (noCounter) Received(string)                    {}
func (noCounter) Attempted(string, snipefront.Cause) {}
func (noCounter) Denied(string)                      {}

// newDispatcher returns a dispatcher with the given number of local backend servers,
// which have two slots each.
func newDispatcher(servers int, s *fakeLink) *direct.Dispatcher {
	s.down = map[string]bool{}
	v := fleet.View{Servers: map[string]fleet.Server{}}
	for i := range servers {
		var n fleet.Server
		n.Name, n.Service, n.DataCentre, n.Slots, n.Incarnation = fmt.Sprint("s", i), service, "dc1", 2, 1
		v.Servers[n.Name] = n
	}
	set := &health.Set{Self: snipefront.Instance{Name: "e", DataCentre: "dc1"}}
	set.Update(time.Now(), v, &snipefront.Routing{Services: map[string]snipefront.ServiceProfile{service: {Name: service}}})
	return &direct.Dispatcher{
		Targets: set, Link: s, Counter: noCounter{}, Attempts: noCounter{}, Retries: newRetries(1, 50), Poison: &poison.Register{},
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

func newCall(idempotent bool) *direct.Call {
	now := time.Now()
	return &direct.Call{ID: "r", Attempts: 2, Goal: now.Add(300 * time.Millisecond), Request: &snipefront.Request{
		Service: service, Idempotent: idempotent, Deadline: now.Add(time.Second), Fingerprint: 7,
	}}
}

func errorOf(t *testing.T, err error) *snipefront.Error {
	t.Helper()
	var e *snipefront.Error
	if !errors.As(err, &e) {
		t.Fatalf("no *snipefront.Error but %v", err)
	}
	return e
}

// TestRequestThatCrashesServersIsQuarantined guards against a request that crashes
// each backend server that receives it. After two crashes it is quarantined, and its
// resends are refused before they reach a third one.
func TestRequestThatCrashesServersIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLink{}
		s.send = func(_ context.Context, name string) direct.Attempt {
			s.crash(name)
			return broken
		}
		d := newDispatcher(5, s)
		for range 6 {
			_, err := d.Serve(t.Context(), newCall(true))
			if err == nil {
				t.Fatal("answered by a backend server that crashed")
			}
			time.Sleep(500 * time.Millisecond)
		}
		if len(s.sent) != 2 {
			t.Errorf("the request reached %v, want two backend servers", s.sent)
		}
		_, err := d.Serve(t.Context(), newCall(true))
		if e := errorOf(t, err); e.Verdict != snipefront.NotRun || e.Reason != snipefront.ReasonQuarantined {
			t.Errorf("the resend ended with %v, want a refusal with verdict not-run and reason quarantined", e)
		}
	})
}

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

// TestRequestWithoutServerIsRefusedImmediately guards against letting a request wait
// although its service has no backend server.
func TestRequestWithoutServerIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		_, err := newDispatcher(0, &fakeLink{}).Serve(t.Context(), newCall(true))
		e := errorOf(t, err)
		if e.Reason != snipefront.ReasonNoBackendServer || e.RetryAfter == 0 || time.Since(begun) > 0 {
			t.Errorf("ended with %v after %v, want an immediate refusal with reason no_backend_server and a retry delay", e, time.Since(begun))
		}
	})
}

// TestUnansweredRequestEndsAtDeadline checks that an unanswered request ends at its
// deadline, with the verdict that it may have run.
func TestUnansweredRequestEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLink{send: func(ctx context.Context, _ string) direct.Attempt {
			<-ctx.Done()
			return broken
		}}
		begun := time.Now()
		_, err := newDispatcher(3, s).Serve(t.Context(), newCall(false))
		e := errorOf(t, err)
		if e.Status != http.StatusGatewayTimeout || e.Verdict != snipefront.MayHaveRun || time.Since(begun) != time.Second {
			t.Errorf("ended with status %d, %v after %v, want 504 and verdict may-have-run after 1s", e.Status, e, time.Since(begun))
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

// TestShortDeadlineIsNoFaultOfServer guards against counting faults of a backend
// server if the caller allowed too little time. A backend server that leaves a
// request unanswered for long is at fault.
func TestShortDeadlineIsNoFaultOfServer(t *testing.T) {
	expired := direct.Attempt{
		Verdict: snipefront.Ran, Outcome: health.Faulty, Response: &snipefront.Response{Status: http.StatusGatewayTimeout},
	}
	for name, c := range map[string]struct {
		left   time.Duration
		end    direct.Attempt
		faulty bool
	}{
		"status 504 at a short deadline": {left: 200 * time.Millisecond, end: expired},
		"no answer by a short deadline":  {left: 200 * time.Millisecond, end: broken},
		"status 504 at a long deadline":  {left: 2 * time.Second, end: expired, faulty: true},
		"no answer by a long deadline":   {left: 2 * time.Second, end: broken, faulty: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeLink{send: func(ctx context.Context, _ string) direct.Attempt {
					<-ctx.Done()
					return c.end
				}}
				d := newDispatcher(1, s)
				call := newCall(false)
				call.Deadline = time.Now().Add(c.left)
				_, _ = d.Serve(t.Context(), call)
				faults := d.Targets.Candidates(service)[0].Snapshot(time.Now()).Faults
				if (faults > 0) != c.faulty {
					t.Errorf("fault share %.2f, want above 0 only at a long deadline", faults)
				}
			})
		})
	}
}

// TestWaitingRequestTakesTargetThatLikelyMeetsGoal guards against waiting until the
// latency goal is missed. Estimates include a safety margin, so that a request that
// has waited goes to a target that meets the goal without the margin.
func TestWaitingRequestTakesTargetThatLikelyMeetsGoal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		var sent time.Duration
		s := &fakeLink{running: 3, send: func(context.Context, string) direct.Attempt {
			sent = time.Since(begun)
			return answered
		}}
		d := newDispatcher(3, s)
		time.AfterFunc(110*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.running = 1
		})
		c := newCall(true)
		c.Goal = begun.Add(320 * time.Millisecond)
		if _, err := d.Serve(t.Context(), c); err != nil {
			t.Fatal(err)
		}
		if sent < 110*time.Millisecond || sent > 150*time.Millisecond {
			t.Errorf("sent after %v, want soon after 110ms", sent)
		}
	})
}

// TestTypicalLatencyIsRobustToSlowAnswers guards against refusals by idle backend
// servers because a few slow answers raised the typical latency above the latency
// goal. As with a noisy neighbour, one answer in five takes eight times as long as
// the load report promised.
func TestTypicalLatencyIsRobustToSlowAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		s := &fakeLink{send: func(context.Context, string) direct.Attempt {
			n++
			time.Sleep(100 * time.Millisecond)
			if n%5 == 0 {
				time.Sleep(700 * time.Millisecond)
			}
			return answered
		}}
		d := newDispatcher(3, s)
		refused := 0
		for range 200 {
			if _, err := d.Serve(t.Context(), newCall(false)); err != nil {
				refused++
			}
		}
		if refused > 0 {
			t.Errorf("%d of 200 requests were refused by idle backend servers", refused)
		}
	})
}

// TestTypicalLatencyIsPerRoute guards against estimating the requests of a route by
// the latency of another route with a much longer latency goal at the same service.
func TestTypicalLatencyIsPerRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLink{running: 1, send: func(context.Context, string) direct.Attempt { return answered }}
		d := newDispatcher(3, s)
		slow := newCall(true)
		slow.Route, slow.Goal = "slow", time.Now().Add(5*time.Second)
		for _, c := range []*direct.Call{slow, newCall(true)} {
			if _, err := d.Serve(t.Context(), c); err != nil {
				t.Errorf("route %q: %v", c.Route, err)
			}
		}
	})
}

// TestServiceWithoutLoadReportsIsServed checks that backend servers whose answers to
// load probes carry no load receive requests, balanced by what this instance itself
// has in flight at each.
func TestServiceWithoutLoadReportsIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLink{noLoad: true, send: func(context.Context, string) direct.Attempt {
			time.Sleep(100 * time.Millisecond)
			return answered
		}}
		d := newDispatcher(3, s)
		var all sync.WaitGroup
		for range 3 {
			all.Go(func() {
				begun := time.Now()
				if _, err := d.Serve(t.Context(), newCall(true)); err != nil || time.Since(begun) > 200*time.Millisecond {
					t.Errorf("error %v after %v, want an answer within 200ms", err, time.Since(begun))
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		all.Wait()
		slices.Sort(s.sent)
		if len(slices.Compact(s.sent)) != 3 {
			t.Errorf("three requests at once went to %v, want three different targets", s.sent)
		}
	})
}
