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

// overdueFloor is the minimum time after which an answer is overdue.
const overdueFloor = 50 * time.Millisecond

// startStandIn runs a stand-in backend server until the test ends.
func startStandIn(t *testing.T) snipefront.BackendServer {
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

// openTwo sends two requests at the same time. It leaves two idle connections, or one
// if the requests did not overlap.
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

// TestHalfOpenConnection guards against attempts that wait for their deadline on half-open
// connections. All open connections become half-open. The first attempt must end well
// before its deadline, and the next one must use a new connection.
func TestHalfOpenConnection(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			s, b := newSender(), startStandIn(t)
			openTwo(t, s, b)
			setMode(t, b, `{"SilentOld":true}`)
			s.OverdueFloor = overdueFloor
			r := request(method, "")
			r.Deadline = time.Now().Add(10 * overdueFloor)
			a := s.Send(t.Context(), b, r, service)
			if !a.Silent || a.Verdict != snipefront.MayHaveRun {
				t.Errorf("request on a half-open connection: %+v, want it ended as half-open with verdict may-have-run", a)
			}
			s.OverdueFloor = testTimeout
			a = s.Send(t.Context(), b, request(method, ""), service)
			if a.Verdict != snipefront.Ran {
				t.Errorf("request after the half-open connections: %+v, want an answer on a new connection", a)
			}
		})
	}
}

// TestUnprovenConnectionIsNotUsed guards against losing a request that is not idempotent,
// and so is not retried, on a half-open connection. Every open connection is half-open and
// was idle for too long, so the request must use a new one.
func TestUnprovenConnectionIsNotUsed(t *testing.T) {
	s, b := newSender(), startStandIn(t)
	s.ProvenFor = time.Nanosecond
	openTwo(t, s, b)
	setMode(t, b, `{"SilentOld":true}`)
	if a := s.Send(t.Context(), b, request(http.MethodPost, ""), service); a.Verdict != snipefront.Ran {
		t.Errorf("request after an idle time: %+v, want an answer on a new connection", a)
	}
}

// TestSendProvenWaitsForSlowAnswer guards against a retry after a half-open connection that
// is ended, too, because its answer is slow.
func TestSendProvenWaitsForSlowAnswer(t *testing.T) {
	s, b := newSender(), startStandIn(t)
	s.ProvenFor = time.Nanosecond
	openTwo(t, s, b)
	setMode(t, b, `{"SilentOld":true,"Slow":200}`)
	s.OverdueFloor = overdueFloor
	if a := s.SendProven(t.Context(), b, request(http.MethodGet, ""), service); a.Verdict != snipefront.Ran {
		t.Errorf("retried request: %+v, want the slow answer", a)
	}
}

// TestSlowAnswerIsNotHalfOpen guards against ending the attempt at a slow backend server as
// half-open. The answer is overdue while the backend server accepts no new connection, so
// the attempt must wait for the answer.
func TestSlowAnswerIsNotHalfOpen(t *testing.T) {
	var f *fake
	answer := make(chan struct{})
	f = serve(t, func(int, *http.Request, []byte) (string, bool) {
		f.Close()
		<-answer
		return completeAnswer, false
	})
	s := newSender()
	s.OverdueFloor = overdueFloor
	time.AfterFunc(10*overdueFloor, func() { close(answer) })
	if a := send(t, s, f, request(http.MethodGet, "")); a.Verdict != snipefront.Ran {
		t.Errorf("got %+v, want the slow answer", a)
	}
}
