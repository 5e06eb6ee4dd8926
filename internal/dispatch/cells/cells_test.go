package cells_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
	"github.com/snipefront/snipefront/internal/dispatch/cells"
	"github.com/snipefront/snipefront/internal/dispatch/local"
	"github.com/snipefront/snipefront/internal/dispatch/picker"
	"github.com/snipefront/snipefront/internal/dispatch/sender"
)

// testTimeout bounds each wait. Only a test that hangs reaches it.
const testTimeout = 30 * time.Second

var testCell = snipefront.Cell{Service: "charge", DataCentre: "dc1"}

// lease is held unless expired is set.
type lease struct{ expired atomic.Bool }

func (l *lease) Held(time.Time) bool { return !l.expired.Load() }

type discardCounter struct{}

func (discardCounter) Retried(string, snipefront.Reason) {}

// newSet returns a set that owns testCell, which has one backend server of one slot.
func newSet(t *testing.T, l cells.Lease, h http.HandlerFunc) *cells.Set {
	t.Helper()
	b := httptest.NewServer(h)
	t.Cleanup(b.Close)
	s := &cells.Set{Lease: l, Make: func(c snipefront.Cell) *local.Dispatcher {
		return &local.Dispatcher{
			Cell:    &cell.Cell{Name: c, Picker: picker.Free{}, MaxQueue: 10},
			Sender:  &sender.Sender{MaxAnswerBytes: 1 << 10, OverdueFloor: testTimeout},
			Budget:  &budget.Share{},
			Counter: discardCounter{},
		}
	}}
	s.Apply(&member.View{
		Self:   "i1",
		Epoch:  snipefront.Epoch{Number: 1, Instances: []snipefront.Instance{{Name: "i1", DataCentre: "dc1"}}},
		Config: &snipefront.Config{},
	})
	s.Announce(time.Now(), snipefront.BackendServer{
		Service: testCell.Service, DataCentre: testCell.DataCentre, Name: "b1", Address: b.Listener.Addr().String(), Incarnation: 1, Slots: 1,
	})
	return s
}

// serveAsync serves a request that may wait for a slot, and returns a channel that
// receives its error, or nil.
func serveAsync(t *testing.T, s *cells.Set, target string) <-chan *snipefront.Error {
	ended := make(chan *snipefront.Error, 1)
	r := &snipefront.Request{Method: http.MethodPost, Target: target, Deadline: time.Now().Add(testTimeout)}
	service := snipefront.Service{RefusalStatuses: []int{http.StatusServiceUnavailable}, RetryBudget: 1}
	go func() {
		_, err := s.Serve(t.Context(), testCell, r, service, true)
		ended <- snipefront.AsError(err)
	}()
	return ended
}

// TestNothingIsDispatchedOnExpiredLease guards against dispatch without a lease. The lease
// expires while one request runs and another waits for its slot. The waiting one must be
// refused with the verdict not-run, although the slot becomes free and its deadline is
// far off. Once the lease is held again, the cell must serve requests.
func TestNothingIsDispatchedOnExpiredLease(t *testing.T) {
	l := &lease{}
	begun, finish := make(chan string, 10), make(chan struct{})
	s := newSet(t, l, func(_ http.ResponseWriter, h *http.Request) {
		begun <- h.URL.Path
		<-finish
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	first := serveAsync(t, s, "/first")
	<-begun
	second := serveAsync(t, s, "/second")
	await(t, func() bool { return s.Get(testCell).Cell.Load(time.Now()).Queued == 1 })
	l.expired.Store(true)
	close(finish)
	if e := <-first; e != nil {
		t.Errorf("running request: %v", e)
	}
	e := <-second
	if e == nil || e.Verdict != snipefront.NotRun || e.RetryAfter == 0 {
		t.Errorf("waiting request: got %v, want a refusal with verdict not-run and a retry delay", e)
	}
	select {
	case path := <-begun:
		t.Errorf("%s was dispatched while the lease was expired", path)
	default:
	}
	l.expired.Store(false)
	await(t, func() bool { return s.Get(testCell).Cell.Load(time.Now()).Free == 1 })
	if e := <-serveAsync(t, s, "/third"); e != nil {
		t.Errorf("request after the lease is held again: %v", e)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestRetryNeedsLease guards against retries without a lease. The lease expires while a
// backend server refuses a request, which must not be retried at another one.
func TestRetryNeedsLease(t *testing.T) {
	l := &lease{}
	s := newSet(t, l, func(w http.ResponseWriter, _ *http.Request) {
		l.expired.Store(true)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	var retries atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { retries.Add(1) }))
	t.Cleanup(other.Close)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	first := serveAsync(t, s, "/first")
	await(t, func() bool { return l.expired.Load() })
	s.Announce(time.Now(), snipefront.BackendServer{
		Service: testCell.Service, DataCentre: testCell.DataCentre, Name: "b2", Address: other.Listener.Addr().String(), Incarnation: 1, Slots: 1,
	})
	if e := <-first; e == nil || e.Verdict != snipefront.NotRun {
		t.Errorf("got %v, want a refusal with verdict not-run", e)
	}
	if n := retries.Load(); n != 0 {
		t.Errorf("%d retries while the lease was expired, want 0", n)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func await(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for the condition")
		}
	}
}

// TestConnectionsToFormerAddressesClose guards against leaked connections: after a
// backend server has announced another address, its connections to the old one close.
func TestConnectionsToFormerAddressesClose(t *testing.T) {
	var open atomic.Int64
	s := newSet(t, &lease{}, func(http.ResponseWriter, *http.Request) {})
	b := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	b.Config.ConnState = func(_ net.Conn, c http.ConnState) {
		switch c {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		}
	}
	b.Start()
	t.Cleanup(b.Close)
	announce := func(address string, incarnation uint64) {
		s.Announce(time.Now(), snipefront.BackendServer{
			Service: testCell.Service, DataCentre: testCell.DataCentre, Name: "b1", Address: address, Incarnation: incarnation, Slots: 1,
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	announce(b.Listener.Addr().String(), 2)
	if err := <-serveAsync(t, s, "/first"); err != nil {
		t.Fatal(err)
	}
	if n := open.Load(); n != 1 {
		t.Fatalf("%d connections open after a request, want 1", n)
	}
	announce("127.0.0.1:1", 3)
	await(t, func() bool { return open.Load() == 0 })
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
