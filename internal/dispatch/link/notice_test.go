package link_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestAnyAnswerTellsNotice guards against a backend server that has said that it leaves, or
// has asked for a pause, and gets further requests since it said so in an answer of a kind
// that isn't looked at.
func TestAnyAnswerTellsNotice(t *testing.T) {
	const ok = "200 OK\r\nId: 7\r\nSignature: x\r\nContent-Length: 0\r\n"
	for name, test := range map[string]struct {
		head             string
		probe            bool
		draining, paused bool
	}{
		"success":                    {head: ok + "Leaving: 1\r\n\r\n", draining: true},
		"success, not leaving":       {head: ok + "Leaving: 0\r\n\r\n"},
		"success with a time":        {head: ok + "Retry-After: 5\r\n\r\n"},
		"server error":               {head: "500 Oops\r\nId: 7\r\nSignature: x\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", draining: true},
		"unsigned":                   {head: "200 OK\r\nId: 7\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", draining: true},
		"refusal":                    {head: "503 Full\r\nId: 7\r\nNot-Run: 1\r\nLeaving: 1\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n\r\n", draining: true, paused: true},
		"refusal without the mark":   {head: "503 Full\r\nId: 7\r\nSignature: x\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n", paused: true},
		"answer to another request":  {head: "200 OK\r\nId: 6\r\nSignature: x\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", draining: true},
		"answer that breaks off":     {head: "200 OK\r\nId: 7\r\nSignature: x\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\nok", draining: true},
		"answer of another server":   {head: "421 Other\r\nId: 7\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"},
		"load probe":                 {head: "200 OK\r\nServer: s\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", probe: true, draining: true},
		"load probe refused":         {head: "503 Full\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", probe: true, paused: true},
		"load probe of another":      {head: "200 OK\r\nServer: r\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", probe: true},
		"load probe, late answer":    {head: "200 OK\r\nId: 6\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", probe: true, draining: true},
		"absurd pause, load probe":   {head: "503 Full\r\nRetry-After: 1e99\r\nContent-Length: 0\r\n\r\n", probe: true, paused: true},
		"pause that can't be read":   {head: "503 Full\r\nId: 7\r\nNot-Run: 1\r\nRetry-After: later\r\nContent-Length: 0\r\n\r\n"},
		"load probe, nothing to say": {head: "200 OK\r\nServer: s\r\nContent-Length: 0\r\n\r\n", probe: true},
	} {
		t.Run(name, func(t *testing.T) {
			l, target := startServer(t, func(c net.Conn, _ *http.Request) {
				fmt.Fprint(c, "HTTP/1.1 "+test.head)
				c.Close()
			})
			if test.probe {
				_, _ = l.Probe(target)
			} else {
				l.Send(t.Context(), call(), target)
			}
			if got := target.Draining(); got != test.draining {
				t.Errorf("the backend server drains: %v, want %v", got, test.draining)
			}
			if got := target.PauseLeft(time.Now()) > 0; got != test.paused {
				t.Errorf("it rests: %v, want %v", got, test.paused)
			}
			arrived := false
			if test.draining || test.paused {
				if a := l.Send(t.Context(), call(), target); a.Err == nil || a.Response != nil {
					arrived = true
				}
			}
			if arrived {
				t.Error("another request was sent to it")
			}
		})
	}
}
