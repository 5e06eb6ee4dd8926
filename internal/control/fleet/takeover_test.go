package fleet_test

import (
	"testing"

	"github.com/snipefront/snipefront/internal/control/fleet"
)

// takeover returns a registration that replaces those of the given ranks.
func takeover(n *fleet.Server, ranks ...fleet.Rank) *fleet.Server {
	n.Takeover = &fleet.Takeover{Replaces: ranks}
	return n
}

// TestTakeoverReplacesOnlyWhatItNames guards against a takeover that undoes what has changed
// since it was decided: it replaces neither a later registration nor one that it doesn't
// name, and it doesn't end a deregistration of its own incarnation.
func TestTakeoverReplacesOnlyWhatItNames(t *testing.T) {
	r := newReplica()
	r.register(t, server("s", "a:1", 9, 3))
	rank := fleet.Rank{Server: "s", Incarnation: 9, Sequence: 3}
	if r.register(t, takeover(server("s", "a:1", 5, 8))) {
		t.Error("a takeover replaced a registration that it doesn't name")
	}
	r.register(t, server("s", "a:1", 9, 4))
	if r.register(t, takeover(server("s", "a:1", 5, 8), rank)) {
		t.Error("a takeover replaced a registration that has changed since")
	}
	rank.Sequence = 4
	if !r.register(t, takeover(server("s", "a:1", 5, 8), rank)) {
		t.Fatal("the takeover was not applied")
	}
	if n, _ := r.Server("s"); n.Incarnation != 5 || n.Takeover != nil {
		t.Errorf("the registration is %+v, want incarnation 5 without the takeover", n)
	}
	r.register(t, server("other", "a:1", 9, 1))
	if r.register(t, takeover(server("s", "a:1", 5, 9))) {
		t.Error("a takeover replaced a backend server at its address that it doesn't name")
	}
	if !r.register(t, takeover(server("s", "a:1", 5, 9), fleet.Rank{Server: "other", Incarnation: 9, Sequence: 1})) {
		t.Error("a takeover didn't replace the backend server at its address")
	}
	r.apply(t, fleet.Command{Deregister: server("s", "", 5, 0)})
	if r.register(t, takeover(server("s", "a:1", 5, 10))) {
		t.Error("a takeover registered an incarnation that has deregistered itself")
	}
}

// TestTakeoverEndsNoAnnouncedDraining guards against a takeover after which a backend server
// is in use that has said in an answer that it drains, also where it was removed meanwhile.
func TestTakeoverEndsNoAnnouncedDraining(t *testing.T) {
	for name, heartbeat := range map[string]bool{"by a heartbeat": true, "by an answer": false} {
		r := newReplica()
		r.register(t, server("s", "a:1", 5, 3))
		r.apply(t, fleet.Command{Draining: &fleet.Draining{Server: "s", Incarnation: 5, Heartbeat: heartbeat}})
		r.register(t, takeover(server("s", "a:1", 5, 4)))
		if n, _ := r.Server("s"); n.Draining == heartbeat {
			t.Errorf("draining %s: after a takeover the registration is %+v", name, n)
		}
		removed := server("s", "", 5, 0)
		removed.Expired = true
		r.apply(t, fleet.Command{Deregister: removed})
		r.register(t, takeover(server("s", "a:1", 5, 5)))
		if n, _ := r.Server("s"); n.Draining == heartbeat {
			t.Errorf("draining %s: after a removal and a takeover the registration is %+v", name, n)
		}
	}
}
