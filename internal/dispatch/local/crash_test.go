package local_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
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

// crashCells is the dispatchers of several cells, whose registers share their records.
// Each backend server crashes when it receives a request.
type crashCells struct {
	dispatchers []*local.Dispatcher
	crashes     atomic.Int32
}

// Share implements poison.Sharer.
func (c *crashCells) Share(r poison.Record) {
	for _, d := range c.dispatchers {
		d.Poison.Merge(time.Now(), []poison.Record{r})
	}
}

func newCrashCells(t *testing.T, cells, servers int) *crashCells {
	t.Helper()
	c := &crashCells{}
	for i := range cells {
		dataCentre := fmt.Sprint("dc", i)
		one := &cell.Cell{Picker: firstFree{}, MaxQueue: 10}
		one.SetRules(time.Now(), cell.Rules{ColdLimit: 3})
		for j := range servers {
			one.Announce(time.Now(), snipefront.BackendServer{
				Name: fmt.Sprint(dataCentre, "-", j), DataCentre: dataCentre, Address: c.startServer(t),
				Incarnation: 1, Slots: 3, Expires: time.Now().Add(time.Hour),
			})
		}
		one.Open(time.Now())
		c.dispatchers = append(c.dispatchers, &local.Dispatcher{
			Cell: one, Sender: &sender.Sender{MaxAnswerBytes: 1 << 10, OverdueFloor: testTimeout},
			Budget: &budget.Share{}, Counter: nopCounter{}, Poison: &poison.Register{Spread: c},
		})
	}
	return c
}

// startServer starts a backend server and returns its address.
func (c *crashCells) startServer(t *testing.T) string {
	var s *httptest.Server
	var once sync.Once
	s = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		once.Do(func() {
			c.crashes.Add(1)
			s.Listener.Close()
			s.CloseClientConnections()
		})
		// Another copy may have been accepted just before. A crashed process answers none.
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// sendToAll sends the request 9 several times through each cell at the same moment, and
// waits for all.
func (c *crashCells) sendToAll(t *testing.T, copies int) {
	var all sync.WaitGroup
	for _, d := range c.dispatchers {
		for range copies {
			all.Go(func() { _, _ = d.Run(t.Context(), request(http.MethodPost, "/1", 9), service, true) })
		}
	}
	all.Wait()
}

// TestRequestSentAtOnceIsQuarantined guards against a request that crashes each backend
// server that runs it, is sent through all instances at the same moment, and is never
// quarantined, since so many crashes at once look like an outage.
func TestRequestSentAtOnceIsQuarantined(t *testing.T) {
	c := newCrashCells(t, 4, 12)
	c.sendToAll(t, 4)
	first := c.crashes.Load()
	for range 5 {
		c.sendToAll(t, 4)
	}
	t.Logf("%d backend servers crashed at first", first)
	if n := c.crashes.Load(); first < 2 || n > first {
		t.Errorf("%d backend servers crashed at first and %d later, want 2 or more and none", first, n-first)
	}
}

// TestSuspectsOfAnOutageAreServed guards against harmless requests that were in flight in
// an outage and are refused although most slots are free, since they run one at a time.
func TestSuspectsOfAnOutageAreServed(t *testing.T) {
	const suspects, servers = 30, 12
	var running, most atomic.Int32
	slow := func(w http.ResponseWriter, r *http.Request) {
		n := running.Add(1)
		for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
			n = running.Load()
		}
		time.Sleep(60 * time.Millisecond)
		running.Add(-1)
		answer(w, r)
	}
	d, _ := newDispatcher(t, slices.Repeat([]http.HandlerFunc{slow}, servers)...)
	var records []poison.Record
	for f := range uint64(suspects) {
		records = append(records, poison.Record{Fingerprint: f, Left: time.Minute, Crashed: []poison.Server{{Name: fmt.Sprint("x", f/9)}}})
	}
	d.Poison.Merge(time.Now(), records)
	var all sync.WaitGroup
	for f := range uint64(suspects) {
		all.Go(func() {
			if _, err := run(t, d, request(http.MethodGet, "/1", f)); err != nil {
				t.Errorf("suspect %d is not answered: %v", f, err)
			}
		})
	}
	all.Wait()
	if n := most.Load(); n < 2 {
		t.Errorf("%d suspects run at the same time on %d backend servers, want more", n, servers)
	}
}

// TestServerErrorReleasesNoSuspect guards against a request that crashes backend servers
// and is released since another one answers it with a server error in place of running it.
func TestServerErrorReleasesNoSuspect(t *testing.T) {
	for status, want := range map[int]poison.Admission{
		http.StatusOK: poison.Clear, http.StatusNotFound: poison.Clear, http.StatusInternalServerError: poison.Quarantined,
		http.StatusBadGateway: poison.Quarantined, http.StatusTooManyRequests: poison.Quarantined,
	} {
		d, _ := newDispatcher(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		crashed := func(names ...string) {
			for _, name := range names {
				d.Poison.Merge(time.Now(), []poison.Record{{Fingerprint: 9, Left: time.Minute, Crashed: []poison.Server{{Name: name}}}})
			}
		}
		crashed("x")
		_, _ = run(t, d, request(http.MethodPost, "/1", 9))
		crashed("y", "z")
		if got, _ := d.Poison.Admit(time.Now(), 9); got != want {
			t.Errorf("after an answer with status %d the request is admitted as %d, want %d", status, got, want)
		}
	}
}

// TestCrashAfterCallerLeftIsTied guards against a request that crashes backend servers and is
// sent on and on, since its callers leave before the crash.
func TestCrashAfterCallerLeftIsTied(t *testing.T) {
	const patience, crash, servers = 20 * time.Millisecond, 60 * time.Millisecond, 8
	var crashes atomic.Int32
	var list []*httptest.Server
	var handlers []http.HandlerFunc
	for i := range servers {
		var once sync.Once
		handlers = append(handlers, func(http.ResponseWriter, *http.Request) {
			time.Sleep(crash)
			once.Do(func() {
				crashes.Add(1)
				list[i].Listener.Close()
				list[i].CloseClientConnections()
			})
			panic(http.ErrAbortHandler)
		})
	}
	d, started := newDispatcher(t, handlers...)
	list = started
	for range servers {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		_, _ = d.Run(ctx, request(http.MethodGet, "/1", 9), service, true)
		cancel()
		time.Sleep(4 * crash)
	}
	if n := crashes.Load(); n != 2 {
		t.Errorf("%d backend servers crashed, want 2", n)
	}
}
