package fleet_test

import (
	"testing"

	"github.com/snipefront/snipefront/internal/control/fleet"
)

// TestDrainingLastsForTheIncarnation guards against a backend server that has said to an
// instance that it drains and is taken for ready again: by a late heartbeat, or since it was
// removed for missing heartbeats and registers again.
func TestDrainingLastsForTheIncarnation(t *testing.T) {
	r := newReplica()
	drains := func() bool {
		n, ok := r.Server("s")
		return ok && n.Draining
	}
	r.register(t, server("s", "x", 5, 1))
	if r.apply(t, fleet.Command{Draining: &fleet.Draining{Server: "s", Incarnation: 4}}).Changed || drains() {
		t.Error("a report on an earlier incarnation counts")
	}
	if !r.apply(t, fleet.Command{Draining: &fleet.Draining{Server: "s", Incarnation: 5}}).Changed || !drains() {
		t.Fatal("the report doesn't count")
	}
	r.register(t, server("s", "x", 5, 2))
	if !drains() {
		t.Error("a later heartbeat ends it")
	}
	lost := server("s", "x", 5, 2)
	lost.Expired = true
	r.apply(t, fleet.Command{Deregister: lost})
	r.register(t, server("s", "x", 5, 3))
	if !drains() {
		t.Error("a new registration of the same incarnation ends it")
	}
	r.register(t, server("s", "x", 6, 1))
	if drains() {
		t.Error("a new incarnation drains")
	}
}
