package proxy_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/entry/pipe"
	"github.com/snipefront/snipefront/internal/entry/proxy"
	"github.com/snipefront/snipefront/internal/request/paths"
)

// sender answers calls with what it is told to, and keeps the last one.
type sender struct {
	call     *direct.Call
	response *snipefront.Response
	err      error
}

// Serve implements proxy.Sender.
func (s *sender) Serve(_ context.Context, c *direct.Call) (*snipefront.Response, error) {
	s.call = c
	return s.response, s.err
}

type uncounted struct{}

func (uncounted) Answered(string, int, time.Duration) {}
func (uncounted) Refused(string, *snipefront.Error)   {}

var fields = snipefront.Fields{RequestID: "Id", Remaining: "Remaining", Expected: "Expected"}

func newGate(t *testing.T, s *sender) *proxy.Proxy {
	t.Helper()
	table, err := paths.NewTable(&snipefront.Routing{
		Services: map[string]snipefront.Profile{"a": {}},
		Routes: []snipefront.Route{{
			Name: "r", Host: "x.example", Prefix: "/p/", Idempotent: true, Timeout: 800 * time.Millisecond, Goal: 300 * time.Millisecond,
			Attempts: 2, Split: []snipefront.Share{{Service: "a", Weight: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	g := &proxy.Proxy{Sender: s, Fields: fields, Counter: uncounted{}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	g.SetTable(table)
	return g
}

// request returns a request as it is read from a connection.
func request(t *testing.T, path string, header ...string) *pipe.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://x.example"+path, bytes.NewReader(nil))
	if err != nil {
		t.Fatal(err)
	}
	r.RequestURI = path
	r.Header.Set("Id", "7")
	for _, h := range header {
		k, v, _ := strings.Cut(h, ": ")
		r.Header.Set(k, v)
	}
	return &pipe.Request{Request: r, Content: []byte("body"), Read: time.Now()}
}

// TestCallHasWhatTheRouteSays shows how a request becomes a call.
func TestCallHasWhatTheRouteSays(t *testing.T) {
	s := &sender{response: &snipefront.Response{Status: http.StatusOK, Header: http.Header{"A": {"b"}, "Keep-Alive": {"timeout=5"}}, Body: []byte("ok")}}
	g := newGate(t, s)
	r := request(t, "/p/1?q=2", "Remaining: 500", "Expected: someone", "Connection: X-Own", "X-Own: 1", "X-Other: 2")
	a := g.Handle(t.Context(), r)
	if a.Status != http.StatusOK || string(a.Body) != "ok" || a.Header.Get("A") != "b" || a.Header.Get("Keep-Alive") != "" {
		t.Errorf("the answer is %+v", a)
	}
	c := s.call
	if c.ID != "7" || c.Attempts != 2 || !c.Idempotent || c.Service != "a" || c.Target != "/p/1?q=2" || string(c.Body) != "body" {
		t.Errorf("the call is %+v", c)
	}
	if got := c.Deadline.Sub(r.Read); got != 500*time.Millisecond {
		t.Errorf("the deadline is in %v", got)
	}
	for k, want := range map[string]string{"X-Other": "2", "X-Own": "", "Connection": "", "Expected": "", "Remaining": "", "Host": "x.example"} {
		if c.Header.Get(k) != want {
			t.Errorf("%s is %q, want %q", k, c.Header.Get(k), want)
		}
	}
}

// TestDeadlineIsAtMostTheTimeoutOfTheRoute shows callers that would wait longer, or
// say nothing.
func TestDeadlineIsAtMostTheTimeoutOfTheRoute(t *testing.T) {
	for _, remaining := range []string{"2000", "", "soon", "-1"} {
		s := &sender{response: &snipefront.Response{Status: http.StatusOK}}
		r := request(t, "/p/1", "Remaining: "+remaining)
		newGate(t, s).Handle(t.Context(), r)
		if got := s.call.Deadline.Sub(r.Read); got != 800*time.Millisecond {
			t.Errorf("with %q the deadline is in %v", remaining, got)
		}
	}
}

// TestGoalCountsFromTheFirstTry shows that a caller that comes back has waited, and
// that one that would wait unusually long changes nothing for others.
func TestGoalCountsFromTheFirstTry(t *testing.T) {
	s := &sender{response: &snipefront.Response{Status: http.StatusOK}}
	g := newGate(t, s)
	goal := func(remaining string) time.Duration {
		r := request(t, "/p/1", "Remaining: "+remaining)
		g.Handle(t.Context(), r)
		return s.call.Goal.Sub(r.Read)
	}
	for range 10 {
		if got := goal("1500"); got != 300*time.Millisecond {
			t.Fatalf("at the first try the goal is in %v", got)
		}
	}
	goal("9000")
	if got := goal("1500"); got != 300*time.Millisecond {
		t.Errorf("after a patient caller the goal is in %v", got)
	}
	if got := goal("1400"); got != 200*time.Millisecond {
		t.Errorf("100ms later the goal is in %v", got)
	}
}

// TestFinalAnswersAreTold shows the answers that are not a backend server's.
func TestFinalAnswersAreTold(t *testing.T) {
	s := &sender{err: snipefront.Refused(snipefront.ReasonOverload, 250*time.Millisecond, "full")}
	g := newGate(t, s)
	a := g.Handle(t.Context(), request(t, "/p/1"))
	if a.Status != http.StatusServiceUnavailable || a.Header.Get("Retry-After") != "0.250" || a.Header.Get("Id") != "7" || !bytes.Contains(a.Body, []byte("not-run")) {
		t.Errorf("the refusal is %+v with %s", a, a.Body)
	}
	if a := g.Handle(t.Context(), request(t, "/q/1")); a.Status != http.StatusNotFound {
		t.Errorf("without a route the status is %d", a.Status)
	}
	blank := &proxy.Proxy{Sender: s, Fields: fields, Counter: uncounted{}, Logger: g.Logger}
	if a := blank.Handle(t.Context(), request(t, "/p/1")); a.Status != http.StatusServiceUnavailable || a.Header.Get("Retry-After") == "" {
		t.Errorf("without a configuration the answer is %+v", a)
	}
}
