package server_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront/internal/stand/answer"
	"github.com/snipefront/snipefront/internal/stand/server"
)

const testTimeout = time.Minute

// send has s handle a request without a listener and returns the status, or 0 if the
// server dropped the connection.
func send(ctx context.Context, s *server.Server, method, key string) (status int) {
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	r := httptest.NewRequestWithContext(ctx, method, "/balance/1", nil)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w.Code
}

// TestOverloadInColdStartFailsTheServerUntilAnotherColdStart checks the overload failure:
// a request above the cold capacity drops all requests in flight, later requests fail for
// FallOverFor, and then the server is in cold start again. Tests of the load balancer
// rely on this to detect that it sent too much to a cold backend server.
func TestOverloadInColdStartFailsTheServerUntilAnotherColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server.Server{Slots: 3, Latency: 10 * time.Millisecond, Fixed: true,
			ColdFor: time.Second, ColdBearing: 1, FallOverFor: time.Second}
		if got := send(t.Context(), s, "GET", ""); got != 200 {
			t.Fatalf("first request in cold start: status %d, want 200", got)
		}
		first := make(chan int)
		go func() { first <- send(t.Context(), s, "GET", "") }()
		synctest.Wait()
		if got := send(t.Context(), s, "GET", ""); got != 0 {
			t.Errorf("request above the cold capacity: status %d, want a dropped connection (0)", got)
		}
		if got := <-first; got != 0 {
			t.Errorf("request in flight at the overload failure: status %d, want a dropped connection (0)", got)
		}
		if got := send(t.Context(), s, "GET", ""); got != 500 {
			t.Errorf("request after the overload failure: status %d, want 500", got)
		}
		time.Sleep(time.Second)
		if got := send(t.Context(), s, "GET", ""); got != 200 {
			t.Errorf("request in the second cold start: status %d, want 200", got)
		}
		go func() { first <- send(t.Context(), s, "GET", "") }()
		synctest.Wait()
		send(t.Context(), s, "GET", "")
		<-first
		if r := s.Report(); r.FellOver != 2 || r.MostAtOnceCold != 2 {
			t.Errorf("%d overload failures, at most %d requests in flight in cold start, want 2 and 2", r.FellOver, r.MostAtOnceCold)
		}
	})
}

// TestWarmServerRunsAsManyAsItsSlotsAndQueuesTheRest checks that four requests on two
// slots take two service times, and that a load report with a lag shows the requests in
// flight one lag earlier.
func TestWarmServerRunsAsManyAsItsSlotsAndQueuesTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server.Server{Slots: 2, Latency: 10 * time.Millisecond, Fixed: true, ReportLag: time.Second}
		done := make(chan int)
		start := time.Now()
		for range 4 {
			go func() { done <- send(t.Context(), s, "GET", "") }()
		}
		for range 4 {
			if got := <-done; got != 200 {
				t.Errorf("request to a warm server: status %d, want 200", got)
			}
		}
		// The fake clock of synctest is exact.
		if took := time.Since(start); took != 20*time.Millisecond {
			t.Errorf("four requests on two slots took %v, want 20ms", took)
		}
		if r := s.Report(); r.MostAtOnce != 4 || r.FellOver != 0 {
			t.Errorf("report %+v, want MostAtOnce 4 and FellOver 0", r)
		}
		time.Sleep(995 * time.Millisecond)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest("GET", "/.stand/load", nil))
		if got := w.Body.String(); got != `{"InFlight":2,"Slots":2}` {
			t.Errorf("load report with a lag of one second: %s, want 2 requests in flight on 2 slots", got)
		}
	})
}

// TestCanceledRequestsStop checks that a running request whose caller cancels it ends with
// status 504, and that a waiting one is refused and never runs.
func TestCanceledRequestsStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server.Server{Slots: 1, Latency: time.Hour, Fixed: true}
		ctx, cancel := context.WithCancel(t.Context())
		running, waiting := make(chan int), make(chan int)
		go func() { running <- send(ctx, s, "POST", "a") }()
		synctest.Wait()
		go func() { waiting <- send(ctx, s, "POST", "b") }()
		synctest.Wait()
		cancel()
		if got := <-running; got != 504 {
			t.Errorf("canceled while running: status %d, want 504", got)
		}
		if got := <-waiting; got != 503 {
			t.Errorf("canceled while waiting: status %d, want 503", got)
		}
		if k := s.Keys(); !slices.Equal(k, []server.KeyRuns{{Key: "a", Runs: 1}}) {
			t.Errorf("keys that ran: %v, want one run of a", k)
		}
	})
}

// TestKeysThatRunMoreThanOnceAreReported checks that Report and DuplicateKeys list a key
// that ran twice, on one server or on two, and do not count a refused request as a run.
func TestKeysThatRunMoreThanOnceAreReported(t *testing.T) {
	a, b := &server.Server{}, &server.Server{}
	send(t.Context(), a, "POST", "twice")
	send(t.Context(), a, "POST", "once")
	a.SetMode(server.Mode{Shed: true})
	if got := send(t.Context(), a, "POST", "once"); got != 503 {
		t.Errorf("shed request: status %d, want 503", got)
	}
	send(t.Context(), b, "POST", "twice")
	if got := server.DuplicateKeys(a, b); !slices.Equal(got, []string{"twice"}) {
		t.Errorf("keys that ran more than once on both servers together: %v, want [twice]", got)
	}
	send(t.Context(), b, "POST", "twice")
	if r := b.Report(); !slices.Equal(r.Double, []string{"twice"}) || r.Runs != 2 {
		t.Errorf("report %+v, want 2 runs and Double [twice]", r)
	}
}

// start runs s on a loopback listener. It returns its URL and a channel that receives
// the result of Run.
func start(t *testing.T, ctx context.Context, s *server.Server) (string, <-chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Listener = l
	s.DrainFor = time.Millisecond
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	return "http://" + l.Addr().String(), ended
}

// TestCrashHeaderCrashesTheServer checks that a request with X-Stand-Crash counts as run
// but gets no answer, ends Run with ErrCrashed and closes the listener.
func TestCrashHeaderCrashesTheServer(t *testing.T) {
	s := &server.Server{}
	url, ended := start(t, t.Context(), s)
	r, err := http.NewRequest("POST", url+"/charge/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Stand-Crash", "1")
	if w, err := http.DefaultClient.Do(r); err == nil {
		t.Errorf("the crashing request: status %s, want a dropped connection", w.Status)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, server.ErrCrashed) {
			t.Errorf("Run returned %v, want ErrCrashed", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("Run has not returned a minute after the crash")
	}
	if w, err := http.Get(url + "/.stand/health"); err == nil {
		t.Errorf("after the crash: status %s, want no connection", w.Status)
	}
	if n := s.Report().Runs; n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

// TestStopFinishesRequestsInFlightAndAnnouncesTheDrain guards against a planned stop that
// drops a running request, and against one that does not announce that the server is
// draining, so that instances would send it further requests.
func TestStopFinishesRequestsInFlightAndAnnouncesTheDrain(t *testing.T) {
	drains := make(chan bool, 64)
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a struct{ Draining bool }
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
			t.Error(err)
		}
		drains <- a.Draining
		w.Write([]byte(`{"LeaseMilliseconds":600000}`))
	}))
	defer instance.Close()
	ctx, stop := context.WithCancel(t.Context())
	s := &server.Server{Latency: 100 * time.Millisecond, Fixed: true, Seeds: []string{instance.Listener.Addr().String()}}
	url, ended := start(t, ctx, s)
	if <-drains {
		t.Error("the first announcement is draining, want it to accept requests")
	}
	result := make(chan error, 1)
	go func() {
		result <- fetch(url + "/balance/1")
	}()
	for s.Report().Runs == 0 {
		time.Sleep(time.Millisecond)
	}
	stop()
	if !<-drains {
		t.Error("the announcement after the stop is not draining, want draining")
	}
	if err := <-result; err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestHalfOpenConnectionsStayHalfOpenAndNewOnesWork checks that SilentOld leaves requests
// on old connections without an answer and does not affect new connections.
func TestHalfOpenConnectionsStayHalfOpenAndNewOnesWork(t *testing.T) {
	s := &server.Server{}
	ctx, stop := context.WithCancel(t.Context())
	url, ended := start(t, ctx, s)
	oldClient := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	get := func(c *http.Client, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, "GET", url+"/.stand/health", nil)
		if err != nil {
			t.Fatal(err)
		}
		w, err := c.Do(r)
		if err == nil {
			w.Body.Close()
		}
		return err
	}
	if err := get(oldClient, testTimeout); err != nil {
		t.Fatal(err)
	}
	newClient := &http.Client{Transport: &http.Transport{}}
	w, err := newClient.Post(url+"/.stand/mode", "application/json", bytes.NewReader([]byte(`{"SilentOld":true}`)))
	if err != nil || w.StatusCode != 204 {
		t.Fatal(w, err)
	}
	if err := get(oldClient, 50*time.Millisecond); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("request on an old connection: error %v, want a timeout", err)
	}
	if err := get(&http.Client{Transport: &http.Transport{}}, testTimeout); err != nil {
		t.Errorf("request on a new connection: error %v, want an answer", err)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// fetch gets url and checks that the answer is complete and belongs to the request.
func fetch(url string) error {
	w, err := http.Get(url)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	if err != nil {
		return err
	}
	q := answer.Request{Target: w.Request.URL.RequestURI()}
	if f := q.Check(b); f != answer.Intact {
		return errors.New("truncated or mismatched answer: " + string(b))
	}
	return nil
}

// flushRecorder calls onFlush before each flush of the answer.
type flushRecorder struct {
	*httptest.ResponseRecorder
	onFlush func()
}

// Flush implements http.Flusher.
func (w flushRecorder) Flush() {
	w.onFlush()
	w.ResponseRecorder.Flush()
}

// TestCrashRequestIsAnsweredBeforeTheCrash guards against a request for a Mode with Crash
// that gets no answer because the server crashes before it has sent the answer.
func TestCrashRequestIsAnsweredBeforeTheCrash(t *testing.T) {
	s := &server.Server{Slots: 1, Fixed: true}
	status := 0
	w := flushRecorder{ResponseRecorder: httptest.NewRecorder(), onFlush: func() { status = send(t.Context(), s, "GET", "") }}
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/.stand/mode", strings.NewReader(`{"Crash":true}`))
	s.ServeHTTP(w, r)
	if w.Code != http.StatusNoContent || status != http.StatusOK {
		t.Errorf("the crash request: status %d, want 204; a request before the answer was sent: status %d, want 200", w.Code, status)
	}
	if got := send(t.Context(), s, "GET", ""); got != 0 {
		t.Errorf("request after the crash: status %d, want a dropped connection (0)", got)
	}
}
