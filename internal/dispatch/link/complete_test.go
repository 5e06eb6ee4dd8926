package link_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
)

// TestOnlySignedAnswerShowsCompleteRun guards against an answer that is taken for the proof
// that a backend server has run a request to its end, though it may have been given in place
// of the run: a request that crashes backend servers would be sent on.
func TestOnlySignedAnswerShowsCompleteRun(t *testing.T) {
	const signed = "Id: 7\r\nSignature: x\r\n"
	for name, test := range map[string]struct {
		answer string
		want   bool
	}{
		"success":                     {"200 OK\r\n" + signed + "Content-Length: 2\r\n\r\nok", true},
		"redirect":                    {"303 Other\r\n" + signed + "Content-Length: 0\r\n\r\n", true},
		"not found":                   {"404 No\r\n" + signed + "Content-Length: 0\r\n\r\n", true},
		"server error":                {"500 Oops\r\n" + signed + "Content-Length: 0\r\n\r\n", false},
		"bad gateway of its own":      {"502 Bad\r\n" + signed + "Content-Length: 0\r\n\r\n", false},
		"timeout of its own":          {"504 Late\r\n" + signed + "Content-Length: 0\r\n\r\n", false},
		"refusal without the mark":    {"503 Full\r\n" + signed + "Content-Length: 0\r\n\r\n", false},
		"too many, without the mark":  {"429 Full\r\n" + signed + "Content-Length: 0\r\n\r\n", false},
		"timeout, without the mark":   {"408 Late\r\n" + signed + "Content-Length: 0\r\n\r\n", false},
		"refusal with the mark":       {"503 Full\r\n" + signed + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false},
		"another backend server":      {"421 Other\r\n" + signed + "Content-Length: 0\r\n\r\n", false},
		"success, unsigned":           {"200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n", false},
		"not found, unsigned":         {"404 No\r\nId: 7\r\nContent-Length: 0\r\n\r\n", false},
		"answer to another request":   {"200 OK\r\nId: 8\r\nSignature: x\r\nContent-Length: 0\r\n\r\n", false},
		"answer that breaks off":      {"200 OK\r\n" + signed + "Content-Length: 9\r\n\r\nok", false},
		"bytes that are no answer":    {"garble", false},
		"interim answer, then closed": {"103 Early\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			l, target := startServer(t, func(c net.Conn, _ *http.Request) {
				fmt.Fprint(c, "HTTP/1.1 "+test.answer)
				c.Close()
			})
			if a := l.Send(t.Context(), call(), target); a.Complete != test.want {
				t.Errorf("the attempt shows a complete run: %v, want %v", a.Complete, test.want)
			}
		})
	}
}

// TestAnswerBeforeTheWholeRequestShowsNoRun guards against an answer that counts as a
// complete run, though the backend server gave it before it had read the whole request.
func TestAnswerBeforeTheWholeRequestShowsNoRun(t *testing.T) {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	l, target := startRawServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1<<10))
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: x\r\nContent-Length: 0\r\n\r\n")
		<-done
	})
	c := &direct.Call{ID: "7", Request: &snipefront.Request{Method: http.MethodPost, Target: "/", Body: make([]byte, 32<<20), Deadline: time.Now().Add(time.Minute)}}
	if a := l.Send(t.Context(), c, target); a.Response == nil || a.Complete {
		t.Errorf("the attempt ended with %v and shows a complete run: %v, want an answer that doesn't", a.Err, a.Complete)
	}
}
