package caller_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/stand/caller"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

// TestRefusalsCutShortAreFaulty guards against a caller that passes over an answer other than a success
// that ends early, and counts it as refused.
func TestRefusalsCutShortAreFaulty(t *testing.T) {
	for name, text := range map[string]string{
		"503 with a length":    "HTTP/1.1 503 Full\r\nRetry-After: 1\r\nContent-Length: 9\r\n\r\npart",
		"500 with a length":    "HTTP/1.1 500 Oops\r\nContent-Length: 9\r\n\r\n",
		"503 in chunks":        "HTTP/1.1 503 Full\r\nX-Snipefront-Verdict: not-run\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"503 without a length": "HTTP/1.1 503 Full\r\nRetry-After: 1\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go rawtcp.Serve(l, rawtcp.EarlyAnswers(func(*http.Request) (string, bool) { return text, true }))
			r, s := runCaller(t, &caller.Caller{Direct: []string{l.Addr().String()}}, http.MethodGet)
			if s.CutShort != s.Arrived || r.Faulty() != s.Arrived {
				t.Errorf("%+v, want all counted as cut short and faulty", s)
			}
		})
	}
}

// TestResetBeforeRequestIsNoRefusal guards against a caller that takes a part of a refusal without a
// length for a whole one: the connection was reset before the request was written, whose write then took
// the error. Which call takes it is chance.
func TestResetBeforeRequestIsNoRefusal(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go rawtcp.Serve(l, rawtcp.ResetAtOnce("HTTP/1.1 503 Full\r\nRetry-After: 1\r\n\r\npart"))
	for range 10 {
		_, s := runCaller(t, &caller.Caller{Direct: []string{l.Addr().String()}}, http.MethodGet)
		for _, r := range s.Refused {
			if r.Reason == snipefront.ReasonShed {
				t.Errorf("%d of %d answers count as refused, want them cut short", r.Count, s.Arrived)
			}
		}
	}
}
