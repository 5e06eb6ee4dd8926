package fleet_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/request/poison"
)

// replica is a state with the index of the last entry applied to it.
type replica struct {
	*fleet.State
	index uint64
}

func newReplica() *replica { return &replica{State: &fleet.State{}} }

func (r *replica) apply(t interface{ Fatal(...any) }, c fleet.Command) fleet.Result {
	b, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	r.index++
	result, err := fleet.DecodeResult(r.Apply(r.index, b))
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// server returns a registration of a backend server with two slots.
func server(name, address string, incarnation, sequence uint64) *fleet.Server {
	var n fleet.Server
	n.Name, n.Service, n.DataCentre, n.Address = name, "balance", "dc1", address
	n.Incarnation, n.Sequence, n.Slots = incarnation, sequence, 2
	return &n
}

// register applies a Register of n and reports whether it changed the state.
func (r *replica) register(t *testing.T, n *fleet.Server) bool {
	return r.apply(t, fleet.Command{Register: n}).Changed
}

// TestNewerHeartbeatWins guards against heartbeats that arrive out of order: one with
// a lower sequence, or of an earlier incarnation, must not replace a newer one. A
// backend server that is draining stays so until its next start.
func TestNewerHeartbeatWins(t *testing.T) {
	r := newReplica()
	r.register(t, server("s", "a:1", 5, 3))
	draining := server("s", "a:1", 5, 4)
	draining.Draining = true
	r.register(t, draining)
	for name, n := range map[string]*fleet.Server{
		"late heartbeat":                      server("s", "a:1", 5, 3),
		"heartbeat of an earlier incarnation": server("s", "a:1", 4, 90),
	} {
		if r.register(t, n) {
			t.Errorf("a %s was applied", name)
		}
	}
	r.register(t, server("s", "a:1", 5, 9))
	if s, _ := r.Server("s"); !s.Draining {
		t.Error("a draining backend server accepts requests again without a new incarnation")
	}
	r.register(t, server("s", "a:1", 6, 1))
	if s, _ := r.Server("s"); s.Draining || s.Incarnation != 6 {
		t.Errorf("with a new incarnation it is %+v, want incarnation 6, not draining", s)
	}
}

// TestAddressBelongsToHighestIncarnation guards against two backend servers at one
// address: the later one replaces the earlier, whose delayed heartbeats are ignored.
func TestAddressBelongsToHighestIncarnation(t *testing.T) {
	r := newReplica()
	r.register(t, server("old", "a:1", 5, 3))
	r.register(t, server("new", "a:1", 6, 1))
	if _, ok := r.Server("old"); ok {
		t.Error("the earlier backend server still has the address")
	}
	if r.register(t, server("old", "a:1", 5, 4)) {
		t.Error("a delayed heartbeat of the earlier one was applied")
	}
}

// TestLateHeartbeatDoesNotRestoreDeregisteredServer guards against a delayed heartbeat
// that registers a backend server again after it has deregistered itself. One that was
// removed for missing heartbeats may register again.
func TestLateHeartbeatDoesNotRestoreDeregisteredServer(t *testing.T) {
	r := newReplica()
	r.register(t, server("s", "a:1", 5, 3))
	r.apply(t, fleet.Command{Deregister: server("s", "", 5, 0)})
	if r.register(t, server("s", "a:1", 5, 4)) {
		t.Error("a deregistered backend server is registered again by a late heartbeat")
	}
	r.register(t, server("t", "a:2", 5, 3))
	expired := server("t", "", 5, 0)
	expired.Expired = true
	r.apply(t, fleet.Command{Deregister: expired})
	if !r.register(t, server("t", "a:2", 5, 4)) {
		t.Error("a backend server that was removed for missing heartbeats can't register again")
	}
}

// TestDeregistrationOvertakesFirstHeartbeat guards against a backend server that has left
// and is in use again: its deregistration was acknowledged before its first heartbeat
// arrived, or while the incarnation before it was registered.
func TestDeregistrationOvertakesFirstHeartbeat(t *testing.T) {
	for name, before := range map[string]*fleet.Server{"not registered": nil, "earlier incarnation registered": server("s", "a:1", 4, 9)} {
		t.Run(name, func(t *testing.T) {
			r := newReplica()
			if before != nil {
				r.register(t, before)
			}
			r.apply(t, fleet.Command{Deregister: server("s", "", 5, 0)})
			r.register(t, server("s", "a:1", 5, 1))
			if n, ok := r.Server("s"); ok {
				t.Errorf("incarnation %d is registered after incarnation 5 has left", n.Incarnation)
			}
			if r.apply(t, fleet.Command{Deregister: server("s", "", 5, 0)}).Changed {
				t.Error("the same deregistration changes the state again")
			}
			if !r.register(t, server("s", "a:1", 6, 1)) {
				t.Error("the next incarnation can't register")
			}
		})
	}
}

// TestLateRegistrationIsIgnored guards against a registration that an instance sent to
// its previous control instance and that arrives late: it must not replace the one
// sent to the current control instance.
func TestLateRegistrationIsIgnored(t *testing.T) {
	r := newReplica()
	join := func(n fleet.Instance) bool { return r.apply(t, fleet.Command{Join: &n}).Changed }
	var n fleet.Instance
	n.Name, n.Incarnation, n.Keeper, n.Sequence, n.Ready = "e", 7, "c2", 2, true
	if !join(n) {
		t.Error("the first registration is not applied")
	}
	old := n
	old.Keeper, old.Sequence, old.Ready = "c1", 1, false
	if join(old) {
		t.Error("a late registration is applied")
	}
	if current, _ := r.Instance("e"); !current.Ready || current.Keeper != "c2" {
		t.Errorf("the instance is %+v, want it ready, with keeper c2", current)
	}
	old.Incarnation = 8
	if !join(old) {
		t.Error("the registration of a new incarnation is not applied")
	}
}

// TestHighestConfigurationVersionWins guards against a configuration that is replaced
// by one of a lower version. A Read returns the highest.
func TestHighestConfigurationVersionWins(t *testing.T) {
	r := newReplica()
	for _, v := range []uint64{3, 7, 5, 7} {
		d, err := fleet.NewDocument(v, []byte{byte(v)})
		if err != nil {
			t.Fatal(err)
		}
		r.apply(t, fleet.Command{Configure: &d})
	}
	result := r.apply(t, fleet.Command{Read: true})
	text, err := result.Document.Text()
	if err != nil || result.Document.Version != 7 || string(text) != "\x07" {
		t.Errorf("version %d with %q is in force, want 7 (%v)", result.Document.Version, text, err)
	}
}

// TestDeltasReproduceState guards against a change that a delta lacks. A reader that
// applies a delta after some of the commands must end with the whole state, over random
// commands, snapshots and restores.
func TestDeltasReproduceState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReplica()
		v := fleet.View{}.Apply(roundTrip(t, r.DeltaSince(0)))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r.apply(t, randomCommand(t))
			if rapid.IntRange(0, 3).Draw(t, "read") == 0 {
				v = v.Apply(roundTrip(t, r.DeltaSince(v.Index)))
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				b, err := r.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				r.State = &fleet.State{}
				if err := r.Restore(b); err != nil {
					t.Fatal(err)
				}
			}
		}
		v = v.Apply(roundTrip(t, r.DeltaSince(v.Index)))
		if want := r.View(); !reflect.DeepEqual(v, want) {
			t.Fatalf("the reader has\n%+v\nwant the state\n%+v", v, want)
		}
	})
}

// roundTrip returns d encoded and decoded, as a reader receives it.
func roundTrip(t *rapid.T, d fleet.Delta) fleet.Delta {
	b, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	var decoded fleet.Delta
	if err := json.Unmarshal(b, &decoded); err != nil {
		t.Fatal(err)
	}
	return decoded
}

// randomCommand returns a random change of the state.
func randomCommand(t *rapid.T) fleet.Command {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	number := rapid.Uint64Range(1, 5).Draw(t, "number")
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		return fleet.Command{Register: server(name, "h:"+name, number, rapid.Uint64Range(1, 9).Draw(t, "sequence"))}
	case 1:
		return fleet.Command{Deregister: server(name, "", 0, 0)}
	case 2, 3:
		var n fleet.Instance
		n.Name, n.Incarnation, n.Ready = name, number, rapid.Bool().Draw(t, "ready")
		if rapid.IntRange(0, 2).Draw(t, "part") == 0 {
			return fleet.Command{Part: &n}
		}
		return fleet.Command{Join: &n}
	case 4:
		return fleet.Command{Serve: &fleet.Serve{DataCentre: name, Out: rapid.Bool().Draw(t, "out")}}
	case 5:
		return fleet.Command{Suspect: &fleet.Suspect{Fingerprint: number, Crashed: []poison.Server{{Name: name}}}}
	case 6:
		l := fleet.Limit{Server: name, Incarnation: number, Source: "answer"}
		l.Named, l.PerSecond = rapid.Bool().Draw(t, "named"), float64(number)
		return fleet.Command{Limit: &l}
	case 7:
		return fleet.Command{Cold: &fleet.Cold{Server: name, Incarnation: number, Millis: int64(number)}}
	default:
		return fleet.Command{Configure: &fleet.Document{Version: number, Source: []byte(name)}}
	}
}

// TestEdgesCountsInstancesOfCallers guards against control instances among those that
// share a limit, and against instances missing there that have just started or are about
// to stop.
func TestEdgesCountsInstancesOfCallers(t *testing.T) {
	v := fleet.View{Instances: map[string]fleet.Instance{"e1": {Ready: true}, "e2": {}, "c1": {Control: true, Ready: true}}}
	if n := v.Edges(); n != 2 {
		t.Errorf("%d edges, want 2", n)
	}
}

// TestLimitBelongsToIncarnation guards against a rate limit that a heartbeat drops, that
// outlives the incarnation that named it, or that a late command brings back.
func TestLimitBelongsToIncarnation(t *testing.T) {
	r := newReplica()
	limit := func(incarnation uint64, perSecond float64) bool {
		l := fleet.Limit{Server: "s", Incarnation: incarnation, Source: "answer"}
		l.Named, l.PerSecond = true, perSecond
		return r.apply(t, fleet.Command{Limit: &l}).Changed
	}
	r.register(t, server("s", "a:1", 5, 1))
	before := r.Index()
	if !limit(5, 2) || limit(5, 2) {
		t.Error("a limit changes the state not at all, or each time it is shared")
	}
	if d := r.DeltaSince(before); len(d.Servers) != 1 || d.Servers[0].Limit.PerSecond != 2 || d.Servers[0].LimitIndex <= before {
		t.Errorf("the change is %+v, want the backend server with its limit", d.Servers)
	}
	r.register(t, server("s", "a:1", 5, 2))
	if n, _ := r.Server("s"); !n.Limit.Named {
		t.Error("a heartbeat ended the limit")
	}
	r.register(t, server("s", "a:1", 6, 1))
	if n, _ := r.Server("s"); n.Limit.Named {
		t.Error("the next incarnation has the limit of the one before it")
	}
	if limit(5, 3) {
		t.Error("a late limit of the incarnation before changed the state")
	}
}

// TestColdAgainUntilNextHeartbeat guards against a warm-up that instances hear of before the
// heartbeat and that a late command begins anew, or for another incarnation.
func TestColdAgainUntilNextHeartbeat(t *testing.T) {
	r := newReplica()
	cold := func(incarnation uint64) bool {
		return r.apply(t, fleet.Command{Cold: &fleet.Cold{Server: "s", Incarnation: incarnation, Millis: 2500}}).Changed
	}
	r.register(t, server("s", "a:1", 5, 1))
	if cold(4) {
		t.Error("a warm-up of an earlier incarnation changed the state")
	}
	if !cold(5) || cold(5) {
		t.Error("a warm-up changes the state not at all, or each time it is shared")
	}
	if n, _ := r.Server("s"); n.ColdMillis != 2500 {
		t.Errorf("the warm-up is %d ms, want 2500", n.ColdMillis)
	}
	r.register(t, server("s", "a:1", 5, 2))
	if n, _ := r.Server("s"); n.ColdMillis != 0 {
		t.Error("the heartbeat of a warm backend server did not end its warm-up")
	}
}
