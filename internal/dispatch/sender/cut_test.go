package sender_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/sender"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

// TestAnswerCutAtAnyByteIsNone guards against an answer that a backend server broke off at any
// byte and that is given to the caller as whole, short or empty. One without a length can't be
// known to be whole and never counts.
func TestAnswerCutAtAnyByteIsNone(t *testing.T) {
	for name, w := range rawtcp.WholeAnswers("") {
		for _, reset := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reset %v, kept %v", name, reset, kept), func(t *testing.T) {
					t.Parallel()
					testCuts(t, w, reset, kept)
				})
			}
		}
	}
}

// testCuts sends a request for each cut of w, on new or on kept connections. The cut after the
// whole text is left out with a reset, which may or may not overtake the end of the answer.
func testCuts(t *testing.T, w rawtcp.Whole, reset, kept bool) {
	b := startCutting(t, w, reset)
	s := newSender()
	cuts := len(w.Text) + 1
	if reset {
		cuts--
	}
	for n := range cuts {
		if kept {
			if a := s.Send(t.Context(), b, request(http.MethodPut, "before"), service); a.Response == nil {
				t.Fatalf("request before: %+v", a)
			}
		}
		r := request(w.Method, "")
		rawtcp.CutAt(r.Header, n)
		r.Deadline = time.Now().Add(testTimeout)
		a := s.Send(t.Context(), b, r, service)
		whole := !w.Unframed && w.IsWhole(n, reset)
		if (a.Response != nil) != whole {
			t.Errorf("%q gave %+v, want an answer: %v", w.Text[:n], a, whole)
		}
		if !whole && a.Verdict != snipefront.MayHaveRun {
			t.Errorf("%q gave the verdict %v, want may-have-run", w.Text[:n], a.Verdict)
		}
	}
}

// TestProbeCutAtAnyByteFails guards against the answer to a probe that a backend server broke off
// at any byte and that counts as healthy.
func TestProbeCutAtAnyByteFails(t *testing.T) {
	for name, w := range rawtcp.WholeAnswers("") {
		if w.Method != http.MethodGet {
			continue
		}
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				b := startCutting(t, w, reset)
				s := newSender()
				for n := range len(w.Text) {
					if got, want := s.Probe(t.Context(), b, fmt.Sprintf("/health?cut=%d", n)), w.IsWhole(n, reset); got != want {
						t.Errorf("%q counts as healthy: %v, want %v", w.Text[:n], got, want)
					}
				}
			})
		}
	}
}

// startCutting starts a backend server that answers each PUT in full, echoing the id of the
// attempt, and each other request with w, cut off as its query or its header says.
func startCutting(t *testing.T, w rawtcp.Whole, reset bool) snipefront.BackendServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go rawtcp.Serve(l, rawtcp.CutAnswers(reset, func(r *http.Request) string {
		if r.Method == http.MethodPut {
			return "HTTP/1.1 200 OK\r\n" + sender.AttemptHeader + ": " + r.Header.Get(sender.AttemptHeader) + "\r\nContent-Length: 0\r\n\r\n"
		}
		if n, err := strconv.Atoi(r.URL.Query().Get("cut")); err == nil {
			rawtcp.CutAt(r.Header, n)
		}
		return w.Text
	}))
	return snipefront.BackendServer{Name: "b", Address: l.Addr().String()}
}
