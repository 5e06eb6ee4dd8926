package probe_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
	"github.com/snipefront/snipefront/internal/dispatch/picker"
	"github.com/snipefront/snipefront/internal/dispatch/probe"
)

// world is ten backend servers of one slot in one cell.
type world struct {
	cell *cell.Cell
	rate float64
	dead map[string]bool
	// sent counts the probes by backend server, and busy the requests of ours that
	// were running at a backend server when a probe came.
	sent map[string]int
	busy int
	held map[string]bool
}

func (w *world) Probe(_ context.Context, b snipefront.BackendServer, _ string) bool {
	w.sent[b.Name]++
	if w.held[b.Name] {
		w.busy++
	}
	time.Sleep(6 * time.Millisecond)
	return !w.dead[b.Name]
}

func (w *world) Probed(string, bool) {}

func newWorld() *world {
	w := &world{
		cell: &cell.Cell{Name: snipefront.Cell{Service: "s"}, Picker: picker.Free{}, MaxQueue: 1},
		dead: map[string]bool{},
		sent: map[string]int{},
		held: map[string]bool{},
	}
	w.cell.Rule(time.Now(), cell.Rules{ColdLimit: 1})
	for i := range 10 {
		w.cell.Announce(time.Now(), snipefront.BackendServer{Name: fmt.Sprint(i), Slots: 1, Incarnation: 1, Expires: time.Now().Add(time.Hour)})
	}
	w.cell.Open(time.Now())
	return w
}

// run probes for a time and returns the number of probes.
func (w *world) run(t *testing.T, d time.Duration) int {
	t.Helper()
	p := &probe.Prober{
		Cells: func() []*cell.Cell { return []*cell.Cell{w.cell} },
		Config: func() *snipefront.Config {
			return &snipefront.Config{Services: map[string]snipefront.Service{"s": {ProbePath: "/health"}}}
		},
		Rate:    func() float64 { return w.rate },
		Sender:  w,
		Counter: w,
	}
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	if err := p.Run(ctx); err != nil {
		t.Error(err)
	}
	n := 0
	for _, x := range w.sent {
		n += x
	}
	return n
}

// TestProbesStayWithinTheRate shows that probes never exceed what is granted,
// and that without a grant there are none.
func TestProbesStayWithinTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, x := range []struct {
			rate   float64
			lo, hi int
		}{{0, 0, 0}, {0.5, 28, 31}, {4, 225, 241}} {
			w := newWorld()
			w.rate = x.rate
			if n := w.run(t, time.Minute); n < x.lo || n > x.hi {
				t.Errorf("%d probes in a minute at %v a second, want %d to %d", n, x.rate, x.lo, x.hi)
			}
		}
	})
}

// TestBusyBackendServersAreNotProbed shows that a backend server whose slots are
// taken, or that answers requests, gets no probe, and that all idle ones do.
func TestBusyBackendServersAreNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.rate = 100
		for range 4 {
			s, err := w.cell.Acquire(t.Context(), cell.Wanted{Deadline: time.Now().Add(time.Hour)})
			if err != nil {
				t.Fatal(err)
			}
			w.held[s.BackendServer.Name] = true
			defer s.Done(cell.Canceled)
		}
		w.run(t, 10*time.Second)
		if w.busy > 0 || len(w.sent) != 6 {
			t.Errorf("probed %v, %d of them while a request was running", w.sent, w.busy)
		}
	})
}

// TestProbesFindTheDead shows that a backend server that answers no probe gets no
// request while others have a free slot, and gets one again once it answers.
func TestProbesFindTheDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.rate = 100
		w.dead["3"] = true
		w.run(t, 10*time.Second)
		if w.given(t, 9)["3"] {
			t.Error("a request went to a backend server that answers no probe, with others free")
		}
		w.dead["3"] = false
		w.run(t, 10*time.Second)
		for range 1000 {
			if w.given(t, 1)["3"] {
				return
			}
		}
		t.Error("of 1000 requests none went to a backend server that answers again")
	})
}

// given returns which backend servers get n requests at once.
func (w *world) given(t *testing.T, n int) map[string]bool {
	t.Helper()
	got := map[string]bool{}
	for range n {
		s, err := w.cell.Acquire(t.Context(), cell.Wanted{Deadline: time.Now().Add(time.Hour)})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Done(cell.Canceled)
		got[s.BackendServer.Name] = true
	}
	return got
}
