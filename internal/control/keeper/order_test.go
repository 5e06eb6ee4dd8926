package keeper_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/control/keeper"
)

// frozen implements keeper.Submitter. It submits the first command after a time in which the
// instance stands still.
type frozen struct {
	*log
	time  time.Duration
	froze bool
}

// Submit implements keeper.Submitter.
func (f *frozen) Submit(ctx context.Context, command []byte) ([]byte, error) {
	if !f.froze {
		f.froze = true
		time.Sleep(f.time)
	}
	return f.log.Submit(ctx, command)
}

// inOrder implements keeper.Submitter. It applies commands one after the other, each after the
// time of a commit.
type inOrder struct {
	*log
	mu sync.Mutex
}

// Submit implements keeper.Submitter.
func (o *inOrder) Submit(ctx context.Context, command []byte) ([]byte, error) {
	time.Sleep(commitTime)
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.log.Submit(ctx, command)
}

// commitTime is the time that the commit of a command takes.
const commitTime = 20 * time.Millisecond

// order returns an order to take the data centre dc1 out of service, or to return it.
func order(out bool) fleet.Serve { return fleet.Serve{DataCentre: "dc1", Out: out} }

// TestOrderOfFrozenInstanceIsNotApplied guards against a data centre that is in service again,
// for good, since an instance was frozen while it handled an order that has been undone by
// a later one at another instance.
func TestOrderOfFrozenInstanceIsNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, other, l := newKeeperPair()
		k.Submit = &frozen{log: l, time: 4 * time.Second}
		if err := other.Serve(t.Context(), order(true)); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- k.Serve(t.Context(), order(false)) }()
		time.Sleep(time.Second)
		for _, out := range []bool{false, true} {
			if err := other.Serve(t.Context(), order(out)); err != nil {
				t.Fatal(err)
			}
		}
		if err := <-ended; !errors.Is(err, keeper.ErrCallerLeft) {
			t.Errorf("the error is %v, want ErrCallerLeft", err)
		}
		if !l.state.View().Out["dc1"] {
			t.Error("the data centre is in service, want it out by the last order")
		}
	})
}

// TestOrderWithoutCallerIsNotProposed guards against an order that is applied late, since it
// waited on a slow link, although its caller has closed the connection.
func TestOrderWithoutCallerIsNotProposed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, l := newKeeper()
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(5*time.Millisecond, cancel)
		if err := k.Serve(ctx, order(true)); !errors.Is(err, keeper.ErrCallerLeft) {
			t.Errorf("the error is %v, want ErrCallerLeft", err)
		}
		if l.state.View().Out["dc1"] {
			t.Error("the order was applied")
		}
	})
}

// TestConcurrentOrdersAreAllApplied guards against an order that is refused since another one,
// for another data centre or at another instance, was applied at the same time.
func TestConcurrentOrdersAreAllApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, other, l := newKeeperPair()
		k.Submit = &inOrder{log: l}
		other.Submit = k.Submit
		const orders = 8
		ended := make(chan error, orders)
		for i := range orders {
			at := []*keeper.Keeper{k, other}[i%2]
			go func() { ended <- at.Serve(t.Context(), fleet.Serve{DataCentre: string(rune('a' + i)), Out: true}) }()
		}
		for range orders {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
		if out := l.state.View().Out; len(out) != orders {
			t.Errorf("out of service are %v, want %d data centres", out, orders)
		}
	})
}
