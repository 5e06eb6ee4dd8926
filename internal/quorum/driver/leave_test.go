package driver_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// joinTime is the time after which a new replica counts.
	joinTime = 4 * time.Second
	// quorumTimeout is the time within which a change must be accepted after the loss of a
	// replica.
	quorumTimeout = 7 * time.Second
)

// newOpenGroup returns an open group of a, b and c, and of d, which has joined it later.
func newOpenGroup(t *testing.T) *group {
	g := newGroup(t)
	g.open, g.names = true, []string{"a", "b", "c"}
	for _, n := range g.names {
		g.start(n, g.newDisk(n))
	}
	g.changeConfig("first", 0)
	g.start("d", g.newDisk("d"))
	g.names = append(g.names, "d")
	time.Sleep(joinTime)
	return g
}

// TestReplicaThatLeavesStopsCounting guards against a control quorum that ends with the next loss
// after a planned replacement: the replica that was replaced goes on counting.
func TestReplicaThatLeavesStopsCounting(t *testing.T) {
	for _, leaderLeaves := range []bool{false, true} {
		t.Run(fmt.Sprint("leader leaves ", leaderLeaves), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newOpenGroup(t)
				leader := g.waitForLeader().Name
				var left, lost string
				for _, n := range []string{"a", "b", "c"} {
					switch {
					case left == "" && (n == leader) == leaderLeaves:
						left = n
					case lost == "":
						lost = n
					}
				}
				if err := g.replica(left).Leave(t.Context()); err != nil {
					t.Fatal("leave:", err)
				}
				g.killAndWait(left)
				g.killAndWait(lost)
				begun := time.Now()
				if r := g.changeConfig("second", 1); r.Revision != 2 || time.Since(begun) > quorumTimeout {
					t.Errorf("a change after %s has left and %s was lost: %+v after %v, want revision 2 within %v", left, lost, r, time.Since(begun), quorumTimeout)
				}
				g.stop()
			})
		})
	}
}

// TestLeaveIsRefusedAtOnce guards against a process that waits before it ends though it can't be
// replaced, as in a planned restart of one of three.
func TestLeaveIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		g.changeConfig("first", 0)
		for _, n := range g.names {
			begun := time.Now()
			if err := g.replica(n).Leave(t.Context()); err != nil || time.Since(begun) > 100*time.Millisecond {
				t.Errorf("%s of a configured group may end after %v (%v)", n, time.Since(begun), err)
			}
		}
		g.stop()
	})
}

// TestLeaveEndsWithItsContext guards against a process that waits for good for a quorum that isn't
// there.
func TestLeaveEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newOpenGroup(t)
		for _, n := range []string{"b", "c", "d"} {
			g.killAndWait(n)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := g.replica("a").Leave(ctx); err == nil {
			t.Error("a has left a group without a quorum")
		}
		g.stop()
	})
}
