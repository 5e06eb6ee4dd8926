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

// sender returns a fixed response or error and keeps the last call.
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

type discardCounter struct{}

func (discardCounter) Answered(string, int, time.Duration) {}
func (discardCounter) Refused(string, *snipefront.Error)   {}
func (discardCounter) Unanswered(string)                   {}

var fields = snipefront.HeaderFields{RequestID: "Id", Remaining: "Remaining", Expected: "Expected"}

func newProxy(t *testing.T, s proxy.Sender) *proxy.Proxy {
	t.Helper()
	return newSplitProxy(t, s, snipefront.ServiceWeight{Service: "a", Weight: 1})
}

// newSplitProxy returns a proxy whose route goes to the services a and b by weight.
func newSplitProxy(t *testing.T, s proxy.Sender, split ...snipefront.ServiceWeight) *proxy.Proxy {
	t.Helper()
	table, err := paths.NewTable(&snipefront.Routing{
		Services: map[string]snipefront.ServiceProfile{"a": {}, "b": {}},
		Routes: []snipefront.Route{{
			Name: "r", Host: "x.example", Prefix: "/p/", Idempotent: true, Timeout: 800 * time.Millisecond, Goal: 300 * time.Millisecond,
			Attempts: 2, Split: split,
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy.Proxy{Sender: s, Fields: fields, Counter: discardCounter{}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	p.SetTable(table)
	return p
}

// request returns a request as it is read from a connection. Each element of header has
// the form "Name: value".
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

// TestCallFollowsRoute checks that a call has the attempts, the service and the properties
// of its route, the shorter deadline of the caller and no hop-by-hop fields.
func TestCallFollowsRoute(t *testing.T) {
	s := &sender{response: &snipefront.Response{Status: http.StatusOK, Header: http.Header{"A": {"b"}, "Keep-Alive": {"timeout=5"}}, Body: []byte("ok")}}
	p := newProxy(t, s)
	r := request(t, "/p/1?q=2", "Remaining: 500", "Expected: someone", "Connection: X-Own", "X-Own: 1", "X-Other: 2")
	a := p.Handle(t.Context(), r)
	if a.Status != http.StatusOK || string(a.Body) != "ok" || a.Header.Get("A") != "b" || a.Header.Get("Keep-Alive") != "" {
		t.Errorf("got response %+v, want status 200, the body ok and only the end-to-end fields", a)
	}
	c := s.call
	if c.ID != "7" || c.Attempts != 2 || !c.Idempotent || c.Service != "a" || c.Target != "/p/1?q=2" || string(c.Body) != "body" {
		t.Errorf("got call %+v, want the ID, target and body of the request and the attempts and service of the route", c)
	}
	if got := c.Deadline.Sub(r.Read); got != 500*time.Millisecond {
		t.Errorf("the deadline is %v after the request, want 500ms", got)
	}
	for k, want := range map[string]string{"X-Other": "2", "X-Own": "", "Connection": "", "Expected": "", "Remaining": "", "Host": "x.example"} {
		if c.Header.Get(k) != want {
			t.Errorf("%s is %q, want %q", k, c.Header.Get(k), want)
		}
	}
}

// TestDeadlineWithinRouteTimeout checks that the timeout of the route applies if the
// remaining time of the caller is longer, missing or invalid.
func TestDeadlineWithinRouteTimeout(t *testing.T) {
	for _, remaining := range []string{"2000", "", "soon", "-1"} {
		s := &sender{response: &snipefront.Response{Status: http.StatusOK}}
		r := request(t, "/p/1", "Remaining: "+remaining)
		newProxy(t, s).Handle(t.Context(), r)
		if got := s.call.Deadline.Sub(r.Read); got != 800*time.Millisecond {
			t.Errorf("with the remaining time %q the deadline is %v after the request, want 800ms", remaining, got)
		}
	}
}

// TestGoalCountsFromFirstAttempt checks that the time a caller waited before a resend
// counts towards the latency goal, and that one caller with an unusually long remaining
// time does not shorten the goal of others.
func TestGoalCountsFromFirstAttempt(t *testing.T) {
	s := &sender{response: &snipefront.Response{Status: http.StatusOK}}
	p := newProxy(t, s)
	goal := func(remaining string) time.Duration {
		r := request(t, "/p/1", "Remaining: "+remaining)
		p.Handle(t.Context(), r)
		return s.call.Goal.Sub(r.Read)
	}
	for range 10 {
		if got := goal("1500"); got != 300*time.Millisecond {
			t.Fatalf("at the first attempt the goal is %v after the request, want 300ms", got)
		}
	}
	goal("9000")
	if got := goal("1500"); got != 300*time.Millisecond {
		t.Errorf("after a caller with a long remaining time the goal is %v after the request, want 300ms", got)
	}
	if got := goal("1400"); got != 200*time.Millisecond {
		t.Errorf("at a resend 100ms later the goal is %v after the request, want 200ms", got)
	}
}

// TestErrorResponses checks the status and the fields of the responses that this instance
// makes itself: to a refused request, without a route and without a configuration.
func TestErrorResponses(t *testing.T) {
	s := &sender{err: snipefront.Refused(snipefront.ReasonOverload, 250*time.Millisecond, "full")}
	p := newProxy(t, s)
	a := p.Handle(t.Context(), request(t, "/p/1"))
	if a.Status != http.StatusServiceUnavailable || a.Header.Get("Retry-After") != "0.250" || a.Header.Get("Id") != "7" || !bytes.Contains(a.Body, []byte("not-run")) {
		t.Errorf("got refusal %+v with body %s, want status 503, Retry-After 0.250, the ID and the verdict not-run", a, a.Body)
	}
	if a := p.Handle(t.Context(), request(t, "/q/1")); a.Status != http.StatusNotFound {
		t.Errorf("without a route the status is %d, want 404", a.Status)
	}
	unconfigured := &proxy.Proxy{Sender: s, Fields: fields, Counter: discardCounter{}, Logger: p.Logger}
	if a := unconfigured.Handle(t.Context(), request(t, "/p/1")); a.Status != http.StatusServiceUnavailable || a.Header.Get("Retry-After") == "" {
		t.Errorf("without a configuration the response is %+v, want status 503 with Retry-After", a)
	}
}

// rejecting counts the calls of each service, and rejects those of one.
type rejecting struct {
	service string
	calls   map[string]int
}

// Serve implements proxy.Sender.
func (s *rejecting) Serve(_ context.Context, c *direct.Call) (*snipefront.Response, error) {
	s.calls[c.Service]++
	if c.Service == s.service {
		return nil, snipefront.Refused(snipefront.ReasonOverload, time.Second, "no room")
	}
	return &snipefront.Response{Status: http.StatusOK, Header: http.Header{}}, nil
}

// TestSplitHoldsWhileOnePartRejects guards against requests that are moved to another part
// of a route by weight, or held back, while one part rejects all or has no room.
func TestSplitHoldsWhileOnePartRejects(t *testing.T) {
	const requests = 300
	for _, rejects := range []string{"", "a", "b"} {
		s := &rejecting{service: rejects, calls: map[string]int{}}
		p := newSplitProxy(t, s, snipefront.ServiceWeight{Service: "a", Weight: 80}, snipefront.ServiceWeight{Service: "b", Weight: 20})
		answered := map[int]int{}
		for range requests {
			answered[p.Handle(t.Context(), request(t, "/p/1")).Status]++
		}
		if a, b := s.calls["a"], s.calls["b"]; a != requests*8/10 || b != requests*2/10 {
			t.Errorf("while %q rejects, a gets %d requests and b %d, want 240 and 60", rejects, a, b)
		}
		if n := answered[http.StatusServiceUnavailable]; n != s.calls[rejects] {
			t.Errorf("while %q rejects, %d requests are refused, want %d", rejects, n, s.calls[rejects])
		}
	}
}
