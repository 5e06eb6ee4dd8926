package fleet_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/request/poison"
)

// log applies commands to a state.
type log struct {
	*fleet.State
	index uint64
}

func newLog() *log { return &log{State: &fleet.State{}} }

func (l *log) do(t interface{ Fatal(...any) }, c fleet.Command) fleet.Result {
	b, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	l.index++
	r, err := fleet.DecodeResult(l.Apply(l.index, b))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func server(name, address string, incarnation, sequence uint64) *fleet.Server {
	var n fleet.Server
	n.Name, n.Service, n.DataCentre, n.Address = name, "balance", "dc1", address
	n.Incarnation, n.Sequence, n.Slots = incarnation, sequence, 2
	return &n
}

func (l *log) register(t *testing.T, n *fleet.Server) bool {
	return l.do(t, fleet.Command{Register: n}).Changed
}

// TestLaterHeartbeatHolds shows which of two heartbeats of a backend server counts.
func TestLaterHeartbeatHolds(t *testing.T) {
	l := newLog()
	l.register(t, server("s", "a:1", 5, 3))
	draining := server("s", "a:1", 5, 4)
	draining.Draining = true
	l.register(t, draining)
	for name, n := range map[string]*fleet.Server{
		"late heartbeat":              server("s", "a:1", 5, 3),
		"heartbeat of an older start": server("s", "a:1", 4, 90),
	} {
		if l.register(t, n) {
			t.Errorf("a %s was taken in", name)
		}
	}
	l.register(t, server("s", "a:1", 5, 9))
	if s, _ := l.Server("s"); !s.Draining {
		t.Error("a draining backend server came back without a new start")
	}
	l.register(t, server("s", "a:1", 6, 1))
	if s, _ := l.Server("s"); s.Draining || s.Incarnation != 6 {
		t.Errorf("after a new start it is %+v", s)
	}
}

// TestAddressBelongsToTheLaterStart shows that an address has one backend server.
func TestAddressBelongsToTheLaterStart(t *testing.T) {
	l := newLog()
	l.register(t, server("old", "a:1", 5, 3))
	l.register(t, server("new", "a:1", 6, 1))
	if _, ok := l.Server("old"); ok {
		t.Error("the earlier backend server still has the address")
	}
	if l.register(t, server("old", "a:1", 5, 4)) {
		t.Error("a delayed heartbeat of the earlier one was taken in")
	}
}

// TestLeftServerStaysAway shows that a delayed heartbeat does not bring back a backend
// server that has left, and that one which merely fell silent may come back.
func TestLeftServerStaysAway(t *testing.T) {
	l := newLog()
	l.register(t, server("s", "a:1", 5, 3))
	l.do(t, fleet.Command{Deregister: server("s", "", 5, 0)})
	if l.register(t, server("s", "a:1", 5, 4)) {
		t.Error("a backend server that had left came back")
	}
	l.register(t, server("t", "a:2", 5, 3))
	silent := server("t", "", 5, 0)
	silent.Expired = true
	l.do(t, fleet.Command{Deregister: silent})
	if !l.register(t, server("t", "a:2", 5, 4)) {
		t.Error("a backend server that was silent stays away")
	}
}

// TestLateRegistrationChangesNothing shows that what an instance said of itself to a
// control instance that it has left does not replace what it said to the next one.
func TestLateRegistrationChangesNothing(t *testing.T) {
	l := newLog()
	join := func(n fleet.Instance) bool { return l.do(t, fleet.Command{Join: &n}).Changed }
	var n fleet.Instance
	n.Name, n.Incarnation, n.Keeper, n.Sequence, n.Ready = "e", 7, "c2", 2, true
	if !join(n) {
		t.Error("the first registration is not taken")
	}
	old := n
	old.Keeper, old.Sequence, old.Ready = "c1", 1, false
	if join(old) {
		t.Error("a late registration is taken")
	}
	if now, _ := l.Instance("e"); !now.Ready || now.Keeper != "c2" {
		t.Errorf("the instance is %+v", now)
	}
	old.Incarnation = 8
	if !join(old) {
		t.Error("a new start is not taken")
	}
}

// TestHighestVersionHolds shows that a configuration never goes back, and that a
// Read shows it.
func TestHighestVersionHolds(t *testing.T) {
	l := newLog()
	for _, v := range []uint64{3, 7, 5, 7} {
		d, err := fleet.NewDocument(v, []byte{byte(v)})
		if err != nil {
			t.Fatal(err)
		}
		l.do(t, fleet.Command{Configure: &d})
	}
	r := l.do(t, fleet.Command{Read: true})
	text, err := r.Document.Text()
	if err != nil || r.Document.Version != 7 || string(text) != "\x07" {
		t.Errorf("version %d with %q is held (%v)", r.Document.Version, text, err)
	}
}

// TestDeltasAddUpToTheState compares a reader that takes deltas now and then with
// the whole state, over random commands, snapshots and restores.
func TestDeltasAddUpToTheState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLog()
		v := fleet.View{}.Add(sent(t, l.Since(0)))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			l.do(t, command(t))
			if rapid.IntRange(0, 3).Draw(t, "read") == 0 {
				v = v.Add(sent(t, l.Since(v.Index)))
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				b, err := l.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				l.State = &fleet.State{}
				if err := l.Restore(b); err != nil {
					t.Fatal(err)
				}
			}
		}
		v = v.Add(sent(t, l.Since(v.Index)))
		if w := l.View(); !reflect.DeepEqual(v, w) {
			t.Fatalf("a reader holds\n%+v\nthe state is\n%+v", v, w)
		}
	})
}

// sent returns d as it arrives at a reader.
func sent(t *rapid.T, d fleet.Delta) fleet.Delta {
	b, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	var arrived fleet.Delta
	if err := json.Unmarshal(b, &arrived); err != nil {
		t.Fatal(err)
	}
	return arrived
}

func command(t *rapid.T) fleet.Command {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	number := rapid.Uint64Range(1, 5).Draw(t, "number")
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
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
	default:
		return fleet.Command{Configure: &fleet.Document{Version: number, Source: []byte(name)}}
	}
}
