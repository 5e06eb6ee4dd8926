package driver_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestLeaderKilledAtEachStep ends the leader before the n-th save or send after a
// proposal, for each n, and resends: the change is accepted once.
func TestLeaderKilledAtEachStep(t *testing.T) {
	for n := int64(1); n <= 12; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "a", "b", "c")
				first := f.change("before", 0).Revision
				leader := f.leader()
				var events atomic.Int64
				var killed atomic.Pointer[member]
				event := func(name string) {
					if name == leader.Name && events.Add(1) == n {
						killed.Store(f.kill(name))
					}
				}
				f.event.Store(&event)
				r := f.change("x", first)
				time.Sleep(time.Second)
				again := f.change("x", first)
				if r.Conflict || r.Revision != first+1 || again.Revision != r.Revision || !again.Repeated {
					t.Fatalf("first %+v, then %+v", r, again)
				}
				if killed.Load() == nil {
					t.Fatal("the leader was not killed")
				}
				if err := <-killed.Load().ended; err != nil {
					t.Fatal(err)
				}
				f.start(leader.Name, leader.memory)
				f.agree()
				if h := f.leader().state.History(); len(h) != 2 {
					t.Fatalf("accepted %+v", h)
				}
				f.stop()
			})
		})
	}
}

// TestResultsOutliveRestartsAndDisks makes hundreds of changes, replaces a disk,
// loses another replica right after that, restarts all, and resends.
func TestResultsOutliveRestartsAndDisks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.change("c0", 0)
		f.restart()
		for i := range uint64(300) {
			f.change(fmt.Sprint("c", i), i)
		}
		term := f.leader().Leadership().Term
		f.restart()
		if l := f.leader().Leadership(); l.Term <= term {
			t.Fatalf("term %d after %d", l.Term, term)
		}
		f.end("b")
		f.start("b", f.blank("b"))
		f.agree()
		time.Sleep(time.Second)
		gone := f.end("c")
		if r := f.change("after", 300); r.Revision != 301 {
			t.Fatalf("with a replaced disk and one replica lost: %+v", r)
		}
		f.start("c", gone.memory)
		f.agree()
		f.restart()
		if r := f.change("c0", 0); r.Revision != 1 || !r.Repeated {
			t.Fatalf("resend after the restart: %+v", r)
		}
		if r := f.change("c299", 299); r.Revision != 300 || !r.Repeated {
			t.Fatalf("resend after the restart: %+v", r)
		}
		f.agree()
		f.stop()
	})
}

// TestFailingDiskStepsAside makes the leader's writes fail, and then work again.
func TestFailingDiskStepsAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.change("x", 0)
		leader := f.leader()
		leader.memory.breakDown()
		if _, err := leader.Propose(t.Context(), []byte("{}")); err == nil {
			t.Fatal("acknowledged without a save")
		}
		leader.memory.mu.Lock()
		leader.memory.fail = false
		leader.memory.mu.Unlock()
		if r := f.change("y", 1); r.Revision != 2 {
			t.Fatalf("%+v", r)
		}
		time.Sleep(10 * time.Second)
		if _, err := leader.Propose(t.Context(), []byte("{}")); err == nil || leader.Leadership().Self {
			t.Fatal("came back after a failed save")
		}
		if leader.state.Revision() != 1 {
			t.Fatal("took in more after a failed save")
		}
		f.stop()
	})
}

// TestCutOffLeaderGivesUp cuts the leader off, both ways and one way, and lets it
// return.
func TestCutOffLeaderGivesUp(t *testing.T) {
	for _, oneWay := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, "a", "b", "c")
			f.change("x", 0)
			leader := f.leader()
			f.mu.Lock()
			f.deaf, f.mute = leader.Name, leader.Name
			if oneWay {
				f.mute = ""
			}
			f.mu.Unlock()
			if _, err := leader.Propose(t.Context(), []byte("{}")); err == nil || leader.Leadership().Self {
				t.Fatal("acknowledged without a quorum")
			}
			if r := f.change("y", 1); r.Revision != 2 {
				t.Fatalf("%+v", r)
			}
			time.Sleep(time.Minute)
			term := f.leader().Leadership().Term
			f.mu.Lock()
			f.deaf, f.mute = "", ""
			f.mu.Unlock()
			f.agree()
			time.Sleep(10 * time.Second)
			if l := f.leader().Leadership(); l.Term > term {
				t.Fatalf("the return made an election: term %d after %d", l.Term, term)
			}
			f.stop()
		})
	}
}
