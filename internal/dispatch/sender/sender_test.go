package sender_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/sender"
)

// TestNoTransparentRetryOnReusedConnection guards against a request that runs twice because
// the transport retries it by itself. The backend server reads the request on a reused
// connection and closes that without an answer. If the transport could rewind the body, it
// would send the request again.
func TestNoTransparentRetryOnReusedConnection(t *testing.T) {
	for _, c := range []struct{ name, method, body, key string }{
		{"keyed post", http.MethodPost, "x", "k"},
		{"keyed post without body", http.MethodPost, "", "k"},
		{"get", http.MethodGet, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := serve(t, func(n int, r *http.Request, body []byte) (string, bool) {
				if n == 1 {
					return echo(r, body), true
				}
				return "", false
			})
			s := newSender()
			r := request(c.method, c.body)
			if c.key != "" {
				r.Header.Set("Idempotency-Key", c.key)
			}
			if a := send(t, s, f, r); a.Verdict != snipefront.Ran {
				t.Fatalf("first request: %+v", a)
			}
			a := send(t, s, f, r)
			if a.Verdict != snipefront.MayHaveRun || a.Response != nil {
				t.Errorf("broken request: %+v, want may-have-run", a)
			}
			if n, _ := f.counts(); n != 2 {
				t.Errorf("the backend server read %d requests, want 2", n)
			}
		})
	}
}

// TestOnlyCompleteAnswersSucceed guards against answers to callers that are truncated,
// malformed or too long. Valid answers that resemble them must pass.
func TestOnlyCompleteAnswersSucceed(t *testing.T) {
	for _, c := range []struct {
		name, method, raw string
		want              snipefront.Verdict
		body              string
	}{
		{"length cut short", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", snipefront.MayHaveRun, ""},
		{"chunks cut short", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", snipefront.MayHaveRun, ""},
		{"delimited by close", "GET", "HTTP/1.1 200 OK\r\n\r\nok", snipefront.MayHaveRun, ""},
		{"header cut short", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", snipefront.MayHaveRun, ""},
		{"length over the limit", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 1025\r\n\r\n" + strings.Repeat("x", 1025), snipefront.MayHaveRun, ""},
		{"chunks over the limit", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n401\r\n" + strings.Repeat("x", 1025) + "\r\n0\r\n\r\n", snipefront.MayHaveRun, ""},
		{"header flood", "GET", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20) + "\r\nContent-Length: 0\r\n\r\n", snipefront.MayHaveRun, ""},
		{"two lengths", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok", snipefront.MayHaveRun, ""},
		{"not HTTP", "GET", "hello\r\n\r\n", snipefront.MayHaveRun, ""},
		{"protocol switch", "GET", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", snipefront.MayHaveRun, ""},
		{"refusal", "POST", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", snipefront.NotRun, ""},
		{"complete", "GET", completeAnswer, snipefront.Ran, "ok"},
		{"complete chunks and a trailer", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n", snipefront.Ran, "ok"},
		{"complete after early hints", "GET", "HTTP/1.1 103 Early Hints\r\n\r\n" + completeAnswer, snipefront.Ran, "ok"},
		{"no content", "DELETE", "HTTP/1.1 204 No Content\r\n\r\n", snipefront.Ran, ""},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", snipefront.Ran, ""},
		{"head with a length", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", snipefront.Ran, ""},
		{"head with a length over the limit", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 4096\r\n\r\n", snipefront.Ran, ""},
		{"head without a length", "HEAD", "HTTP/1.1 200 OK\r\n\r\n", snipefront.Ran, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := serve(t, func(int, *http.Request, []byte) (string, bool) { return c.raw, false })
			a := send(t, newSender(), f, request(c.method, ""))
			if a.Verdict != c.want || (a.Response != nil) != (c.want == snipefront.Ran) {
				t.Fatalf("attempt: %+v, want %v", a, c.want)
			}
			if a.Response != nil && string(a.Response.Body) != c.body {
				t.Errorf("body %q, want %q", a.Response.Body, c.body)
			}
		})
	}
}

// echo returns the answer to r that repeats its body and the id of the attempt.
func echo(r *http.Request, body []byte) string {
	return "HTTP/1.1 200 OK\r\n" + sender.AttemptHeader + ": " + r.Header.Get(sender.AttemptHeader) +
		"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + string(body)
}

// TestExtraAnswerIsNotGivenToNextRequest guards against an answer that is returned for
// another request. The backend server sends two answers to each request, so that one stays
// on the connection for the next request. At most one request of each caller may fail,
// since connections are not reused after the first such answer.
func TestExtraAnswerIsNotGivenToNextRequest(t *testing.T) {
	const callers = 8
	f := serve(t, func(_ int, r *http.Request, body []byte) (string, bool) {
		a := echo(r, body)
		return a + a, true
	})
	s := newSender()
	var mismatched atomic.Int32
	var all sync.WaitGroup
	for c := range callers {
		all.Go(func() {
			for i := range 500 {
				body := fmt.Sprintf("request %d of %d", i, c)
				a := send(t, s, f, request(http.MethodPut, body))
				if a.Response != nil && string(a.Response.Body) != body {
					t.Errorf("%s got the answer %q", body, a.Response.Body)
					return
				}
				if a.Verdict == snipefront.NotRun && a.Reason == snipefront.ReasonBrokenAnswer {
					mismatched.Add(1)
				}
			}
		})
	}
	all.Wait()
	if n := mismatched.Load(); n > callers {
		t.Errorf("%d answers to other requests, want at most one for each caller", n)
	}
}

// TestMismatchedAttemptIDIsRejected guards against an answer that is returned for another
// request. The backend server repeats an answer after it has read the next request, so that
// only the echoed id of the attempt reveals the mismatch. The connection must not be used
// again.
func TestMismatchedAttemptIDIsRejected(t *testing.T) {
	var first string
	f := serve(t, func(n int, r *http.Request, body []byte) (string, bool) {
		a := echo(r, body)
		if n == 1 {
			first = a
			return a, true
		}
		return first + a, true
	})
	s := newSender()
	a := send(t, s, f, request(http.MethodPut, "one"))
	if a.Verdict != snipefront.Ran || string(a.Response.Body) != "one" {
		t.Fatalf("first request: %+v", a)
	}
	if h := a.Response.Header.Get(sender.AttemptHeader); h != "" {
		t.Errorf("the answer to the caller has the attempt id %q, want none", h)
	}
	a = send(t, s, f, request(http.MethodPut, "two"))
	if a.Response != nil || a.Verdict != snipefront.MayHaveRun || a.Reason != snipefront.ReasonBrokenAnswer {
		t.Errorf("second request: %+v, want a broken answer with verdict may-have-run", a)
	}
	a = send(t, s, f, request(http.MethodPut, "three"))
	if a.Verdict != snipefront.Ran || string(a.Response.Body) != "three" {
		t.Errorf("third request: %+v, want its own answer", a)
	}
	if _, accepted := f.counts(); accepted < 2 {
		t.Error("the connection with an extra answer was used again")
	}
}

// TestRequestWithoutBodyAnnouncesNone guards against a header that announces a body
// for a request without one, unless its method usually has a body.
func TestRequestWithoutBodyAnnouncesNone(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions, http.MethodPost} {
		encoding := []string{"never seen"}
		length := int64(-2)
		f := serve(t, func(_ int, r *http.Request, body []byte) (string, bool) {
			encoding, length = r.TransferEncoding, r.ContentLength
			if len(body) > 0 {
				t.Errorf("%s: body %q, want none", method, body)
			}
			return "HTTP/1.1 204 No Content\r\n\r\n", false
		})
		if a := send(t, newSender(), f, request(method, "")); a.Verdict != snipefront.Ran {
			t.Fatalf("%s: %+v", method, a)
		}
		if method != http.MethodPost && (len(encoding) > 0 || length != 0) {
			t.Errorf("%s: encoding %q, length %d, want none and 0", method, encoding, length)
		}
	}
}

// TestTargetUnchanged guards against targets that are rewritten by a URL parser.
func TestTargetUnchanged(t *testing.T) {
	for _, target := range []string{"/b/../c", "/b/a%2Fb%2f", "/b//c", "/b/a|b", "/b/a#b", "/b?", "/b?a=b?c|%zz", "/b/%41"} {
		seen := ""
		f := serve(t, func(_ int, r *http.Request, _ []byte) (string, bool) {
			seen = r.RequestURI
			return completeAnswer, false
		})
		r := request(http.MethodGet, "")
		r.Target = target
		if a := send(t, newSender(), f, r); a.Verdict != snipefront.Ran {
			t.Errorf("%s: %+v, want an answer", target, a)
		} else if seen != target {
			t.Errorf("%s arrived as %s", target, seen)
		}
	}
}
