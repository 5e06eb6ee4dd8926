package local_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
	"github.com/snipefront/snipefront/internal/dispatch/local"
	"github.com/snipefront/snipefront/internal/dispatch/sender"
	"github.com/snipefront/snipefront/internal/request/poison"
)

// testTimeout bounds each wait of a test. Only a test that hangs reaches it.
const testTimeout = 20 * time.Second

// firstFree picks the first candidate with a free slot, which makes the order of the
// backend servers predictable.
type firstFree struct{}

func (firstFree) Pick(list []snipefront.Candidate, _ uint64) int {
	for i, c := range list {
		if c.InFlight < c.Limit {
			return i
		}
	}
	return -1
}

// firstAlive picks the first candidate that has a free slot and has not crashed.
type firstAlive struct{ crashed []atomic.Bool }

func (f firstAlive) Pick(list []snipefront.Candidate, _ uint64) int {
	for i, c := range list {
		n, err := strconv.Atoi(c.Name)
		if err == nil && c.InFlight < c.Limit && !f.crashed[n].Load() {
			return i
		}
	}
	return -1
}

type nopCounter struct{}

func (nopCounter) Retried(string, snipefront.Reason) {}

var service = snipefront.Service{RefusalStatuses: []int{http.StatusServiceUnavailable}, RetryBudget: 1, HedgeBudget: 1}

// newDispatcher returns a dispatcher of a cell with one backend server of three slots
// for each handler. A backend server's name is its index in the list.
func newDispatcher(t *testing.T, handlers ...http.HandlerFunc) (*local.Dispatcher, []*httptest.Server) {
	t.Helper()
	c := &cell.Cell{Picker: firstFree{}, MaxQueue: 10}
	c.SetRules(time.Now(), cell.Rules{ColdLimit: 3})
	var list []*httptest.Server
	for i, h := range handlers {
		s := httptest.NewServer(h)
		s.Config.ErrorLog = nil
		t.Cleanup(s.Close)
		list = append(list, s)
		c.Announce(time.Now(), snipefront.BackendServer{
			Name:        fmt.Sprint(i),
			Address:     s.Listener.Addr().String(),
			Incarnation: 1,
			Slots:       3,
			Expires:     time.Now().Add(time.Hour),
		})
	}
	c.Open(time.Now())
	return &local.Dispatcher{
		Cell:    c,
		Sender:  &sender.Sender{MaxAnswerBytes: 1 << 10, OverdueFloor: testTimeout},
		Budget:  &budget.Share{},
		Counter: nopCounter{},
		Poison:  &poison.Register{},
	}, list
}

func request(method, target string, fingerprint uint64) *snipefront.Request {
	return &snipefront.Request{
		Method:      method,
		Target:      target,
		Deadline:    time.Now().Add(testTimeout),
		Fingerprint: fingerprint,
		Idempotent:  method == http.MethodGet,
	}
}

func run(t *testing.T, d *local.Dispatcher, r *snipefront.Request) (*snipefront.Response, *snipefront.Error) {
	t.Helper()
	resp, err := d.Run(t.Context(), r, service, true)
	return resp, snipefront.AsError(err)
}

func answer(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }
func refuse(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
func abort(http.ResponseWriter, *http.Request)      { panic(http.ErrAbortHandler) }

// TestVerdictStaysMayHaveRun guards against the verdict not-run for a request whose
// last attempt was refused, but whose attempt before may have run.
func TestVerdictStaysMayHaveRun(t *testing.T) {
	d, _ := newDispatcher(t, refuse, abort, refuse)
	_, err := run(t, d, request(http.MethodGet, "/1", 1))
	if err == nil || err.Verdict != snipefront.MayHaveRun || err.Reason != snipefront.ReasonShed {
		t.Errorf("got %v, want verdict may-have-run and the reason shed of the last attempt", err)
	}
}

// TestNonIdempotentRequestRunsOnce guards against a second run of a request that is
// not idempotent. Its connection breaks while another backend server is free.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	for _, key := range []string{"", "k"} {
		var runs atomic.Int32
		h := func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}
		d, _ := newDispatcher(t, h, h)
		r := request(http.MethodPost, "/1", 1)
		r.IdempotencyKey = key
		_, err := run(t, d, r)
		if err == nil || err.Verdict != snipefront.MayHaveRun || (err.RetryAfter > 0) != (key != "") {
			t.Errorf("key %q: got %+v, want verdict may-have-run, and a retry delay only with a key", key, err)
		}
		if n := runs.Load(); n != 1 {
			t.Errorf("key %q: %d runs, want 1", key, n)
		}
	}
}

// TestOneRequestCrashesTwoBackendServersAtMost guards against a request that crashes every
// backend server on which it runs. It is resent until it is quarantined. Two harmless requests are in
// flight on the first backend server that crashes. They must run again, not two of the
// suspects at a time on one backend server, be answered and be released.
func TestOneRequestCrashesTwoBackendServersAtMost(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			var crashes atomic.Int32
			var running [4]atomic.Int32
			var servers []*httptest.Server
			var started sync.WaitGroup
			started.Add(2)
			crashed := make([]atomic.Bool, 4)
			crash := func(i int) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					switch {
					case r.URL.Path != "/poison" && i > 0:
						if running[i].Add(1) > 1 {
							t.Error("two suspects run on one backend server at the same time")
						}
						time.Sleep(5 * time.Millisecond)
						running[i].Add(-1)
						answer(w, r)
					case r.URL.Path != "/poison":
						started.Done()
						<-r.Context().Done()
					case !crashed[i].Swap(true):
						crashes.Add(1)
						servers[i].Listener.Close()
						servers[i].CloseClientConnections()
					}
				}
			}
			var d *local.Dispatcher
			d, servers = newDispatcher(t, crash(0), crash(1), crash(2), crash(3))
			d.Cell.Picker = firstAlive{crashed}
			var all sync.WaitGroup
			for f := range uint64(2) {
				all.Go(func() {
					if _, err := run(t, d, request(http.MethodGet, "/1", f)); err != nil {
						t.Errorf("harmless request: %v", err)
					}
				})
			}
			started.Wait()
			for {
				_, err := run(t, d, request(method, "/poison", 9))
				if err == nil {
					t.Fatal("the request that crashes backend servers was answered")
				}
				if err.Reason == snipefront.ReasonQuarantined {
					if err.Verdict != snipefront.NotRun || err.RetryAfter == 0 {
						t.Errorf("quarantine: got %+v, want verdict not-run and a retry delay", err)
					}
					break
				}
				if err.Verdict != snipefront.MayHaveRun {
					t.Fatalf("got %+v, want verdict may-have-run before the quarantine", err)
				}
			}
			all.Wait()
			if n := crashes.Load(); n != 2 {
				t.Errorf("%d backend servers crashed, want 2", n)
			}
			for f := range uint64(2) {
				if a, _ := d.Poison.Admit(time.Now(), f); a != poison.Clear {
					t.Errorf("harmless request %d is admitted as %d, want clear", f, a)
				}
			}
		})
	}
}

// TestHedge guards against a request that waits for a slow backend server, and against a
// canceled attempt that keeps its slot. The first backend server works until its request is
// canceled. The answer to the hedge must be returned, the first attempt be canceled, and
// no slot stay taken.
func TestHedge(t *testing.T) {
	received, canceled := make(chan struct{}), make(chan struct{})
	d, _ := newDispatcher(t, func(_ http.ResponseWriter, r *http.Request) {
		close(received)
		<-r.Context().Done()
		close(canceled)
	}, func(w http.ResponseWriter, r *http.Request) {
		<-received
		answer(w, r)
	})
	d.Hedges = &budget.Share{}
	d.HedgeAfter = func() time.Duration { return time.Millisecond }
	r := request(http.MethodGet, "/1", 1)
	r.Deadline = time.Now().Add(time.Hour)
	resp, err := run(t, d, r)
	if err != nil || resp.BackendServer != "1" {
		t.Fatalf("got %+v, error %v, want the answer to the hedge from backend server 1", resp, err)
	}
	<-canceled
	for end := time.Now().Add(testTimeout); d.Cell.InFlight() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d slots stay taken", d.Cell.InFlight())
		}
	}
}

// TestNoHedge guards against a hedge of a request that is not idempotent, and against one
// beyond the hedge budget. The first backend server answers late; the second one must
// receive nothing.
func TestNoHedge(t *testing.T) {
	for _, c := range []struct {
		method string
		spent  bool
	}{{http.MethodPost, false}, {http.MethodGet, true}} {
		var second atomic.Bool
		d, _ := newDispatcher(t, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(50 * time.Millisecond)
			answer(w, r)
		}, func(w http.ResponseWriter, r *http.Request) {
			second.Store(true)
			answer(w, r)
		})
		d.Hedges = &budget.Share{}
		for c.spent && d.Hedges.Spend() {
			continue
		}
		d.HedgeAfter = func() time.Duration { return time.Millisecond }
		s := service
		s.HedgeBudget = 0
		resp, err := d.Run(context.Background(), request(c.method, "/1", 1), s, true)
		if err != nil || resp.BackendServer != "0" || second.Load() {
			t.Errorf("%s: got %+v, error %v, hedged: %v; want the answer of backend server 0 without a hedge", c.method, resp, err, second.Load())
		}
	}
}

// TestFailedAttemptDoesNotBeatHedge guards against a failure that cancels a hedge.
// The first backend server answers with status 500 while the second one still works
// on the hedge.
func TestFailedAttemptDoesNotBeatHedge(t *testing.T) {
	hedged, failed := make(chan struct{}), make(chan struct{})
	d, _ := newDispatcher(t, func(w http.ResponseWriter, _ *http.Request) {
		<-hedged
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusInternalServerError)
		_ = http.NewResponseController(w).Flush()
		close(failed)
	}, func(w http.ResponseWriter, r *http.Request) {
		close(hedged)
		<-failed
		time.Sleep(20 * time.Millisecond)
		answer(w, r)
	})
	d.Hedges = &budget.Share{}
	d.HedgeAfter = func() time.Duration { return time.Millisecond }
	resp, err := run(t, d, request(http.MethodGet, "/1", 1))
	if err != nil || resp.Status != http.StatusOK {
		t.Errorf("got %+v, error %v, want the answer 200 to the hedge", resp, err)
	}
}

// TestFastFailureDoesNotRaiseLimit guards against a limit that rises because a
// backend server answers quickly, when those answers are failures.
func TestFastFailureDoesNotRaiseLimit(t *testing.T) {
	var failing atomic.Bool
	d, _ := newDispatcher(t, func(w http.ResponseWriter, r *http.Request) {
		if failing.Load() {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		answer(w, r)
	})
	d.Cell.SetRules(time.Now(), cell.Rules{ColdLimit: 1})
	for i := range 40 {
		failing.Store(i >= 20)
		if _, err := run(t, d, request(http.MethodGet, "/1", 1)); err != nil {
			t.Fatal(err)
		}
		if l := d.Cell.Load(time.Now()).Servers[0].Limit; i == 39 && l != 1 {
			t.Errorf("limit %d after failures, want the cold limit 1", l)
		}
	}
}

// TestHalfOpenConnectionIsReplaced guards against requests that fail because a pooled
// connection is half-open. The only backend server answers just the first request on each
// connection. Later requests must succeed on new connections.
func TestHalfOpenConnectionIsReplaced(t *testing.T) {
	var seen sync.Map
	d, _ := newDispatcher(t, func(w http.ResponseWriter, r *http.Request) {
		if _, again := seen.LoadOrStore(r.RemoteAddr, true); again {
			<-r.Context().Done()
			return
		}
		answer(w, r)
	})
	d.Sender.OverdueFloor = 50 * time.Millisecond
	d.Sender.ProvenFor = time.Nanosecond
	for i := range 3 {
		if _, err := run(t, d, request(http.MethodGet, "/1", 1)); err != nil {
			t.Errorf("request %d: %v", i, err)
		}
	}
}

// TestBrokenAttemptsCountAcrossCells guards against a third run of a request that
// may be what crashes backend servers. An attempt that breaks here is counted in the
// error, and one that broke in another cell counts here.
func TestBrokenAttemptsCountAcrossCells(t *testing.T) {
	d, _ := newDispatcher(t, abort)
	if _, err := run(t, d, request(http.MethodGet, "/1", 1)); err == nil || err.Broken != 1 || err.Verdict != snipefront.MayHaveRun {
		t.Errorf("answer %+v, want one broken attempt", err)
	}
	var runs atomic.Int32
	d, _ = newDispatcher(t, abort, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		answer(w, r)
	})
	r := request(http.MethodGet, "/1", 1)
	r.Broken = 1
	if _, err := run(t, d, r); err == nil || err.Broken != 2 || runs.Load() > 0 {
		t.Errorf("answer %+v after %d further runs, want none after the second broken attempt", err, runs.Load())
	}
}

// TestRetryInAnotherCellSpendsRetryBudget guards against a service whose requests are
// retried in each of its cells though the budget of the first cell is used up.
func TestRetryInAnotherCellSpendsRetryBudget(t *testing.T) {
	none := snipefront.Service{RefusalStatuses: service.RefusalStatuses}
	for _, c := range []struct {
		spent int
		want  snipefront.Reason
	}{{0, snipefront.ReasonShed}, {1, snipefront.ReasonRetryBudget}} {
		d, _ := newDispatcher(t, refuse, refuse, refuse, refuse)
		for range c.spent {
			d.Budget.Spend()
		}
		_, err := d.Run(t.Context(), request(http.MethodGet, "/1", 1), none, true)
		if e := snipefront.AsError(err); e.Reason != c.want {
			t.Errorf("after three attempts with %d of three retries spent before: reason %s, want %s", c.spent, e.Reason, c.want)
		}
	}
}
