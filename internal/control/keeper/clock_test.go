package keeper_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/control/follow"
	"github.com/snipefront/snipefront/internal/control/keeper"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// registerTime bounds the time until an instance that starts is registered.
const registerTime = 500 * time.Millisecond

// keeperCaller implements follow.Caller with a keeper in the same process.
type keeperCaller struct{ keeper *keeper.Keeper }

// Watch implements follow.Caller.
func (c keeperCaller) Watch(ctx context.Context, _ string, w peers.Watch) (peers.Update, error) {
	return c.keeper.Watch(ctx, w)
}

// instance returns a registration of the instance e.
func instance(incarnation uint64) fleet.Instance {
	n := fleet.Instance{Keeper: "c1"}
	n.Name, n.CallerAddress, n.DataCentre, n.Incarnation = "e", "e:1", "dc1", incarnation
	return n
}

// put applies c to the log.
func (l *log) put(t *testing.T, c fleet.Command) {
	t.Helper()
	b, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	l.state.Apply(l.index.Add(1), b)
}

// startInstance follows the fleet as the instance e until the test ends.
func startInstance(t *testing.T, k *keeper.Keeper, incarnation uint64) {
	f := &follow.Follower{
		Self: instance(incarnation), Seeds: func() []string { return []string{"c1"} }, Caller: keeperCaller{k},
		Publish: func(fleet.View, fleet.Delta) {}, Logger: slog.New(slog.DiscardHandler),
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	f.SetReady(true)
}

// TestRestartAfterClockStepIsRegistered guards against an instance that isn't registered
// after a restart, since the clock of its machine was set back meanwhile and its
// registration looks older than the one of the process before it.
func TestRestartAfterClockStepIsRegistered(t *testing.T) {
	for name, step := range map[string]time.Duration{"2 s back": -2 * time.Second, "1 h back": -time.Hour, "ahead": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k, l := newKeeper()
				run(t, k)
				before := uint64(time.Now().UnixNano())
				l.put(t, fleet.Command{Join: new(instance(before))})
				time.Sleep(100 * time.Millisecond)
				startInstance(t, k, uint64(time.Now().Add(step).UnixNano()))
				time.Sleep(registerTime)
				if n, ok := l.state.Instance("e"); !ok || n.Incarnation == before || !n.Ready {
					t.Errorf("%v after its restart the instance is registered (%v) as %+v, want the new process", registerTime, ok, n)
				}
			})
		})
	}
}

// TestControlInstanceAfterClockStepIsRegistered guards against the same for a control
// instance, which registers itself.
func TestControlInstanceAfterClockStepIsRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, l := newKeeper()
		before := k.Self
		before.Incarnation, before.CallerAddress = 9, "c1:old"
		l.put(t, fleet.Command{Join: &before})
		k.Self.Incarnation = 5
		run(t, k)
		time.Sleep(registerTime)
		if n, _ := l.state.Instance("c1"); n.CallerAddress != "c1:1" {
			t.Errorf("%v after its restart the control instance is registered as %+v, want the new process", registerTime, n)
		}
	})
}

// TestOutrankedInstanceExpires guards against the registration of a process that has ended
// and stays, since the watches of the process after it, which doesn't know how to replace
// it, are taken for those of the first.
func TestOutrankedInstanceExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, l := newKeeper()
		run(t, k)
		l.put(t, fleet.Command{Join: new(instance(9))})
		w := peers.Watch{Wait: 100 * time.Millisecond, Instance: instance(5)}
		for begun := time.Now(); time.Since(begun) < 4*time.Second; {
			if _, err := k.Watch(t.Context(), w); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if n, _ := l.state.Instance("e"); n.Incarnation != 5 {
			t.Errorf("after 4s the instance is registered as %+v, want the process that watches", n)
		}
	})
}

// TestInstanceThatWatchesAgainStays guards against an instance that is removed since its last
// watch was broken off, though it has watched again on a new connection before that was
// noticed.
func TestInstanceThatWatchesAgainStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, _ := newKeeper()
		run(t, k)
		w := peers.Watch{Wait: time.Second, Instance: instance(5)}
		if _, err := k.Watch(t.Context(), w); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		w.Held = k.State.Index()
		broken, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)
		first, second := make(chan error, 1), make(chan error, 1)
		go func() { _, err := k.Watch(broken, w); first <- err }()
		time.Sleep(10 * time.Millisecond)
		go func() { _, err := k.Watch(t.Context(), w); second <- err }()
		if <-first == nil {
			t.Error("the broken watch returned no error")
		}
		time.Sleep(900 * time.Millisecond)
		if _, ok := k.State.Instance("e"); !ok {
			t.Error("the instance is removed while it watches")
		}
		if err := <-second; err != nil {
			t.Error(err)
		}
	})
}
