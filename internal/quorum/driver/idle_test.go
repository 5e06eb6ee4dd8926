package driver_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestIdleFollowersMakeNoCalls checks that followers send their replies in the answers
// to the leader's heartbeats. If they sent them in calls of their own, an idle group
// would make twice as many calls.
func TestIdleFollowersMakeNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		g.changeConfig("x", 0)
		leader := g.waitForLeader().Name
		time.Sleep(time.Second)
		for _, n := range g.names {
			g.takeCounts(n)
			time.Sleep(time.Minute)
			calls, replies := g.takeCounts(n)
			if n != leader && calls > 0 || n == leader && (calls == 0 || replies > 0) {
				t.Errorf("with leader %[2]s, replica %[1]s made %[3]d calls with %[4]d replies in a minute, want calls by the leader only and no replies", n, leader, calls, replies)
			}
		}
		if l := g.waitForLeader(); l.Name != leader {
			t.Errorf("leader of the idle group is %s, was %s", l.Name, leader)
		}
		g.stop()
	})
}

// TestReplyIsSentAfterCallTimesOut guards against lost replies: with a slow disk, the
// save takes longer than the call that it answers, so the reply must go in a call of
// its own.
func TestReplyIsSentAfterCallTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		g.changeConfig("x", 0)
		leader := g.waitForLeader().Name
		slow := g.names[0]
		if slow == leader {
			slow = g.names[1]
		}
		time.Sleep(time.Second)
		g.takeCounts(slow)
		event := func(name string) {
			if name == slow {
				time.Sleep(300 * time.Millisecond)
			}
		}
		g.event.Store(&event)
		g.changeConfig("y", 1)
		time.Sleep(2 * time.Second)
		g.event.Store(nil)
		if _, replies := g.takeCounts(slow); replies == 0 {
			t.Error("the reply to a call that timed out is lost")
		}
		g.waitForAgreement()
		g.stop()
	})
}
