package fleet_test

import (
	"reflect"
	"slices"
	"testing"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/request/poison"
)

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

// TestAnswerOfOneVersionEndsNoCrashOfAnother guards against instances that start, or are
// behind, and learn that a request is released which only another version has answered.
func TestAnswerOfOneVersionEndsNoCrashOfAnother(t *testing.T) {
	r := newReplica()
	v1, v2 := poison.Software{Service: "s", Version: "v1"}, poison.Software{Service: "s", Version: "v2"}
	crashed := func(name, version string) poison.Server {
		return poison.Server{Service: "s", Name: name, Incarnation: 1, Version: version}
	}
	answered := func(by poison.Software) fleet.Command {
		return fleet.Command{Suspect: &fleet.Suspect{Fingerprint: 7, Released: true, Answered: []fleet.Answered{{Software: by}}}}
	}
	r.apply(t, fleet.Command{Suspect: &fleet.Suspect{Fingerprint: 7, Crashed: []poison.Server{crashed("a", "v2"), crashed("b", "v2")}}})
	r.apply(t, answered(v1))
	if v := r.View().Suspects[7]; len(v.Crashed) != 2 || len(v.Answered) != 1 || v.Answered[0].Software != v1 {
		t.Errorf("after an answer of the other version the suspect is %+v, want two crashes and one answer", v)
	}
	r.apply(t, fleet.Command{Suspect: &fleet.Suspect{Fingerprint: 7, Crashed: []poison.Server{crashed("c", "v1")}}})
	if v := r.View().Suspects[7]; len(v.Crashed) != 3 || len(v.Answered) != 0 {
		t.Errorf("after a crash of the other version the suspect is %+v, want three crashes and no answer", v)
	}
	r.apply(t, answered(v2))
	r.apply(t, answered(v1))
	if v := r.View().Suspects[7]; len(v.Crashed) != 0 || v.ReleasedIndex != v.Index {
		t.Errorf("after answers of both versions the suspect is %+v, want it released", v)
	}
}
