package link_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

// warmUpID is the id of the request before, which is answered in full on a kept connection.
const warmUpID = "1"

// eachCut calls f for each form of an answer, ended by a close and by a reset, on new and on
// kept connections.
func eachCut(t *testing.T, answers map[string]rawtcp.Whole, f func(t *testing.T, w rawtcp.Whole, reset, kept bool)) {
	for name, w := range answers {
		for _, reset := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reset %v, kept %v", name, reset, kept), func(t *testing.T) {
					t.Parallel()
					f(t, w, reset, kept)
				})
			}
		}
	}
}

// cutsOf returns the number of cuts of w, each after one more byte. The last one, after the
// whole text, is left out where a reset may or may not overtake the end of the answer.
func cutsOf(w rawtcp.Whole, reset bool) int {
	if reset && !w.Unframed {
		return len(w.Text)
	}
	return len(w.Text) + 1
}

// cutCall returns a call whose answer is cut off after n bytes.
func cutCall(method, id string, n int) *direct.Call {
	h := http.Header{"Host": {"x.example"}, "Id": {id}}
	rawtcp.CutAt(h, n)
	return &direct.Call{ID: id, Request: &snipefront.Request{
		Service: "a", Method: method, Target: "/", Header: h, Deadline: time.Now().Add(20 * time.Second),
	}}
}

// TestAnswerCutAtAnyByteIsNone guards against an answer that a backend server broke off at any
// byte and that is given to the caller as whole, short or empty. An answer without a length
// ends with its connection: it is whole if that is closed, and not if it is reset.
func TestAnswerCutAtAnyByteIsNone(t *testing.T) {
	answers := rawtcp.WholeAnswers("Id: 7\r\nSignature: x\r\n")
	eachCut(t, answers, func(t *testing.T, w rawtcp.Whole, reset, kept bool) {
		l, target := startRawServer(t, rawtcp.CutAnswers(reset, func(r *http.Request) string {
			if r.Header.Get("Id") == warmUpID {
				return "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: x\r\nContent-Length: 0\r\n\r\n"
			}
			return w.Text
		}))
		for n := range cutsOf(w, reset) {
			if kept {
				if a := l.Send(t.Context(), booking(warmUpID, 0), target); a.Response == nil {
					t.Fatalf("request before: %+v", a)
				}
			}
			whole := w.IsWhole(n, reset)
			a := l.Send(t.Context(), cutCall(w.Method, "7", n), target)
			if (a.Response != nil) != whole || a.Complete != whole {
				t.Errorf("%q gave %+v, want an answer: %v", w.Text[:n], a, whole)
			}
			if !whole && a.Verdict != snipefront.MayHaveRun {
				t.Errorf("%q gave the verdict %v, want may-have-run", w.Text[:n], a.Verdict)
			}
		}
	})
}

// TestLoadReportCutAtAnyByteIsNone guards against a load report that a backend server broke off
// at any byte and that counts.
func TestLoadReportCutAtAnyByteIsNone(t *testing.T) {
	answers := rawtcp.WholeAnswers("Server: s\r\nLoad: 11,0,22,100\r\n")
	eachCut(t, answers, func(t *testing.T, w rawtcp.Whole, reset, kept bool) {
		if w.Method != http.MethodGet {
			t.Skip("a load probe is a GET")
		}
		var cut atomic.Int64
		l, target := startRawServer(t, rawtcp.CutAnswers(reset, func(r *http.Request) string {
			if r.Header.Get("Id") == warmUpID {
				return "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: x\r\nContent-Length: 0\r\n\r\n"
			}
			rawtcp.CutAt(r.Header, int(cut.Load()))
			return w.Text
		}))
		for n := range cutsOf(w, reset) {
			cut.Store(int64(n))
			if kept {
				if a := l.Send(t.Context(), booking(warmUpID, 0), target); a.Response == nil {
					t.Fatalf("request before: %+v", a)
				}
			}
			whole := w.IsWhole(n, reset)
			if r, err := l.Probe(target); (err == nil) != whole {
				t.Errorf("%q gave %+v, %v, want a report: %v", w.Text[:n], r, err, whole)
			}
		}
	})
}
