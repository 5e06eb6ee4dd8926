package keeper_test

import (
	"context"
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

// log is a replicated log in memory. If applyDelay is set, it applies commands to the
// leader's state immediately and to the state of this instance later.
type log struct {
	state        *fleet.State
	leader       fleet.State
	applyDelay   time.Duration
	index        atomic.Uint64
	noLeader     atomic.Bool
	unresponsive []string
	// members holds the names of the members. Nil means c1 and c2.
	members []string
}

// Submit implements keeper.Submitter.
func (l *log) Submit(_ context.Context, command []byte) ([]byte, error) {
	i := l.index.Add(1)
	if l.applyDelay == 0 {
		return l.state.Apply(i, command), nil
	}
	time.AfterFunc(l.applyDelay, func() { l.state.Apply(i, command) })
	return l.leader.Apply(i, command), nil
}

// Leadership implements keeper.Log.
func (l *log) Leadership() snipefront.Leadership {
	if l.noLeader.Load() {
		return snipefront.Leadership{}
	}
	return snipefront.Leadership{Leader: "c1", Self: true, Term: 1}
}

// Unresponsive implements keeper.Log.
func (l *log) Unresponsive() []string { return l.unresponsive }

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

// TestWatchWithoutLeaderReturnsImmediately guards against an instance that waits at a
// control instance without a leader while others have a newer state.
func TestWatchWithoutLeaderReturnsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, l := newKeeper()
		l.noLeader.Store(true)
		start := time.Now()
		update, err := k.Watch(t.Context(), peers.Watch{Wait: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		if update.Current || time.Since(start) > 0 {
			t.Errorf("current is %v after %v, want false immediately", update.Current, time.Since(start))
		}
	})
}

// TestWatchReturnsWhenLeaderIsLost guards against an instance that waits to the end of
// its watch at a control instance that has lost its leader meanwhile, while others have
// a newer state.
func TestWatchReturnsWhenLeaderIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, l := newKeeper()
		start := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { l.noLeader.Store(true) })
		update, err := k.Watch(t.Context(), peers.Watch{Wait: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		if update.Current || time.Since(start) > 500*time.Millisecond {
			t.Errorf("current is %v after %v, want false within 500ms", update.Current, time.Since(start))
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

// TestUnchangedHeartbeatIsNotProposed guards against a log that grows with every
// heartbeat, and against a late heartbeat that undoes a later change.
func TestUnchangedHeartbeatIsNotProposed(t *testing.T) {
	k, l := newKeeper()
	for n := uint64(1); n < 10; n++ {
		if err := k.Heartbeat(t.Context(), server(n)); err != nil {
			t.Fatal(err)
		}
	}
	if n := l.index.Load(); n != 1 {
		t.Errorf("%d commands for unchanged heartbeats, want 1", n)
	}
	draining := server(10)
	draining.Draining = true
	if err := k.Heartbeat(t.Context(), draining); err != nil {
		t.Fatal(err)
	}
	if err := k.Heartbeat(t.Context(), server(9)); err != nil {
		t.Fatal(err)
	}
	if s, _ := l.state.Server("s"); !s.Draining {
		t.Error("after a late heartbeat the backend server is no longer draining")
	}
}

// TestServerWithoutHeartbeatsIsRemoved guards against a backend server that is removed
// despite its heartbeats, or that stays after they have stopped.
func TestServerWithoutHeartbeatsIsRemoved(t *testing.T) {
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
			t.Fatal("a backend server that sends heartbeats was removed")
		}
		time.Sleep(25 * time.Second)
		if _, ok := l.state.Server("s"); ok {
			t.Error("a backend server is still registered 25s after its last heartbeat")
		}
	})
}

// TestInstanceThatStopsWatchingIsRemoved guards against callers that are sent to an
// instance for long after it has stopped watching. If its connection broke, it must be
// removed sooner.
func TestInstanceThatStopsWatchingIsRemoved(t *testing.T) {
	for _, connectionBroke := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			k, _ := newKeeper()
			run(t, k)
			w := peers.Watch{Wait: time.Second}
			w.Instance.Name, w.Instance.CallerAddress, w.Instance.DataCentre, w.Instance.Ready = "e", "e:1", "dc1", true
			for range 20 {
				update, err := k.Watch(t.Context(), w)
				if err != nil {
					t.Fatal(err)
				}
				w.Held = update.Delta.Index
			}
			if _, ok := k.State.Instance("e"); !ok {
				t.Fatal("the instance isn't registered while it watches")
			}
			limit := 3 * time.Second
			if connectionBroke {
				limit = time.Second
				ctx, cancel := context.WithCancel(t.Context())
				cancel()
				if _, err := k.Watch(ctx, w); err == nil {
					t.Error("the watch on a broken connection returned no error")
				}
			}
			time.Sleep(limit)
			if _, ok := k.State.Instance("e"); ok {
				t.Errorf("the instance is still registered %v after it stopped watching (connection broke: %v)", limit, connectionBroke)
			}
		})
	}
}

// TestInstanceIsRegisteredOnce guards against duplicate entries of the log for an
// instance that watches repeatedly while there is no leader, and while the state here
// lags behind the log.
func TestInstanceIsRegisteredOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, l := newKeeper()
		l.applyDelay = 200 * time.Millisecond
		l.noLeader.Store(true)
		time.AfterFunc(time.Second, func() { l.noLeader.Store(false) })
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
		// One of the two entries registers the control instance itself.
		if n := l.index.Load(); n != 2 {
			t.Errorf("the log has %d entries, want 2", n)
		}
	})
}

// TestLeaderRemovesInstancesOfFailedKeeper guards against an instance that stays
// registered when it fails together with its keeper, as when a whole data centre fails.
// The leader must remove it soon, but not one whose keeper responds.
func TestLeaderRemovesInstancesOfFailedKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, l := newKeeper()
		l.unresponsive = []string{"c2"}
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
			t.Error("the instance of a failed keeper is still registered")
		}
		if _, ok := l.state.Instance("e-c3"); !ok {
			t.Error("the instance of a responsive keeper was removed")
		}
	})
}

// TestUncommittedChangeReturnsError guards against a change that is acknowledged though
// no quorum has committed it.
func TestUncommittedChangeReturnsError(t *testing.T) {
	k, _ := newKeeper()
	k.Submit = unreachable{}
	if err := k.Serve(t.Context(), fleet.Serve{DataCentre: "dc1", Out: true}, patient()); !errors.Is(err, keeper.ErrUncommitted) {
		t.Errorf("the error is %v, want ErrUncommitted", err)
	}
	if err := k.Heartbeat(t.Context(), server(1)); !errors.Is(err, keeper.ErrUncommitted) {
		t.Errorf("the error is %v, want ErrUncommitted", err)
	}
}

type unreachable struct{}

// Submit implements keeper.Submitter.
func (unreachable) Submit(context.Context, []byte) ([]byte, error) {
	return nil, errors.New("no quorum")
}

// TestUnregisteredInstanceFollowsFleet guards against an instance that is registered though
// it only follows the fleet.
func TestUnregisteredInstanceFollowsFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, _ := newKeeper()
		run(t, k)
		if err := k.Heartbeat(t.Context(), server(1)); err != nil {
			t.Fatal(err)
		}
		w := peers.Watch{Wait: time.Second}
		w.Instance.DataCentre = "dc1"
		for range 3 {
			update, err := k.Watch(t.Context(), w)
			if err != nil {
				t.Fatal(err)
			}
			w.Held = update.Delta.Index
		}
		v := k.State.View()
		if w.Held != v.Index || len(v.Servers) != 1 {
			t.Errorf("the instance has applied index %d with %d backend servers, want %d with 1", w.Held, len(v.Servers), v.Index)
		}
		for name, n := range v.Instances {
			if !n.Control {
				t.Errorf("%q is registered", name)
			}
		}
	})
}
