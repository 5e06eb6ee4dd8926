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

// testCell is a cell of ten backend servers with one slot each. It implements
// probe.Sender and probe.Counter.
type testCell struct {
	cell         *cell.Cell
	rate         float64
	unresponsive map[string]bool
	// sent counts the probes by backend server, and probedBusy those to a busy backend
	// server, whose only slot a request of the test occupies.
	sent       map[string]int
	probedBusy int
	busy       map[string]bool
}

func (c *testCell) Probe(_ context.Context, b snipefront.BackendServer, _ string) bool {
	c.sent[b.Name]++
	if c.busy[b.Name] {
		c.probedBusy++
	}
	time.Sleep(6 * time.Millisecond)
	return !c.unresponsive[b.Name]
}

func (c *testCell) Probed(string, bool) {}

func newTestCell() *testCell {
	c := &testCell{
		cell:         &cell.Cell{Name: snipefront.Cell{Service: "s"}, Picker: picker.Free{}, MaxQueue: 1},
		unresponsive: map[string]bool{},
		sent:         map[string]int{},
		busy:         map[string]bool{},
	}
	c.cell.SetRules(time.Now(), cell.Rules{ColdLimit: 1})
	for i := range 10 {
		c.cell.Announce(time.Now(), snipefront.BackendServer{Name: fmt.Sprint(i), Slots: 1, Incarnation: 1, Expires: time.Now().Add(time.Hour)})
	}
	c.cell.Open(time.Now())
	return c
}

// run sends probes for the time d and returns the total number sent.
func (c *testCell) run(t *testing.T, d time.Duration) int {
	t.Helper()
	p := &probe.Prober{
		Cells: func() []*cell.Cell { return []*cell.Cell{c.cell} },
		Config: func() *snipefront.Config {
			return &snipefront.Config{Services: map[string]snipefront.Service{"s": {ProbePath: "/health"}}}
		},
		Rate:    func() float64 { return c.rate },
		Sender:  c,
		Counter: c,
	}
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	if err := p.Run(ctx); err != nil {
		t.Error(err)
	}
	n := 0
	for _, x := range c.sent {
		n += x
	}
	return n
}

// TestProbesStayWithinTheRate guards against more probes than the lease grants, and
// against any without a grant.
func TestProbesStayWithinTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, x := range []struct {
			rate     float64
			min, max int
		}{{0, 0, 0}, {0.5, 28, 31}, {4, 225, 241}} {
			c := newTestCell()
			c.rate = x.rate
			if n := c.run(t, time.Minute); n < x.min || n > x.max {
				t.Errorf("%d probes in a minute at %v per second, want %d to %d", n, x.rate, x.min, x.max)
			}
		}
	})
}

// TestBusyBackendServersAreNotProbed guards against probes that exceed a limit: a
// backend server whose slots are taken gets none, and all idle ones get some.
func TestBusyBackendServersAreNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell()
		c.rate = 100
		for range 4 {
			s, err := c.cell.Acquire(t.Context(), cell.SlotRequest{Deadline: time.Now().Add(time.Hour)})
			if err != nil {
				t.Fatal(err)
			}
			c.busy[s.BackendServer.Name] = true
			defer s.Done(cell.Canceled)
		}
		c.run(t, 10*time.Second)
		if c.probedBusy > 0 || len(c.sent) != 6 {
			t.Errorf("probes by backend server: %v, want them at the 6 idle ones; %d sent while a request was running", c.sent, c.probedBusy)
		}
	})
}

// TestProbesFindUnresponsiveBackendServers guards against requests to a backend server
// that answers no probe, while others have a free slot. Once it answers probes again, it
// must get requests again.
func TestProbesFindUnresponsiveBackendServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell()
		c.rate = 100
		c.unresponsive["3"] = true
		c.run(t, 10*time.Second)
		if c.granted(t, 9)["3"] {
			t.Error("a request went to a backend server that answers no probe, although others were free")
		}
		c.unresponsive["3"] = false
		c.run(t, 10*time.Second)
		for range 1000 {
			if c.granted(t, 1)["3"] {
				return
			}
		}
		t.Error("none of 1000 requests went to a backend server that answers probes again")
	})
}

// granted takes n slots at the same time, returns the names of their backend servers and
// releases the slots.
func (c *testCell) granted(t *testing.T, n int) map[string]bool {
	t.Helper()
	got := map[string]bool{}
	for range n {
		s, err := c.cell.Acquire(t.Context(), cell.SlotRequest{Deadline: time.Now().Add(time.Hour)})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Done(cell.Canceled)
		got[s.BackendServer.Name] = true
	}
	return got
}
