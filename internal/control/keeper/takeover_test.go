package keeper_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/control/keeper"
)

const (
	// heartbeatInterval is the time between the heartbeats of a backend server.
	heartbeatInterval = 1500 * time.Millisecond
	// recoverTime bounds the time after an odd entry until the true server, which goes on
	// sending heartbeats to the same control instance, is registered again.
	recoverTime = 10 * time.Second
	// moveTime bounds it if the odd entry came to another control instance, which first
	// removes it, since its heartbeats stay away for 20 s.
	moveTime = 20*time.Second + recoverTime
	// high is above every sequence and incarnation of a true server in these tests.
	high = 1 << 52
)

// newKeeperPair returns the keepers of two control instances, c1 and c2, with one log.
func newKeeperPair() (k, other *keeper.Keeper, l *log) {
	k, l = newKeeper()
	k.Self.Keeper = "c1"
	self := k.Self
	self.Name, self.CallerAddress, self.Keeper = "c2", "c2:1", "c2"
	return k, &keeper.Keeper{Self: self, State: k.State, Log: l, Submit: l, Logger: k.Logger}, l
}

// goOn sends heartbeats of the true server to k for d, beginning with the sequence from. It
// returns the next sequence.
func goOn(t *testing.T, k *keeper.Keeper, from uint64, d time.Duration) uint64 {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); from++ {
		time.Sleep(heartbeatInterval)
		if err := k.Heartbeat(t.Context(), server(from)); err != nil {
			t.Fatal(err)
		}
	}
	return from
}

// checkTrueServer checks that the true server is registered and ready, and nothing else.
func checkTrueServer(t *testing.T, l *log) {
	t.Helper()
	n, ok := l.state.Server("s")
	want := server(0)
	if !ok || n.BackendServer != want.BackendServer || n.ColdMillis != 0 {
		t.Errorf("the backend server is registered (%v) as %+v, want the true one, ready", ok, n)
	}
	if v := l.state.View(); len(v.Servers) != 1 {
		t.Errorf("%d backend servers are registered, want 1", len(v.Servers))
	}
}

// oddEntries holds heartbeats under the name, or at the address, of a true server that it
// hasn't sent. Each changes the heartbeat that the true server sends next.
var oddEntries = map[string]func(n *fleet.Server){
	"higher sequence":                    func(n *fleet.Server) { n.Sequence = high },
	"higher incarnation":                 func(n *fleet.Server) { n.Incarnation = high },
	"next sequence, another address":     func(n *fleet.Server) { n.Address = "b:1" },
	"higher sequence, another address":   func(n *fleet.Server) { n.Sequence, n.Address = high, "b:1" },
	"higher incarnation, other address":  func(n *fleet.Server) { n.Incarnation, n.Address = high, "b:1" },
	"higher sequence, another service":   func(n *fleet.Server) { n.Sequence, n.Service = high, "other" },
	"next sequence, draining":            func(n *fleet.Server) { n.Draining = true },
	"higher sequence, draining":          func(n *fleet.Server) { n.Sequence, n.Draining = high, true },
	"higher incarnation, draining":       func(n *fleet.Server) { n.Incarnation, n.Draining = high, true },
	"higher sequence, cold":              func(n *fleet.Server) { n.Sequence, n.ColdMillis = high, 3_600_000 },
	"lower sequence, draining":           func(n *fleet.Server) { n.Sequence, n.Draining = 1, true },
	"no incarnation":                     func(n *fleet.Server) { n.Incarnation = 0 },
	"another name":                       func(n *fleet.Server) { n.Name = "odd" },
	"another name, no incarnation":       func(n *fleet.Server) { n.Name, n.Incarnation = "odd", 0 },
	"another name, higher incarnation":   func(n *fleet.Server) { n.Name, n.Incarnation = "odd", high },
	"another name and service, draining": func(n *fleet.Server) { n.Name, n.Service, n.Incarnation, n.Draining = "odd", "other", high, true },
}

// TestTrueServerOutlastsOddEntry guards against a backend server that is lost for good since
// another writer has sent one heartbeat under its name or address: its own heartbeats count
// as late, the fleet sends its requests elsewhere, or it counts as draining.
func TestTrueServerOutlastsOddEntry(t *testing.T) {
	for name, change := range oddEntries {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k, l := newKeeper()
				run(t, k)
				next := goOn(t, k, 1, 10*time.Second)
				odd := server(next)
				change(&odd)
				_ = k.Heartbeat(t.Context(), odd) // its writer doesn't matter
				next = goOn(t, k, next, recoverTime)
				checkTrueServer(t, l)
				checkLaterHeartbeats(t, k, l, next)
			})
		})
	}
}

// TestTrueServerOutlastsOddEntryElsewhere guards against the same where the odd heartbeat
// comes to another control instance than those of the true server, and where the true server
// then sends its heartbeats there.
func TestTrueServerOutlastsOddEntryElsewhere(t *testing.T) {
	for name, change := range oddEntries {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k, other, l := newKeeperPair()
				run(t, k)
				run(t, other)
				next := goOn(t, k, 1, 10*time.Second)
				odd := server(next)
				change(&odd)
				_ = other.Heartbeat(t.Context(), odd) // its writer doesn't matter
				next = goOn(t, k, next, moveTime)
				checkTrueServer(t, l)
				next = goOn(t, other, next, 2*heartbeatInterval)
				checkTrueServer(t, l)
				checkLaterHeartbeats(t, other, l, next)
			})
		})
	}
}

// checkLaterHeartbeats checks that the true server is heard when it drains, starts again and
// deregisters.
func checkLaterHeartbeats(t *testing.T, k *keeper.Keeper, l *log, next uint64) {
	t.Helper()
	draining := server(next)
	draining.Draining = true
	if err := k.Heartbeat(t.Context(), draining); err != nil {
		t.Errorf("the draining heartbeat: %v", err)
	}
	if n, _ := l.state.Server("s"); !n.Draining {
		t.Error("the backend server isn't draining after its heartbeat said so")
	}
	restarted := server(1)
	restarted.Incarnation++
	if err := k.Heartbeat(t.Context(), restarted); err != nil {
		t.Errorf("the heartbeat after a restart: %v", err)
	}
	if n, _ := l.state.Server("s"); n.Incarnation != restarted.Incarnation || n.Draining {
		t.Errorf("after a restart the backend server is %+v, want its new incarnation", n)
	}
	if err := k.Deregister(t.Context(), restarted); err != nil {
		t.Errorf("the deregistration: %v", err)
	}
	if n, ok := l.state.Server("s"); ok {
		t.Errorf("after its deregistration the backend server is registered as %+v", n)
	}
}

// TestTrueServerOutlastsOddDeregistration guards against a backend server that is lost for
// good since another writer has deregistered an incarnation that never was.
func TestTrueServerOutlastsOddDeregistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, l := newKeeper()
		run(t, k)
		next := goOn(t, k, 1, 10*time.Second)
		odd := server(0)
		odd.Incarnation = high
		if err := k.Deregister(t.Context(), odd); err != nil {
			t.Fatal(err)
		}
		next = goOn(t, k, next, recoverTime)
		checkTrueServer(t, l)
		checkLaterHeartbeats(t, k, l, next)
	})
}

// TestServerWhoseClockStepsBackIsRegistered guards against a backend server that isn't
// registered for as long as it runs, since its clock was set back before its restart.
func TestServerWhoseClockStepsBackIsRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, l := newKeeper()
		run(t, k)
		before := server(90)
		before.Incarnation++
		if err := k.Heartbeat(t.Context(), before); err != nil {
			t.Fatal(err)
		}
		goOn(t, k, 1, recoverTime)
		checkTrueServer(t, l)
	})
}

// TestLateHeartbeatsReplaceNothing guards against heartbeats of an incarnation that has
// crashed, which were delayed by a network partition and replace the incarnation after it:
// while that one sends heartbeats, and when they come all at once.
func TestLateHeartbeatsReplaceNothing(t *testing.T) {
	for name, sends := range map[string]bool{"the next one sends": true, "the next one is silent": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k, l := newKeeper()
				next := server(1)
				next.Name, next.Incarnation = "next", 6
				for i := range uint64(8) {
					if next.Sequence = i + 1; sends || i == 0 {
						if err := k.Heartbeat(t.Context(), next); err != nil {
							t.Fatal(err)
						}
					}
					if sends || i == 7 {
						sendLate(t, k, 10*i, 10)
					}
					time.Sleep(heartbeatInterval)
				}
				if n, ok := l.state.Server("next"); !ok || n.Incarnation != 6 {
					t.Errorf("the next incarnation is registered (%v) as %+v, want it unchanged", ok, n)
				}
			})
		})
	}
}

// sendLate sends several heartbeats of the true server at once, the first with the sequence
// from.
func sendLate(t *testing.T, k *keeper.Keeper, from, heartbeats uint64) {
	t.Helper()
	for i := range heartbeats {
		if err := k.Heartbeat(t.Context(), server(from+i)); err != nil {
			t.Fatal(err)
		}
	}
}

// TestUnrecordedLeaveIsNotAcknowledged guards against a backend server whose draining or
// deregistration is acknowledged and ignored, so that it is sent requests: it counts as
// outranked by an incarnation that never was.
func TestUnrecordedLeaveIsNotAcknowledged(t *testing.T) {
	k, _ := newKeeper()
	odd := server(1)
	odd.Incarnation = high
	if err := k.Heartbeat(t.Context(), odd); err != nil {
		t.Fatal(err)
	}
	leaving := server(9)
	leaving.Draining = true
	if err := k.Heartbeat(t.Context(), leaving); !errors.Is(err, keeper.ErrOutranked) {
		t.Errorf("draining: the error is %v, want ErrOutranked", err)
	}
	if err := k.Deregister(t.Context(), leaving); !errors.Is(err, keeper.ErrOutranked) {
		t.Errorf("deregistration: the error is %v, want ErrOutranked", err)
	}
}

// TestLeaveIsHeardBehindOddSequence guards against a backend server whose draining is
// acknowledged and ignored, so that it is sent requests, since an odd heartbeat with a higher
// sequence came before.
func TestLeaveIsHeardBehindOddSequence(t *testing.T) {
	k, l := newKeeper()
	if err := k.Heartbeat(t.Context(), server(high)); err != nil {
		t.Fatal(err)
	}
	draining := server(9)
	draining.Draining = true
	if err := k.Heartbeat(t.Context(), draining); err != nil {
		t.Fatal(err)
	}
	if n, _ := l.state.Server("s"); !n.Draining {
		t.Error("the backend server isn't draining after its heartbeat said so")
	}
}

// TestHeartbeatsDoNotEndAnnouncedDraining guards against a backend server that is in use
// again, since its heartbeats say ready after an answer said that it drains, or after it
// deregistered itself.
func TestHeartbeatsDoNotEndAnnouncedDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, l := newKeeper()
		run(t, k)
		next := goOn(t, k, 1, 3*time.Second)
		l.put(t, fleet.Command{Draining: &fleet.Draining{Server: "s", Incarnation: 5}})
		next = goOn(t, k, next, time.Minute)
		if n, _ := l.state.Server("s"); !n.Draining {
			t.Error("heartbeats ended the draining that an answer announced")
		}
		if err := k.Deregister(t.Context(), server(0)); err != nil {
			t.Fatal(err)
		}
		goOn(t, k, next, time.Minute)
		if n, ok := l.state.Server("s"); ok {
			t.Errorf("heartbeats registered a backend server that deregistered itself: %+v", n)
		}
	})
}
