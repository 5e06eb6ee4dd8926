package proxy_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/pipe"
	"github.com/snipefront/snipefront/internal/request/paths"
)

// TestStoppingInstanceRefusesWhatOutlastsIt guards against requests that an instance takes
// during its planned stop although they may last longer than the rest of it: they run, and
// end without an answer. The route has a timeout of 800 ms.
func TestStoppingInstanceRefusesWhatOutlastsIt(t *testing.T) {
	for _, c := range []struct {
		name string
		// since is how long the stop has lasted, and left how long it still lasts.
		since, left time.Duration
		remaining   string
		// slowest is what the slowest answer of the route has taken; zero is no answer.
		slowest time.Duration
		refused bool
	}{
		{name: "over in time", left: 5 * time.Second},
		{name: "may outlast the stop", left: 500 * time.Millisecond, refused: true},
		{name: "its caller waits no longer", left: 500 * time.Millisecond, remaining: "100"},
		{name: "its caller waits for long", left: 500 * time.Millisecond, remaining: "5000", refused: true},
		{name: "quick route", left: 500 * time.Millisecond, slowest: 10 * time.Millisecond},
		{name: "slow route", left: 500 * time.Millisecond, slowest: 400 * time.Millisecond, refused: true},
		{name: "quick route, late", since: 5 * time.Second, left: 500 * time.Millisecond, slowest: 10 * time.Millisecond, refused: true},
		{name: "after the end", since: 5 * time.Second, left: -time.Second, remaining: "100", refused: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &sender{response: &snipefront.Response{Status: http.StatusOK}}
			p := newProxy(t, s)
			if c.slowest > 0 {
				r := request(t, "/p/1")
				r.Read = r.Read.Add(-c.slowest)
				p.Handle(t.Context(), r)
				s.call = nil
			}
			now := time.Now()
			p.Stop(now.Add(-c.since), now.Add(c.left))
			r := request(t, "/p/1", "Remaining: "+c.remaining)
			early, refused := p.Refuse(r.Request)
			if refused != c.refused {
				t.Errorf("refused before its body is read: %v, want %v", refused, c.refused)
			}
			a := p.Handle(t.Context(), r)
			if sent := s.call != nil; sent == c.refused {
				t.Errorf("sent to a backend server: %v, want %v", sent, !c.refused)
			}
			if c.refused {
				checkRefusal(t, early)
				checkRefusal(t, a)
			}
		})
	}
}

// checkRefusal checks that a says that the request has not run, and when to send it again.
func checkRefusal(t *testing.T, a pipe.Answer) {
	t.Helper()
	if a.Status != http.StatusServiceUnavailable || a.Header.Get("Retry-After") == "" || a.Header.Get("Id") != "7" || !strings.Contains(string(a.Body), "not-run") {
		t.Errorf("got status %d, header %v and body %s, want a refusal with the id and Retry-After", a.Status, a.Header, a.Body)
	}
}

// TestTakenRequestBeginsNoAttemptThatOutlastsStop guards against a request that an instance took
// before its planned stop and sends to a backend server when it may outlast the rest of it.
func TestTakenRequestBeginsNoAttemptThatOutlastsStop(t *testing.T) {
	s := &sender{response: &snipefront.Response{Status: http.StatusOK}}
	p := newProxy(t, s)
	p.Handle(t.Context(), request(t, "/p/1"))
	if e := s.call.Refuse(); e != nil {
		t.Errorf("refused without a stop: %v", e)
	}
	now := time.Now()
	p.Stop(now.Add(-5*time.Second), now.Add(100*time.Millisecond))
	if e := s.call.Refuse(); e == nil || e.Verdict != snipefront.NotRun || e.Reason != snipefront.ReasonStopping || e.RetryAfter == 0 {
		t.Errorf("the refusal is %v, want one with the reason stopping, verdict not-run and a time", e)
	}
}

// TestLateRequestIsNotTakenByEstimate guards against a request that is taken late in a long stop, when few
// callers still hold the address, since the recent answers of its route were quick: one that takes
// longer is cut off.
func TestLateRequestIsNotTakenByEstimate(t *testing.T) {
	table, err := paths.NewTable(&snipefront.Routing{
		Services: map[string]snipefront.ServiceProfile{"a": {}},
		Routes: []snipefront.Route{{
			Name: "r", Host: "x.example", Prefix: "/p/", Idempotent: true, Timeout: 20 * time.Second, Goal: time.Second,
			Attempts: 2, Split: []snipefront.ServiceWeight{{Service: "a", Weight: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	p := newProxy(t, &sender{response: &snipefront.Response{Status: http.StatusOK}})
	p.SetTable(table)
	p.Handle(t.Context(), request(t, "/p/1"))
	for since, want := range map[time.Duration]bool{2 * time.Second: false, 3500 * time.Millisecond: true} {
		begin := time.Now().Add(-since)
		p.Stop(begin, begin.Add(9300*time.Millisecond))
		if _, refused := p.Refuse(request(t, "/p/1").Request); refused != want {
			t.Errorf("%v after the start of the stop: refused: %v, want %v", since, refused, want)
		}
	}
}
