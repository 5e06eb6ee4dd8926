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

// limit bounds a wait that only a hanging test reaches.
const limit = 30 * time.Second

var name = snipefront.Cell{Service: "charge", DataCentre: "dc1"}

// lease is held until it is told to lapse.
type lease struct{ lapsed atomic.Bool }

func (l *lease) Held(time.Time) bool { return !l.lapsed.Load() }

type uncounted struct{}

func (uncounted) Retried(string, snipefront.Reason) {}

// set returns a set that owns the cell name, with one backend server of one slot.
func set(t *testing.T, l cells.Lease, h http.HandlerFunc) *cells.Set {
	t.Helper()
	b := httptest.NewServer(h)
	t.Cleanup(b.Close)
	s := &cells.Set{Lease: l, Make: func(c snipefront.Cell) *local.Dispatcher {
		return &local.Dispatcher{
			Cell:    &cell.Cell{Name: c, Picker: picker.Free{}, MaxQueue: 10},
			Sender:  &sender.Sender{MaxAnswerBytes: 1 << 10, OverdueFloor: limit},
			Budget:  &budget.Share{},
			Counter: uncounted{},
		}
	}}
	s.Adopt(&member.View{
		Self:   "i1",
		Epoch:  snipefront.Epoch{Number: 1, Instances: []snipefront.Instance{{Name: "i1", DataCentre: "dc1"}}},
		Config: &snipefront.Config{},
	})
	s.Announce(time.Now(), snipefront.BackendServer{
		Service: name.Service, DataCentre: name.DataCentre, Name: "b1", Address: b.Listener.Addr().String(), Incarnation: 1, Slots: 1,
	})
	return s
}

// serve sends a request that may wait, and reports its end.
func serve(t *testing.T, s *cells.Set, target string) <-chan *snipefront.Error {
	ended := make(chan *snipefront.Error, 1)
	r := &snipefront.Request{Method: http.MethodPost, Target: target, Deadline: time.Now().Add(limit)}
	v := snipefront.Service{RefusalStatuses: []int{http.StatusServiceUnavailable}, RetryBudget: 1}
	go func() {
		_, err := s.Serve(t.Context(), name, r, v, true)
		ended <- snipefront.AsError(err)
	}()
	return ended
}

// TestNothingIsDispatchedOnLapsedLease lets the lease lapse while one request
// runs and another waits for its slot. The second one is refused as not run,
// although the slot becomes free and its deadline is far off. After the lease is
// held again the cell serves.
func TestNothingIsDispatchedOnLapsedLease(t *testing.T) {
	l := &lease{}
	begun, finish := make(chan string, 10), make(chan struct{})
	s := set(t, l, func(_ http.ResponseWriter, h *http.Request) {
		begun <- h.URL.Path
		<-finish
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	first := serve(t, s, "/first")
	<-begun
	second := serve(t, s, "/second")
	await(t, func() bool { return s.Get(name).Cell.Load(time.Now()).Queued == 1 })
	l.lapsed.Store(true)
	close(finish)
	if e := <-first; e != nil {
		t.Errorf("the request that was running: %v", e)
	}
	e := <-second
	if e == nil || e.Verdict != snipefront.NotRun || e.RetryAfter == 0 {
		t.Errorf("the request that waited: %v", e)
	}
	select {
	case path := <-begun:
		t.Errorf("%s was dispatched on a lapsed lease", path)
	default:
	}
	l.lapsed.Store(false)
	await(t, func() bool { return s.Get(name).Cell.Load(time.Now()).Free == 1 })
	if e := <-serve(t, s, "/third"); e != nil {
		t.Errorf("after the lease is held again: %v", e)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestRepeatNeedsLease has a backend server that refuses while the lease lapses:
// the request is not repeated at another one.
func TestRepeatNeedsLease(t *testing.T) {
	l := &lease{}
	s := set(t, l, func(w http.ResponseWriter, _ *http.Request) {
		l.lapsed.Store(true)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	var repeats atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { repeats.Add(1) }))
	t.Cleanup(other.Close)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	first := serve(t, s, "/first")
	await(t, func() bool { return l.lapsed.Load() })
	s.Announce(time.Now(), snipefront.BackendServer{
		Service: name.Service, DataCentre: name.DataCentre, Name: "b2", Address: other.Listener.Addr().String(), Incarnation: 1, Slots: 1,
	})
	if e := <-first; e == nil || e.Verdict != snipefront.NotRun {
		t.Errorf("got %v, want a refusal as not run", e)
	}
	if n := repeats.Load(); n != 0 {
		t.Errorf("%d repeats on a lapsed lease", n)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func await(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("gave up waiting")
		}
	}
}

// TestLeftAddressesAreForgotten has a backend server announce itself at another
// address, and then not any more. No connection to either address stays open.
func TestLeftAddressesAreForgotten(t *testing.T) {
	var open atomic.Int64
	s := set(t, &lease{}, func(http.ResponseWriter, *http.Request) {})
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
			Service: name.Service, DataCentre: name.DataCentre, Name: "b1", Address: address, Incarnation: incarnation, Slots: 1,
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	announce(b.Listener.Addr().String(), 2)
	if err := <-serve(t, s, "/first"); err != nil {
		t.Fatal(err)
	}
	if n := open.Load(); n != 1 {
		t.Fatalf("%d connections are open after a request, want 1", n)
	}
	announce("127.0.0.1:1", 3)
	await(t, func() bool { return open.Load() == 0 })
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
