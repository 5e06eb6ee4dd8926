package local_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/local"
	"github.com/snipefront/snipefront/internal/dispatch/notice"
)

// hearNotices lets the cell of d take over what backend servers say beside their answers.
func hearNotices(d *local.Dispatcher) {
	d.Sender.Heard = func(b snipefront.BackendServer, n notice.Notice, _ error) { d.Cell.Hear(time.Now(), b, n) }
}

// noticeServer is a backend server that says that it drains, or asks for a pause.
type noticeServer struct {
	arrived, pauseMillis atomic.Int64
	leaving              atomic.Bool
}

func (s *noticeServer) serve(w http.ResponseWriter, r *http.Request) {
	s.arrived.Add(1)
	if s.leaving.Load() {
		w.Header().Set("X-Draining", "1")
	}
	if pause := time.Duration(s.pauseMillis.Load()) * time.Millisecond; pause > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(pause.Seconds()))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer(w, r)
}

// announced returns the announcement of the first backend server of a dispatcher.
func announced(address string, incarnation uint64) snipefront.BackendServer {
	return snipefront.BackendServer{Name: "0", Address: address, Incarnation: incarnation, Slots: 3, Expires: time.Now().Add(time.Hour)}
}

// TestServerThatSaysItDrainsGetsNoRequests guards against requests that reach a backend
// server which has said in an answer that it drains, while its announcements don't.
func TestServerThatSaysItDrainsGetsNoRequests(t *testing.T) {
	var leaving, other noticeServer
	leaving.leaving.Store(true)
	d, list := newDispatcher(t, leaving.serve, other.serve)
	hearNotices(d)
	for range 20 {
		if _, err := run(t, d, request(http.MethodGet, "/1", 1)); err != nil {
			t.Fatal(err)
		}
		d.Cell.Announce(time.Now(), announced(list[0].Listener.Addr().String(), 1))
	}
	if n := leaving.arrived.Load(); n != 1 {
		t.Errorf("%d requests reached the backend server that drains, want the one that told", n)
	}
	leaving.leaving.Store(false)
	d.Cell.Announce(time.Now(), announced(list[0].Listener.Addr().String(), 2))
	_, _ = run(t, d, request(http.MethodGet, "/1", 1))
	if n := leaving.arrived.Load(); n != 2 {
		t.Errorf("%d requests reached it after a new incarnation, want one more", n)
	}
}

// TestPauseOfServerIsKept guards against requests and probes that reach a backend server in
// a pause for which it has asked, and against requests that wait where all rest.
func TestPauseOfServerIsKept(t *testing.T) {
	const pause = 400 * time.Millisecond
	var resting, other noticeServer
	resting.pauseMillis.Store(pause.Milliseconds())
	d, _ := newDispatcher(t, resting.serve, other.serve)
	hearNotices(d)
	begun := time.Now()
	for time.Since(begun) < pause-50*time.Millisecond {
		if _, err := run(t, d, request(http.MethodGet, "/1", 1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if n := resting.arrived.Load(); n != 1 {
		t.Errorf("%d requests reached the backend server that rests, want the one that told", n)
	}
	other.pauseMillis.Store(pause.Milliseconds())
	_, _ = run(t, d, request(http.MethodGet, "/1", 1))
	resting.pauseMillis.Store(0)
	begun = time.Now()
	_, err := run(t, d, request(http.MethodGet, "/1", 1))
	if err == nil || err.Verdict != snipefront.NotRun || err.RetryAfter <= 0 || err.RetryAfter > 2*pause || time.Since(begun) > pause/2 {
		t.Errorf("a request ended with %v, to come back in %v, after %v, want a refusal at once", err, err.RetryAfter, time.Since(begun))
	}
	time.Sleep(err.RetryAfter)
	if _, err := run(t, d, request(http.MethodGet, "/1", 1)); err != nil {
		t.Errorf("a request at the time named is not answered: %v", err)
	}
}
