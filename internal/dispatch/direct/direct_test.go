package direct_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
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
