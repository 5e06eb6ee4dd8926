package sender_test

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/sender"
	"github.com/snipefront/snipefront/internal/stand/server"
)

// overdue is the time under which no answer is overdue.
const overdue = 50 * time.Millisecond

// stand runs a stand-in backend server and returns it as announced.
func stand(t *testing.T) snipefront.BackendServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &server.Server{Name: "b", Listener: l, Slots: 4, Latency: time.Millisecond, Fixed: true}
	ended := make(chan error, 1)
	go func() { ended <- d.Run(t.Context()) }()
	t.Cleanup(func() {
		d.SetMode(server.Mode{Crash: true})
		if err := <-ended; !errors.Is(err, server.ErrCrashed) {
			t.Errorf("stand-in ended: %v", err)
		}
	})
	return snipefront.BackendServer{Name: "b", Address: l.Addr().String()}
}

func setMode(t *testing.T, b snipefront.BackendServer, mode string) {
	t.Helper()
	resp, err := http.Post("http://"+b.Address+"/.stand/mode", "application/json", strings.NewReader(mode))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	http.DefaultClient.CloseIdleConnections()
}

// openTwo leaves two idle connections, as far as the two requests overlap.
func openTwo(t *testing.T, s *sender.Sender, b snipefront.BackendServer) {
	t.Helper()
	var both sync.WaitGroup
	for range 2 {
		both.Go(func() {
			if a := s.Send(t.Context(), b, request(http.MethodGet, ""), service); a.Verdict != snipefront.Ran {
				t.Errorf("request on a new connection: %+v", a)
			}
		})
	}
	both.Wait()
}

// TestSilentConnection has all open connections go silent for good. The first
// request meets it well before its deadline, the next one goes on a new
// connection.
func TestSilentConnection(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			s, b := newSender(), stand(t)
			openTwo(t, s, b)
			setMode(t, b, `{"SilentOld":true}`)
			s.OverdueFloor = overdue
			r := request(method, "")
			r.Deadline = time.Now().Add(10 * overdue)
			a := s.Send(t.Context(), b, r, service)
			if !a.Silent || a.Verdict != snipefront.MayHaveRun {
				t.Errorf("request on a silent connection: %+v", a)
			}
			s.OverdueFloor = limit
			a = s.Send(t.Context(), b, request(method, ""), service)
			if a.Verdict != snipefront.Ran {
				t.Errorf("request after that: %+v", a)
			}
		})
	}
}

// TestUnprovenConnection sends a request that must not run twice when the only
// open connection was idle for too long.
func TestUnprovenConnection(t *testing.T) {
	s, b := newSender(), stand(t)
	s.ProvenFor = time.Nanosecond
	openTwo(t, s, b)
	setMode(t, b, `{"SilentOld":true}`)
	if a := s.Send(t.Context(), b, request(http.MethodPost, ""), service); a.Verdict != snipefront.Ran {
		t.Errorf("request after an idle time: %+v", a)
	}
}

// TestProvenConnection repeats a request that was silent. Its answer takes long,
// which must not end it a second time.
func TestProvenConnection(t *testing.T) {
	s, b := newSender(), stand(t)
	s.ProvenFor = time.Nanosecond
	openTwo(t, s, b)
	setMode(t, b, `{"SilentOld":true,"Slow":200}`)
	s.OverdueFloor = overdue
	if a := s.SendProven(t.Context(), b, request(http.MethodGet, ""), service); a.Verdict != snipefront.Ran {
		t.Errorf("repeated request: %+v", a)
	}
}

// TestSlowIsNotSilent has an answer overdue at a backend server that accepts no
// new connection: the request waits for it.
func TestSlowIsNotSilent(t *testing.T) {
	var f *fake
	answer := make(chan struct{})
	f = serve(t, func(int, *http.Request, []byte) (string, bool) {
		f.Close()
		<-answer
		return whole, false
	})
	s := newSender()
	s.OverdueFloor = overdue
	time.AfterFunc(10*overdue, func() { close(answer) })
	if a := send(t, s, f, request(http.MethodGet, "")); a.Verdict != snipefront.Ran {
		t.Errorf("slow answer: %+v", a)
	}
}
