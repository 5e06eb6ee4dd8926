package member_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront/internal/control/member"
)

// TestOneDispatcherAtAnyTime guards against two instances that dispatch for one
// cell at the same time, and the other faults that checkInvariants finds, while
// processes and the network fail and the leader changes. It runs the real Leader
// and Member under a random schedule of faults for each seed.
func TestOneDispatcherAtAnyTime(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaults(t, seed) })
		})
	}
}

func runFaults(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	random := rand.New(rand.NewPCG(seed, 1))
	f := newFleet(ctx, 5)
	defer f.stop(cancel)
	runFor(f, t, "start", 3*time.Second)
	for step := range 25 {
		i := random.IntN(len(f.nodes))
		fault := f.injectFault(ctx, random, f.nodes[i], i, step)
		runFor(f, t, fmt.Sprintf("step %d, instance %d: %s", step, i, fault), time.Duration(random.IntN(3000))*time.Millisecond)
	}
	f.clearFaults()
	runFor(f, t, "faults cleared", 3*lease)
	f.checkConverged(t)
}

// injectFault injects one random fault or change, and returns its description.
func (f *fleet) injectFault(ctx context.Context, random *rand.Rand, n *node, i, step int) string {
	kind := random.IntN(9)
	if kind == 0 {
		n.kill()
		n.start(ctx, i, uint64(step)+2)
		return "killed and restarted"
	}
	if kind == 1 {
		f.elect()
		return "leader changed"
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch kind {
	case 2:
		n.unreachable = !n.unreachable
		return "toggled unreachable"
	case 3:
		n.answersLost = !n.answersLost
		return "toggled loss of answers"
	case 4:
		n.delay = time.Duration(random.IntN(390)) * time.Millisecond
		return "slow network"
	case 5:
		n.busy = !n.busy
		return "toggled requests in flight"
	case 6:
		n.member.Leave()
		return "leaving"
	default:
		f.configure(step)
		return "configuration changed"
	}
}

func (f *fleet) clearFaults() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		n.unreachable, n.answersLost, n.busy, n.delay = false, false, false, 0
	}
}

// checkConverged fails the test unless the current revision is in force, no
// instance waits for its epoch to settle, and each cell has one dispatcher.
func (f *fleet) checkConverged(t *testing.T) {
	if inForce, waiting, _ := f.controlInstances[f.leaderIndex].InForce(time.Now(), f.state.Revision()); !inForce {
		t.Errorf("revision %d is not in force: waiting for %v", f.state.Revision(), waiting)
	}
	staying := 0
	for _, n := range f.nodes {
		if !n.member.Leaving() {
			staying++
		}
		if n.member.View().Waiting {
			t.Errorf("%s still waits for the epoch to settle", n.member.Instance.Name)
		}
	}
	for _, c := range testCells {
		if dispatchers := f.dispatchers(time.Now(), c); staying > 0 && len(dispatchers) != 1 {
			t.Errorf("cell %v is dispatched by %v, want one instance", c, dispatchers)
		}
	}
}

// TestUnreachableInstanceLosesItsCells guards against a cell without an owner. If
// messages of the owner are dropped without an error, its lease must expire and
// another instance must take over; the owner gets the cell back when it is
// reachable again.
func TestUnreachableInstanceLosesItsCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 4)
		defer f.stop(cancel)
		runFor(f, t, "start", 2*lease)
		c := testCells[0]
		before := f.dispatchers(time.Now(), c)
		n := f.nodeByName(before[0])
		f.setFaults(func() { n.unreachable = true })
		runFor(f, t, "unreachable", lease+2*interval+takeoverTime)
		after := f.dispatchers(time.Now(), c)
		if len(after) != 1 || after[0] == before[0] {
			t.Errorf("cell %v went from %v to %v, want another instance", c, before, after)
		}
		f.clearFaults()
		runFor(f, t, "reachable again", 2*lease)
		if back := f.dispatchers(time.Now(), c); len(back) != 1 || back[0] != before[0] {
			t.Errorf("cell %v is dispatched by %v after the return of %v, want the one that returned", c, back, before)
		}
	})
}

// takeoverTime is the time for the leader to notice that a lease has expired, and
// for the other instances to apply the new epoch.
const takeoverTime = time.Second

func (f *fleet) nodeByName(name string) *node {
	for _, n := range f.nodes {
		if n.member.Instance.Name == name {
			return n
		}
	}
	panic("no instance " + name)
}

// TestReturningInstanceWaitsForSettledEpoch guards against two dispatchers of one
// cell. An instance whose lease expired and that missed an epoch must not dispatch
// for its former cells as soon as it has a lease again, since another instance may
// own them by then. It must wait until the epoch is settled. runFor checks this.
func TestReturningInstanceWaitsForSettledEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 4)
		defer f.stop(cancel)
		runFor(f, t, "start", 2*lease)
		c := testCells[0]
		first := f.nodeByName(f.dispatchers(time.Now(), c)[0])
		f.setFaults(func() { first.unreachable = true })
		runFor(f, t, "unreachable", lease+2*interval+takeoverTime)
		second := f.nodeByName(f.dispatchers(time.Now(), c)[0])
		f.setFaults(func() { first.unreachable, first.answersLost, second.unreachable = false, true, true })
		runFor(f, t, "first reachable without answers, second unreachable", 3*interval)
		f.setFaults(func() { first.answersLost = false })
		runFor(f, t, "first receives answers", 2*lease)
	})
}

// setFaults changes the network faults of the instances.
func (f *fleet) setFaults(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// TestLowerRevisionIsIgnored guards against an instance that returns to an older
// configuration, as it could if it gets a grant from a leader with an older state.
func TestLowerRevisionIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 1)
		defer f.stop(cancel)
		f.configure(1)
		old, err := f.state.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		f.configure(2)
		runFor(f, t, "start", lease)
		if err := f.state.Restore(old); err != nil {
			t.Fatal(err)
		}
		time.Sleep(lease)
		if r := f.nodes[0].member.View().Config.Revision; r != 2 {
			t.Errorf("the instance returned to revision %d, want 2", r)
		}
	})
}

var _ member.Cells = (*node)(nil)
