package keeper_test

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/control/keeper"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// log applies commands at once, and may have no leader or silent members.
type log struct {
	state  *fleet.State
	index  atomic.Uint64
	lost   atomic.Bool
	silent []string
}

// Submit implements keeper.Submitter.
func (l *log) Submit(_ context.Context, command []byte) ([]byte, error) {
	return l.state.Apply(l.index.Add(1), command), nil
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
func (l *log) Members() []string { return []string{"c1", "c2"} }

func newKeeper() (*keeper.Keeper, *log) {
	l := &log{state: &fleet.State{}}
	self := fleet.Instance{Control: true}
	self.Name, self.DataCentre, self.CallerAddress = "c1", "dc1", "c1:1"
	return &keeper.Keeper{
		Self: self, State: l.state, Log: l, Submit: l, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}, l
}

func server(name, address string, incarnation, sequence uint64) fleet.Server {
	var n fleet.Server
	n.Name, n.Service, n.DataCentre, n.Address = name, "balance", "dc1", address
	n.Incarnation, n.Sequence, n.Slots = incarnation, sequence, 2
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
