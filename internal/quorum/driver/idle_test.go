package driver_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestIdleGroupMakesOneCallForAHeartbeat shows that the replies come with the
// answers: only the leader calls.
func TestIdleGroupMakesOneCallForAHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.change("x", 0)
		leader := f.leader().Name
		time.Sleep(time.Second)
		for _, n := range f.names {
			f.counts(n)
			time.Sleep(time.Minute)
			calls, replies := f.counts(n)
			if n != leader && calls > 0 || n == leader && (calls == 0 || replies > 0) {
				t.Errorf("%s, with %s leading, made %d calls with %d replies", n, leader, calls, replies)
			}
		}
		if l := f.leader(); l.Name != leader {
			t.Errorf("%s leads after %s", l.Name, leader)
		}
		f.stop()
	})
}

// TestReplyAfterTheCallerGaveUp makes a save outlast the call that it answers.
func TestReplyAfterTheCallerGaveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.change("x", 0)
		leader := f.leader().Name
		slow := f.names[0]
		if slow == leader {
			slow = f.names[1]
		}
		time.Sleep(time.Second)
		f.counts(slow)
		event := func(name string) {
			if name == slow {
				time.Sleep(300 * time.Millisecond)
			}
		}
		f.event.Store(&event)
		f.change("y", 1)
		time.Sleep(2 * time.Second)
		f.event.Store(nil)
		if _, replies := f.counts(slow); replies == 0 {
			t.Error("the reply to a call that was given up is lost")
		}
		f.agree()
		f.stop()
	})
}
