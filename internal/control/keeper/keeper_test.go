package keeper_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/control/keeper"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// log applies commands at once, or the own state some time after the leader's, and
// may have no leader or silent members.
type log struct {
	state  *fleet.State
	leader fleet.State
	lag    time.Duration
	index  atomic.Uint64
	lost   atomic.Bool
	silent []string
	// members are c1 and c2 where this is nil.
	members []string
}

// Submit implements keeper.Submitter.
func (l *log) Submit(_ context.Context, command []byte) ([]byte, error) {
	i := l.index.Add(1)
	if l.lag == 0 {
		return l.state.Apply(i, command), nil
	}
	time.AfterFunc(l.lag, func() { l.state.Apply(i, command) })
	return l.leader.Apply(i, command), nil
}

// Leadership implements keeper.Log.
func (l *log) Leadership() snipefront.Leadership {
	if l.lost.Load() {
		return snipefront.Leadership{}
	}
	return snipefront.Leadership{Leader: "c1", Self: true, Term: 1}
}

// Silent implements keeper.Log.
func (l *log) Silent() []string { return l.silent }

// Members implements keeper.Log.
func (l *log) Members() []string {
	if l.members != nil {
		return l.members
	}
	return []string{"c1", "c2"}
}

func newKeeper() (*keeper.Keeper, *log) {
	l := &log{state: &fleet.State{}}
	self := fleet.Instance{Control: true}
	self.Name, self.DataCentre, self.CallerAddress = "c1", "dc1", "c1:1"
	return &keeper.Keeper{
		Self: self, State: l.state, Log: l, Submit: l, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}, l
}

func server(sequence uint64) fleet.Server {
	var n fleet.Server
	n.Name, n.Service, n.DataCentre, n.Address = "s", "balance", "dc1", "a:1"
	n.Incarnation, n.Sequence, n.Slots = 5, sequence, 2
	return n
}

// TestWatchWithoutALeaderAnswersAtOnce shows that an instance that asks a control
// instance out of touch is not kept waiting there, while others know more.
func TestWatchWithoutALeaderAnswersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, l := newKeeper()
		l.lost.Store(true)
		begun := time.Now()
		n, err := k.Watch(t.Context(), peers.Watch{Wait: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		if n.Current || time.Since(begun) > 0 {
			t.Errorf("current is %v after %v, want false at once", n.Current, time.Since(begun))
		}
	})
}

// TestWatchEndsWhenTheLeaderIsLost is the same for a leader that is lost while an
// instance waits.
func TestWatchEndsWhenTheLeaderIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, l := newKeeper()
		begun := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { l.lost.Store(true) })
		n, err := k.Watch(t.Context(), peers.Watch{Wait: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		if n.Current || time.Since(begun) > 500*time.Millisecond {
			t.Errorf("current is %v after %v, want false soon", n.Current, time.Since(begun))
		}
	})
}

// run runs k until the test ends.
func run(t *testing.T, k *keeper.Keeper) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// TestHeartbeatWithoutNewsIsNotProposed shows that only changes reach the log, and
// that a late heartbeat is none.
func TestHeartbeatWithoutNewsIsNotProposed(t *testing.T) {
	k, l := newKeeper()
	for n := uint64(1); n < 10; n++ {
		if err := k.Heartbeat(t.Context(), server(n)); err != nil {
			t.Fatal(err)
		}
	}
	if n := l.index.Load(); n != 1 {
		t.Errorf("%d commands for heartbeats without news, want 1", n)
	}
	leaving := server(10)
	leaving.Draining = true
	if err := k.Heartbeat(t.Context(), leaving); err != nil {
		t.Fatal(err)
	}
	if err := k.Heartbeat(t.Context(), server(9)); err != nil {
		t.Fatal(err)
	}
	if s, _ := l.state.Server("s"); !s.Draining {
		t.Error("a late heartbeat took back that the backend server leaves")
	}
}

// TestSilentServerIsTakenOut shows that heartbeats keep a backend server and that it
// goes some time after the last one.
func TestSilentServerIsTakenOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, l := newKeeper()
		run(t, k)
		for n := uint64(1); n <= 40; n++ {
			if err := k.Heartbeat(t.Context(), server(n)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1500 * time.Millisecond)
		}
		if _, ok := l.state.Server("s"); !ok {
			t.Fatal("a backend server with heartbeats was taken out")
		}
		time.Sleep(25 * time.Second)
		if _, ok := l.state.Server("s"); ok {
			t.Error("a silent backend server is still there")
		}
	})
}

// TestInstanceThatStopsWatchingIsTakenOut shows that callers are not sent to an
// instance for long after it has fallen silent, and sooner where its connection
// broke.
func TestInstanceThatStopsWatchingIsTakenOut(t *testing.T) {
	for _, broke := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			k, _ := newKeeper()
			run(t, k)
			w := peers.Watch{Wait: time.Second}
			w.Instance.Name, w.Instance.CallerAddress, w.Instance.DataCentre, w.Instance.Ready = "e", "e:1", "dc1", true
			for range 20 {
				n, err := k.Watch(t.Context(), w)
				if err != nil {
					t.Fatal(err)
				}
				w.Held = n.Delta.Index
			}
			if list := k.Entries("r", "dc1"); len(list) != 1 {
				t.Fatalf("callers are sent to %v", list)
			}
			limit := 3 * time.Second
			if broke {
				limit = time.Second
				ctx, cancel := context.WithCancel(t.Context())
				cancel()
				if _, err := k.Watch(ctx, w); err == nil {
					t.Error("a broken connection was answered")
				}
			}
			time.Sleep(limit)
			if list := k.Entries("r", "dc1"); len(list) != 0 {
				t.Errorf("callers are sent to %v, %v after it fell silent (connection broke: %v)", list, limit, broke)
			}
		})
	}
}

// TestInstanceIsRegisteredOnce shows that an instance which watches again and again,
// while there is no leader and while the own state lags behind, is one entry of the
// log.
func TestInstanceIsRegisteredOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, l := newKeeper()
		l.lag = 200 * time.Millisecond
		l.lost.Store(true)
		time.AfterFunc(time.Second, func() { l.lost.Store(false) })
		run(t, k)
		var w peers.Watch
		w.Instance.Name, w.Instance.CallerAddress, w.Instance.DataCentre = "e", "e:1", "dc1"
		w.Wait = 10 * time.Millisecond
		for range 100 {
			if _, err := k.Watch(t.Context(), w); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
		}
		if _, ok := l.state.Instance("e"); !ok {
			t.Error("the instance is not registered")
		}
		// One entry is the control instance's own.
		if n := l.index.Load(); n != 2 {
			t.Errorf("the log has %d entries, want 2", n)
		}
	})
}

// TestLeaderActsForALostKeeper shows that an instance whose keeper is lost with it, as
// in the loss of a data centre, is taken out soon, and that one whose keeper is there
// is not.
func TestLeaderActsForALostKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, l := newKeeper()
		l.silent = []string{"c2"}
		for _, name := range []string{"c2", "c3"} {
			var n fleet.Instance
			n.Name, n.CallerAddress, n.Keeper, n.Ready = "e-"+name, "e:"+name, name, true
			b, err := fleet.Command{Join: &n}.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := l.Submit(t.Context(), b); err != nil {
				t.Fatal(err)
			}
		}
		l.members = []string{"c1", "c2", "c3"}
		run(t, k)
		time.Sleep(time.Second)
		if _, ok := l.state.Instance("e-c2"); ok {
			t.Error("the instance of a lost keeper is still there")
		}
		if _, ok := l.state.Instance("e-c3"); !ok {
			t.Error("the instance of another keeper was taken out")
		}
	})
}

// TestUncommittedOrderIsNotAcknowledged shows that an order without a quorum fails.
func TestUncommittedOrderIsNotAcknowledged(t *testing.T) {
	k, _ := newKeeper()
	k.Submit = unreachable{}
	if err := k.Serve(t.Context(), fleet.Serve{DataCentre: "dc1", Out: true}); !errors.Is(err, keeper.ErrUncommitted) {
		t.Errorf("the error is %v", err)
	}
	if err := k.Heartbeat(t.Context(), server(1)); !errors.Is(err, keeper.ErrUncommitted) {
		t.Errorf("the error is %v", err)
	}
}

type unreachable struct{}

// Submit implements keeper.Submitter.
func (unreachable) Submit(context.Context, []byte) ([]byte, error) {
	return nil, errors.New("no quorum")
}

// BenchmarkEntries reports the time of a look-up beside very many backend servers.
func BenchmarkEntries(b *testing.B) {
	k, l := newKeeper()
	put := func(c fleet.Command) {
		text, err := c.Encode()
		if err != nil {
			b.Fatal(err)
		}
		l.state.Apply(l.index.Add(1), text)
	}
	for i := range 3_300 {
		n := server(1)
		n.Name, n.Address = fmt.Sprint("s", i), fmt.Sprint("a:", i)
		put(fleet.Command{Register: &n})
	}
	for i := range 500 {
		var n fleet.Instance
		n.Name, n.CallerAddress, n.DataCentre, n.Ready = fmt.Sprint("e", i), fmt.Sprint("e:", i), fmt.Sprint("dc", i%15), true
		put(fleet.Command{Join: &n})
	}
	for b.Loop() {
		if len(k.Entries("r", "dc1")) == 0 {
			b.Fatal("no entries")
		}
	}
}
