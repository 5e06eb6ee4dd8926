package link_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
)

const (
	refused     = "HTTP/1.1 503 Full\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	misdirected = "HTTP/1.1 421 Other\r\nId: 7\r\nContent-Length: 0\r\n\r\n"
)

// booking returns a request that must not be repeated, with the id.
func booking(id string, body int) *direct.Call {
	h := http.Header{"Host": {"x.example"}}
	if id != "" {
		h.Set("Id", id)
	}
	return &direct.Call{ID: id, Request: &snipefront.Request{
		Service: "a", Method: http.MethodPost, Target: "/", Header: h, Body: make([]byte, body), Deadline: time.Now().Add(time.Second),
	}}
}

// TestCopyOfRefusalIsNotBelieved guards against a request that a backend server runs and that
// is said not to have run, so that it is refused or sent again. The backend server refuses it,
// and when it comes again, writes that refusal once more before it runs it.
func TestCopyOfRefusalIsNotBelieved(t *testing.T) {
	for name, test := range map[string]struct{ id, refusal string }{
		"refusal":            {"7", refused},
		"misdirected":        {"7", misdirected},
		"request without id": {"", "HTTP/1.1 400 No Id\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			l, target := startRawServer(t, refuseThenRun(test.refusal, test.id, &runs))
			if a := l.Send(t.Context(), booking(test.id, 0), target); a.Verdict != snipefront.NotRun {
				t.Fatalf("first sending: %+v, want not-run", a)
			}
			a := l.Send(t.Context(), booking(test.id, 0), target)
			if a.Verdict == snipefront.NotRun && runs.Load() > 0 {
				t.Errorf("second sending: %+v, want no verdict not-run, since the backend server ran it", a)
			}
		})
	}
}

// refuseThenRun returns a handler of connections that refuses the first request on each. When
// a further one arrives, it writes the refusal again, counts a run and answers.
func refuseThenRun(refusal, id string, runs *atomic.Int64) func(net.Conn) {
	return func(c net.Conn) {
		first := true
		handle(c, func(*http.Request) {
			if first {
				first = false
				fmt.Fprint(c, refusal)
				return
			}
			runs.Add(1)
			fmt.Fprint(c, refusal+"HTTP/1.1 200 OK\r\nId: "+id+"\r\nSignature: x\r\nContent-Length: 0\r\n\r\n")
		})
	}
}

// handle calls f for each request on c whose head has arrived. It reads no long body.
func handle(c net.Conn, f func(r *http.Request)) {
	for b := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		f(r)
	}
}

// TestOnlyOwnRefusalShowsNoRun guards against a refusal that isn't certain to answer this very
// sending and is believed: the request runs, though it is said not to have run.
func TestOnlyOwnRefusalShowsNoRun(t *testing.T) {
	const (
		long      = 1 << 20
		signed    = "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: x\r\nContent-Length: 0\r\n\r\n"
		anonymous = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		other     = "HTTP/1.1 503 Full\r\nId: 6\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	)
	for name, test := range map[string]struct {
		answer string
		body   int
		want   snipefront.Verdict
	}{
		"own":                                  {refused, 0, snipefront.NotRun},
		"own, before the whole body":           {refused, long, snipefront.NotRun},
		"without id":                           {anonymous, 0, snipefront.MayHaveRun},
		"without id, before the whole body":    {anonymous, long, snipefront.MayHaveRun},
		"without id, too many":                 {"HTTP/1.1 429 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 0, snipefront.MayHaveRun},
		"without id, misdirected":              {"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", 0, snipefront.MayHaveRun},
		"without id, then the answer":          {anonymous + signed, 0, snipefront.Ran},
		"of another request":                   {other, 0, snipefront.MayHaveRun},
		"of another request, misdirected":      {"HTTP/1.1 421 Other\r\nId: 6\r\nContent-Length: 0\r\n\r\n", 0, snipefront.MayHaveRun},
		"of another request, then the answer":  {other + signed, 0, snipefront.Ran},
		"of another request, before the body":  {other, long, snipefront.MayHaveRun},
		"own, cut short in its body":           {"HTTP/1.1 503 Full\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 9\r\n\r\nfu", 0, snipefront.MayHaveRun},
		"own, cut short before its mark":       {"HTTP/1.1 503 Full\r\nId: 7\r\n", 0, snipefront.MayHaveRun},
		"own, but not marked":                  {"HTTP/1.1 503 Full\r\nId: 7\r\nContent-Length: 0\r\n\r\n", 0, snipefront.Ran},
		"two requests named":                   {"HTTP/1.1 503 Full\r\nId: 6\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 0, snipefront.MayHaveRun},
		"two requests named, this first":       {"HTTP/1.1 503 Full\r\nId: 7\r\nId: 6\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 0, snipefront.MayHaveRun},
		"own, after an interim answer":         {"HTTP/1.1 100 Continue\r\n\r\n" + refused, 0, snipefront.NotRun},
		"own, in an interim answer, no answer": {"HTTP/1.1 103 Early\r\nId: 7\r\nNot-Run: 1\r\n\r\n", 0, snipefront.MayHaveRun},
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept %v", name, kept), func(t *testing.T) {
				l, target := startRawServer(t, func(c net.Conn) { answerOn(c, kept, test.answer) })
				if kept {
					if a := l.Send(t.Context(), booking("1", 0), target); a.Verdict != snipefront.Ran {
						t.Fatalf("request before: %+v", a)
					}
				}
				if a := l.Send(t.Context(), booking("7", test.body), target); a.Verdict != test.want {
					t.Errorf("got %+v, want %v", a, test.want)
				}
			})
		}
	}
}

// answerOn answers the request 1 on c if kept is true. It reads the head of the next request,
// but not a long body, writes the answer and ends the connection.
func answerOn(c net.Conn, kept bool, answer string) {
	first := kept
	handle(c, func(*http.Request) {
		if first {
			first = false
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: x\r\nContent-Length: 0\r\n\r\n")
			return
		}
		fmt.Fprint(c, answer)
		_ = c.(*net.TCPConn).CloseWrite()
		// A close with bytes unread would reset the connection.
		_, _ = io.Copy(io.Discard, c)
	})
}

// TestRefusalBeforeTheRequestIsNotBelieved guards against a refusal that arrives before the
// request is sent, on a connection that is kept, and is taken for its answer.
func TestRefusalBeforeTheRequestIsNotBelieved(t *testing.T) {
	written := make(chan struct{})
	var runs atomic.Int64
	l, target := startRawServer(t, func(c net.Conn) {
		handle(c, func(r *http.Request) {
			if r.Header.Get("Id") == "7" {
				runs.Add(1)
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nSignature: x\r\nContent-Length: 0\r\n\r\n")
			if r.Header.Get("Id") == "7" {
				return
			}
			time.Sleep(20 * time.Millisecond)
			fmt.Fprint(c, refused)
			close(written)
		})
	})
	if a := l.Send(t.Context(), booking("1", 0), target); a.Verdict != snipefront.Ran {
		t.Fatalf("request before: %+v", a)
	}
	<-written
	if a := l.Send(t.Context(), booking("7", 0), target); a.Verdict != snipefront.Ran || runs.Load() != 1 {
		t.Errorf("got %+v and %d runs, want the answer to the one run", a, runs.Load())
	}
}

// TestCopyOfRefusalIsNoLoadReport guards against the copy of a refusal that is taken for the
// answer to a load probe, which has no id.
func TestCopyOfRefusalIsNoLoadReport(t *testing.T) {
	l, target := startRawServer(t, func(c net.Conn) {
		handle(c, func(r *http.Request) {
			fmt.Fprint(c, refused)
			if r.URL.Path == "/health" {
				writeReport(c)
			}
		})
	})
	if a := l.Send(t.Context(), booking("7", 0), target); a.Verdict != snipefront.NotRun {
		t.Fatalf("request before: %+v", a)
	}
	if r, err := l.Probe(target); err == nil {
		t.Errorf("the copy of a refusal counts as the report %+v", r)
	}
}
