package keeper_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/clock/timer"
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

// caller implements keeper.Caller. Its connection stays open until it leaves, as far as the
// instance sees.
type caller struct {
	since time.Time
	// takes is the time of a round trip to it.
	takes time.Duration
	// leaves is when it gives up, as only Confirm shows. Zero is never.
	leaves time.Time
	// meanwhile is called while Confirm returns, unless it is nil.
	meanwhile func()
}

// patient returns a caller that has just sent its order and waits for as long as callers do.
func patient() caller {
	return caller{since: time.Now(), takes: confirmTime, leaves: time.Now().Add(time.Second)}
}

// confirmTime is the time of a round trip to a caller, unless a test sets another one.
const confirmTime = 10 * time.Millisecond

// Since implements keeper.Caller.
func (c caller) Since() time.Time { return c.since }

// Confirm implements keeper.Caller.
func (c caller) Confirm(ctx context.Context) error {
	asked := time.Now()
	timer.Sleep(ctx, c.takes)
	if !c.leaves.IsZero() && asked.After(c.leaves) {
		return errors.New("connection reset")
	}
	if c.meanwhile != nil {
		c.meanwhile()
	}
	return ctx.Err()
}

// order returns an order to take the data centre dc1 out of service, or to return it.
func order(out bool) fleet.Serve { return fleet.Serve{DataCentre: "dc1", Out: out} }

// TestOrderOfFrozenInstanceIsNotApplied guards against a data centre that is in service again,
// for good, since an instance was frozen while it handled an order that has been undone by
// a later one at another instance.
func TestOrderOfFrozenInstanceIsNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, other, l := newKeeperPair()
		k.Submit = &frozen{log: l, time: 4 * time.Second}
		if err := other.Serve(t.Context(), order(true), patient()); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- k.Serve(t.Context(), order(false), patient()) }()
		time.Sleep(time.Second)
		for _, out := range []bool{false, true} {
			if err := other.Serve(t.Context(), order(out), patient()); err != nil {
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
// waited on a slow link, although its caller has closed the connection: while the instance asks
// whether it waits, or soon after an intermediary has said so.
func TestOrderWithoutCallerIsNotProposed(t *testing.T) {
	for _, takes := range []time.Duration{confirmTime, 0} {
		synctest.Test(t, func(t *testing.T) {
			k, l := newKeeper()
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(5*time.Millisecond, cancel)
			from := patient()
			from.takes = takes
			if err := k.Serve(ctx, order(true), from); !errors.Is(err, keeper.ErrCallerLeft) {
				t.Errorf("confirmed in %v: the error is %v, want ErrCallerLeft", takes, err)
			}
			if l.state.View().Out["dc1"] {
				t.Errorf("confirmed in %v: the order was applied", takes)
			}
		})
	}
}

// TestOrderThatArrivesLateIsNotProposed guards against a data centre that is in service again,
// for good, since an order was held up on its way, and the close of its connection for longer:
// the instance ran all the while, and sees an open connection.
func TestOrderThatArrivesLateIsNotProposed(t *testing.T) {
	for name, c := range map[string]struct {
		// age is how long ago the caller opened its connection, and left how long ago it gave up.
		age, left time.Duration
		late      bool
	}{
		"on a new connection, whose caller can't be asked": {age: 4 * time.Second, late: true},
		"on a connection that is as new as the order":      {left: 3 * time.Second, late: true},
		"for a short time, but its caller has left":        {age: 300 * time.Millisecond, left: 100 * time.Millisecond, late: true},
		"for a short time, and its caller waits":           {age: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k, other, l := newKeeperPair()
				time.Sleep(time.Minute)
				if err := other.Serve(t.Context(), order(true), patient()); err != nil {
					t.Fatal(err)
				}
				from := caller{since: time.Now().Add(-c.age), takes: confirmTime}
				if c.left > 0 {
					from.leaves = time.Now().Add(-c.left)
				}
				err := k.Serve(t.Context(), order(false), from)
				if late := errors.Is(err, keeper.ErrCallerLeft); late != c.late {
					t.Errorf("the error is %v, want ErrCallerLeft: %v", err, c.late)
				}
				if out := l.state.View().Out["dc1"]; out != c.late {
					t.Errorf("the data centre is out of service: %v, want %v", out, c.late)
				}
			})
		})
	}
}

// overtaken implements keeper.Submitter. It applies later orders before the first command that it
// submits.
type overtaken struct {
	*log
	by     *keeper.Keeper
	orders []fleet.Serve
}

// Submit implements keeper.Submitter.
func (o *overtaken) Submit(ctx context.Context, command []byte) ([]byte, error) {
	orders := o.orders
	o.orders = nil
	for _, c := range orders {
		if err := o.by.Serve(ctx, c, patient()); err != nil {
			return nil, err
		}
	}
	return o.log.Submit(ctx, command)
}

// TestOvertakenOrderIsConfirmedAgain guards against an order that is applied behind later ones of
// its caller, which has left while the commit was under way.
func TestOvertakenOrderIsConfirmedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, other, l := newKeeperPair()
		if err := other.Serve(t.Context(), order(true), patient()); err != nil {
			t.Fatal(err)
		}
		k.Submit = &overtaken{log: l, by: other, orders: []fleet.Serve{order(false), order(true)}}
		from := patient()
		from.leaves = time.Now().Add(2 * confirmTime)
		if err := k.Serve(t.Context(), order(false), from); !errors.Is(err, keeper.ErrCallerLeft) {
			t.Errorf("the error is %v, want ErrCallerLeft", err)
		}
		if !l.state.View().Out["dc1"] {
			t.Error("the data centre is in service, want it out by the last order")
		}
	})
}

// TestOrdersDuringConfirmationMakeOrderStale guards against an order that is applied behind later
// ones of its caller, which left as soon as it had shown that it waits.
func TestOrdersDuringConfirmationMakeOrderStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, other, l := newKeeperPair()
		if err := other.Serve(t.Context(), order(true), patient()); err != nil {
			t.Fatal(err)
		}
		from := patient()
		from.leaves = time.Now()
		from.meanwhile = func() {
			for _, out := range []bool{false, true} {
				if err := other.Serve(t.Context(), order(out), patient()); err != nil {
					t.Error(err)
				}
			}
		}
		if err := k.Serve(t.Context(), order(false), from); !errors.Is(err, keeper.ErrCallerLeft) {
			t.Errorf("the error is %v, want ErrCallerLeft", err)
		}
		if !l.state.View().Out["dc1"] {
			t.Error("the data centre is in service, want it out by the last order")
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
			go func() {
				ended <- at.Serve(t.Context(), fleet.Serve{DataCentre: string(rune('a' + i)), Out: true}, patient())
			}()
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
