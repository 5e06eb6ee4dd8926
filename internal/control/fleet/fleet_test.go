package fleet_test

import (
	"encoding/json"
	"reflect"
	"slices"
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

// TestOutagePushesOutNoQuarantine guards against a quarantined request that instances
// which start later do not learn of, since many suspects of an outage came after it.
func TestOutagePushesOutNoQuarantine(t *testing.T) {
	r := newReplica()
	for i := range uint64(1000) {
		s := fleet.Suspect{Fingerprint: 100 + i, Crashed: []poison.Server{{Name: "c"}}}
		if i == 10 {
			s = fleet.Suspect{Fingerprint: 1, Crashed: []poison.Server{{Name: "a"}, {Name: "b"}}}
		}
		r.apply(t, fleet.Command{Suspect: &s})
	}
	v := r.View()
	if len(v.Suspects[1].Crashed) != 2 {
		t.Error("the quarantined request is gone")
	}
	if _, ok := v.Suspects[1099]; !ok || len(v.Suspects) > 256 {
		t.Errorf("%d suspects are kept, the last one: %v", len(v.Suspects), ok)
	}
}

// TestReleaseReachesReaders guards against a harmless request that stays a suspect at
// instances that learn of its release and of a later crash at the same time.
func TestReleaseReachesReaders(t *testing.T) {
	r := newReplica()
	crashed := func(name string) *fleet.Suspect {
		return &fleet.Suspect{Fingerprint: 1, Crashed: []poison.Server{{Name: name}}}
	}
	r.apply(t, fleet.Command{Suspect: crashed("a")})
	before := r.View().Index
	r.apply(t, fleet.Command{Suspect: &fleet.Suspect{Fingerprint: 1, Released: true}})
	r.apply(t, fleet.Command{Suspect: crashed("b")})
	s := r.View().Suspects[1]
	if s.ReleasedIndex <= before || len(s.Crashed) != 1 || s.Crashed[0].Name != "b" {
		t.Errorf("the suspect is %+v, want the crash of b and a release after the index %d", s, before)
	}
	r.apply(t, fleet.Command{Suspects: []fleet.Suspect{{Fingerprint: 1, Released: true, Crashed: crashed("c").Crashed}, *crashed("d")}})
	if s := r.View().Suspects[1]; len(s.Crashed) != 2 || s.Crashed[0].Name != "c" || s.Crashed[1].Name != "d" {
		t.Errorf("after a record with a release and a later crash the suspect is %+v, want the crashes of c and d", s)
	}
}

// TestReadersKeepBoundedSuspects guards against instances whose memory grows with each
// suspect that there ever was, since no reader is told which ones the state has dropped.
func TestReadersKeepBoundedSuspects(t *testing.T) {
	const most = 256
	r := newReplica()
	v := r.View()
	for f := range uint64(3 * most) {
		r.apply(t, fleet.Command{Suspect: &fleet.Suspect{Fingerprint: f, Crashed: []poison.Server{{Name: "a", Incarnation: f}}}})
		v = v.Apply(r.DeltaSince(v.Index))
		if _, ok := v.Suspects[f]; !ok || len(v.Suspects) > most {
			t.Fatalf("after %d suspects the reader keeps %d, want %d at most and the last one among them", f+1, len(v.Suspects), most)
		}
	}
}

// TestSuspectCopiesNoServers guards against instances that copy and rebuild all that they
// know of the fleet for each suspect: an outage brings hundreds within a second.
func TestSuspectCopiesNoServers(t *testing.T) {
	r := newReplica()
	r.apply(t, fleet.Command{Register: server("a", "h:a", 1, 1)})
	before := r.View()
	r.apply(t, fleet.Command{Suspect: &fleet.Suspect{Fingerprint: 1, Crashed: []poison.Server{{Name: "a"}}}})
	d := r.DeltaSince(before.Index)
	after := before.Apply(d)
	if !d.OnlySuspects() || len(after.Suspects) != 1 || len(before.Suspects) != 0 {
		t.Errorf("the delta is %+v, and %d suspects became %d, want only suspects and 1 instead of 0", d, len(before.Suspects), len(after.Suspects))
	}
	if reflect.ValueOf(before.Servers).Pointer() != reflect.ValueOf(after.Servers).Pointer() {
		t.Error("a suspect led to a copy of the backend servers")
	}
	r.apply(t, fleet.Command{Register: server("b", "h:b", 1, 1)})
	if d := r.DeltaSince(after.Index); d.OnlySuspects() || len(after.Apply(d).Servers) != 2 || len(after.Servers) != 1 {
		t.Errorf("the delta is %+v, want the backend server b, which changes no earlier view", d)
	}
}

// TestTrialRunIsGrantedOnce guards against a quarantined request that several instances run
// as a trial at the same time.
func TestTrialRunIsGrantedOnce(t *testing.T) {
	r := newReplica()
	trial := func(n int) bool {
		return r.apply(t, fleet.Command{Suspect: &fleet.Suspect{Fingerprint: 1, Trials: n}}).Changed
	}
	if trial(1) {
		t.Error("a trial run is granted of a request that is no suspect")
	}
	r.apply(t, fleet.Command{Suspect: &fleet.Suspect{Fingerprint: 1, Crashed: []poison.Server{{Name: "a"}, {Name: "b"}}}})
	if got := []bool{trial(1), trial(1), trial(3), trial(2), trial(2)}; !slices.Equal(got, []bool{true, false, false, true, false}) {
		t.Errorf("granted are %v, want the first of 1, 1, 3, 2, 2 and the first 2", got)
	}
	r.apply(t, fleet.Command{Suspect: &fleet.Suspect{Fingerprint: 1, Released: true}})
	if s := r.View().Suspects[1]; s.Trials != 0 || trial(1) {
		t.Errorf("after its release the suspect is %+v, want no trial runs", s)
	}
}
