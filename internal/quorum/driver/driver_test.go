package driver_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestChangeIsAcceptedOnceIfLeaderCrashes guards against a change that is lost or applied
// twice. The leader crashes at its n-th event after a proposal, for each n from 1 to 12,
// and the proposal is resent. An event is the start or the end of a save, or the start
// of a call.
func TestChangeIsAcceptedOnceIfLeaderCrashes(t *testing.T) {
	for n := int64(1); n <= 12; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, "a", "b", "c")
				first := g.changeConfig("before", 0).Revision
				leader := g.waitForLeader()
				var events atomic.Int64
				var killed atomic.Pointer[replica]
				event := func(name string) {
					if name == leader.Name && events.Add(1) == n {
						killed.Store(g.kill(name))
					}
				}
				g.event.Store(&event)
				r := g.changeConfig("x", first)
				time.Sleep(time.Second)
				again := g.changeConfig("x", first)
				if r.Conflict || r.Revision != first+1 || again.Revision != r.Revision || !again.Repeated {
					t.Fatalf("the change returned %+v and its resend %+v, want one new revision and a repeated result", r, again)
				}
				if killed.Load() == nil {
					t.Fatal("the leader was not killed")
				}
				if err := <-killed.Load().ended; err != nil {
					t.Fatal(err)
				}
				g.start(leader.Name, leader.storage)
				g.waitForAgreement()
				if h := g.waitForLeader().state.History(); len(h) != 2 {
					t.Fatalf("history %+v, want 2 changes", h)
				}
				g.stop()
			})
		})
	}
}

// TestResultsSurviveRestartsAndDiskReplacement guards against results that are forgotten,
// so that a resent change conflicts. After hundreds of changes a disk is replaced, another
// replica crashes right after that, all replicas restart, and changes are resent.
func TestResultsSurviveRestartsAndDiskReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		g.changeConfig("c0", 0)
		g.restart()
		for i := range uint64(300) {
			g.changeConfig(fmt.Sprint("c", i), i)
		}
		term := g.waitForLeader().Leadership().Term
		g.restart()
		if l := g.waitForLeader().Leadership(); l.Term <= term {
			t.Fatalf("term %d after term %d, want a later one", l.Term, term)
		}
		g.killAndWait("b")
		g.start("b", g.newDisk("b"))
		g.waitForAgreement()
		time.Sleep(time.Second)
		stopped := g.killAndWait("c")
		if r := g.changeConfig("after", 300); r.Revision != 301 {
			t.Fatalf("change with a replaced disk and one replica down: %+v, want revision 301", r)
		}
		g.start("c", stopped.storage)
		g.waitForAgreement()
		g.restart()
		if r := g.changeConfig("c0", 0); r.Revision != 1 || !r.Repeated {
			t.Fatalf("resend after the restart: %+v, want revision 1, repeated", r)
		}
		if r := g.changeConfig("c299", 299); r.Revision != 300 || !r.Repeated {
			t.Fatalf("resend after the restart: %+v, want revision 300, repeated", r)
		}
		g.waitForAgreement()
		g.stop()
	})
}

// TestReplicaStopsForGoodAfterFailedSave guards against a replica that keeps running
// after a failed write, when it no longer knows what its disk contains. The leader's
// writes fail and then work again.
func TestReplicaStopsForGoodAfterFailedSave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		g.changeConfig("x", 0)
		leader := g.waitForLeader()
		leader.storage.failWrites()
		if _, err := leader.Propose(t.Context(), []byte("{}")); err == nil {
			t.Fatal("the leader acknowledged a command that it could not save")
		}
		leader.storage.mu.Lock()
		leader.storage.fail = false
		leader.storage.mu.Unlock()
		if r := g.changeConfig("y", 1); r.Revision != 2 {
			t.Fatalf("change without the failed leader: %+v, want revision 2", r)
		}
		time.Sleep(10 * time.Second)
		if _, err := leader.Propose(t.Context(), []byte("{}")); err == nil || leader.Leadership().Self {
			t.Fatal("replica runs again after a failed save")
		}
		if leader.state.Revision() != 1 {
			t.Fatal("replica applied a change after a failed save")
		}
		g.stop()
	})
}

// TestPartitionedLeaderStepsDown guards against two leaders, and against an election when
// a partition heals. The leader is cut off in both directions or for received messages
// only, and is then connected again.
func TestPartitionedLeaderStepsDown(t *testing.T) {
	for _, oneWay := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t, "a", "b", "c")
			g.changeConfig("x", 0)
			leader := g.waitForLeader()
			g.mu.Lock()
			g.inboundCut, g.outboundCut = leader.Name, leader.Name
			if oneWay {
				g.outboundCut = ""
			}
			g.mu.Unlock()
			if _, err := leader.Propose(t.Context(), []byte("{}")); err == nil || leader.Leadership().Self {
				t.Fatal("the partitioned leader acknowledged a command or did not step down")
			}
			if r := g.changeConfig("y", 1); r.Revision != 2 {
				t.Fatalf("change without the partitioned leader: %+v, want revision 2", r)
			}
			time.Sleep(time.Minute)
			term := g.waitForLeader().Leadership().Term
			g.mu.Lock()
			g.inboundCut, g.outboundCut = "", ""
			g.mu.Unlock()
			g.waitForAgreement()
			time.Sleep(10 * time.Second)
			if l := g.waitForLeader().Leadership(); l.Term > term {
				t.Fatalf("reconnecting the old leader caused an election: term %d after %d", l.Term, term)
			}
			g.stop()
		})
	}
}
