package sender_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/sender"
)

// refusal returns a refusal that echoes id, or none if it is empty.
func refusal(id string) string {
	field := ""
	if id != "" {
		field = sender.AttemptHeader + ": " + id + "\r\n"
	}
	return "HTTP/1.1 503 Full\r\n" + field + "Content-Length: 0\r\n\r\n"
}

// TestCopyOfRefusalIsNotBelieved guards against a request that a backend server runs and that
// is said not to have run, so that it is refused or sent again. The backend server refuses it,
// and when it comes again on the same connection, writes that refusal once more before it runs
// it. With and without echoes of the id of the attempt.
func TestCopyOfRefusalIsNotBelieved(t *testing.T) {
	for name, echoes := range map[string]bool{"with an id": true, "without an id": false} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			f := serve(t, refuseThenRun(echoes, &runs))
			s := newSender()
			r := request(http.MethodPost, "x")
			if a := send(t, s, f, request(http.MethodPut, "x")); a.Verdict != snipefront.Ran {
				t.Fatalf("request before: %+v", a)
			}
			if a := send(t, s, f, r); a.Verdict != snipefront.NotRun {
				t.Fatalf("first sending: %+v, want not-run", a)
			}
			a := send(t, s, f, r)
			if a.Verdict == snipefront.NotRun && runs.Load() > 0 {
				t.Errorf("second sending: %+v, want no verdict not-run, since the backend server ran it", a)
			}
		})
	}
}

// refuseThenRun returns a handler that answers each PUT and refuses each POST among the first
// two requests on a connection. To a later POST it writes the last refusal again, counts a run
// and answers.
func refuseThenRun(echoes bool, runs *atomic.Int64) func(int, *http.Request, []byte) (string, bool) {
	var last atomic.Pointer[string]
	return func(n int, r *http.Request, body []byte) (string, bool) {
		if !echoes {
			r.Header.Del(sender.AttemptHeader)
		}
		switch {
		case r.Method == http.MethodPut:
			return echo(r, body), true
		case n <= 2:
			own := refusal(r.Header.Get(sender.AttemptHeader))
			last.Store(&own)
			return own, true
		}
		runs.Add(1)
		return *last.Load() + echo(r, body), true
	}
}

// TestOnlyOwnRefusalShowsNoRun guards against a refusal that isn't certain to answer this very
// sending and is believed: the request runs, though it is said not to have run. Only on a new
// connection is a refusal without an id certain.
func TestOnlyOwnRefusalShowsNoRun(t *testing.T) {
	const own = "own"
	for name, test := range map[string]struct {
		id        string
		new, kept snipefront.Verdict
	}{
		"own":              {own, snipefront.NotRun, snipefront.NotRun},
		"without id":       {"", snipefront.NotRun, snipefront.MayHaveRun},
		"of another":       {"other", snipefront.MayHaveRun, snipefront.MayHaveRun},
		"of two, other":    {"other\r\n" + sender.AttemptHeader + ": " + own, snipefront.MayHaveRun, snipefront.MayHaveRun},
		"of two, own":      {own + "\r\n" + sender.AttemptHeader + ": other", snipefront.MayHaveRun, snipefront.MayHaveRun},
		"own, named twice": {own + "\r\n" + sender.AttemptHeader + ": " + own, snipefront.NotRun, snipefront.NotRun},
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept %v", name, kept), func(t *testing.T) {
				f := serve(t, func(n int, r *http.Request, body []byte) (string, bool) {
					if kept && n == 1 {
						return echo(r, body), true
					}
					return refusal(strings.ReplaceAll(test.id, own, r.Header.Get(sender.AttemptHeader))), false
				})
				s := newSender()
				if kept {
					if a := send(t, s, f, request(http.MethodPut, "before")); a.Verdict != snipefront.Ran {
						t.Fatalf("request before: %+v", a)
					}
				}
				want := test.new
				if kept {
					want = test.kept
				}
				if a := send(t, s, f, request(http.MethodPost, "x")); a.Verdict != want {
					t.Errorf("got %+v, want %v", a, want)
				}
				if _, accepted := f.counts(); accepted != 1 {
					t.Errorf("%d connections, want one", accepted)
				}
			})
		}
	}
}

// TestUncertainRefusalCostsOneRequest guards against a backend server whose refusals never echo
// the id of the attempt, while its other answers do: each refusal of a request that must not be
// repeated would leave open whether it ran. Nor may the connection of such a refusal fail
// another request.
func TestUncertainRefusalCostsOneRequest(t *testing.T) {
	const rounds = 20
	f := serve(t, func(_ int, r *http.Request, body []byte) (string, bool) {
		if r.Method == http.MethodPut {
			return echo(r, body), true
		}
		return refusal(""), true
	})
	s := newSender()
	uncertain := 0
	for range rounds {
		if a := send(t, s, f, request(http.MethodPut, "x")); a.Verdict != snipefront.Ran {
			t.Errorf("request that may be repeated: %+v", a)
		}
		if a := send(t, s, f, request(http.MethodPost, "x")); a.Verdict != snipefront.NotRun {
			uncertain++
		}
	}
	if uncertain > 1 {
		t.Errorf("%d of %d refusals left open whether the request ran, want one at most", uncertain, rounds)
	}
}

// TestAnswerOfAnotherShowsNoRun guards against a request that a backend server has read and that
// is said not to have run: the refusal of another request comes in place of its answer, and the
// connection carries the next request before that is noticed.
func TestAnswerOfAnotherShowsNoRun(t *testing.T) {
	const (
		rounds  = 60
		callers = 16
	)
	var received sync.Map
	f := serve(t, func(_ int, r *http.Request, body []byte) (string, bool) {
		if r.Method == http.MethodPut {
			return echo(r, body), true
		}
		received.Store(string(body), true)
		return refusal("other"), true
	})
	for round := range rounds {
		// Connections are used once after such an answer, so each round has new ones.
		s := newSender()
		var all sync.WaitGroup
		for c := range callers {
			all.Go(func() {
				send(t, s, f, request(http.MethodPut, "x"))
				body := fmt.Sprintf("request %d of round %d", c, round)
				a := send(t, s, f, request(http.MethodPost, body))
				if _, ok := received.Load(body); ok && a.Verdict == snipefront.NotRun {
					t.Errorf("%s was received and gave the verdict not-run", body)
				}
			})
		}
		all.Wait()
	}
}
