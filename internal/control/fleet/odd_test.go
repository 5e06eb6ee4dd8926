package fleet_test

import (
	"encoding/json"
	"math"
	"reflect"
	"strings"
	"testing"

	"github.com/snipefront/snipefront/internal/control/fleet"
)

// nested returns JSON of arrays, deeper than a decoder reads.
func nested() string {
	const depth = 100_000
	return strings.Repeat("[", depth) + strings.Repeat("]", depth)
}

// TestUnreadableCommandFailsAlone guards against an odd entry of the log that ends a process,
// or after which a replica has another state than others.
func TestUnreadableCommandFailsAlone(t *testing.T) {
	r := newReplica()
	r.register(t, server("s", "a:1", 5, 3))
	before := r.View()
	for name, command := range map[string]string{
		"nothing":                  ``,
		"cut":                      `{"Register":{"Name":"x"`,
		"list":                     `[]`,
		"null":                     `null`,
		"no command":               `{}`,
		"nested":                   nested(),
		"nested in an unknown one": `{"Other":` + nested() + `}`,
		"nested in a registration": `{"Register":{"Name":"x","Service":` + nested() + `}}`,
		"slots over 2^64":          `{"Register":{"Name":"x","Slots":1e30}}`,
		"negative sequence":        `{"Register":{"Name":"x","Sequence":-1}}`,
		"warm-up with a fraction":  `{"Cold":{"Server":"s","Incarnation":5,"Millis":0.5}}`,
		"limit over all numbers":   `{"Limit":{"Server":"s","Incarnation":5,"Named":true,"PerSecond":1e400}}`,
		"one odd suspect":          `{"Suspects":[{"Fingerprint":1,"Fallen":[{"Name":"s"}]},{"Fingerprint":"2"}]}`,
		"bytes":                    "\xff\x00\xfe",
	} {
		r.index++
		if _, err := fleet.DecodeResult(r.Apply(r.index, []byte(command))); err == nil {
			t.Errorf("%s: no error", name)
		}
		if after := r.View(); !reflect.DeepEqual(before, after) {
			t.Errorf("%s: the state changed to %+v", name, after)
		}
	}
}

// TestRegistrationsOutOfRangeReachReaders guards against an entry of the log of an earlier
// build, with numbers that are refused now, after which a replica can't restore its snapshot
// or a reader gets no more changes.
func TestRegistrationsOutOfRangeReachReaders(t *testing.T) {
	r := newReplica()
	r.register(t, server("s", "a:1", 5, 3))
	odd := server("odd", ":0", math.MaxUint64, math.MaxUint64)
	odd.Slots, odd.ColdMillis, odd.Service = math.MaxInt64, math.MaxInt64, strings.Repeat("a", 1<<20)
	odd.DataCentre = "\xff\x00"
	r.register(t, odd)
	l := fleet.Limit{Server: "odd", Incarnation: math.MaxUint64}
	l.Named, l.PerSecond = true, math.MaxFloat64
	r.apply(t, fleet.Command{Limit: &l})
	b, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored fleet.State
	if err := restored.Restore(b); err != nil {
		t.Fatal(err)
	}
	b, err = json.Marshal(restored.DeltaSince(0))
	if err != nil {
		t.Fatal(err)
	}
	var d fleet.Delta
	if err := json.Unmarshal(b, &d); err != nil {
		t.Fatal(err)
	}
	if v := (fleet.View{}).Apply(d); !reflect.DeepEqual(v, r.View()) {
		t.Errorf("a reader has %+v, want %+v", v, r.View())
	}
}

// TestUnreadableEntryIsLeftOut guards against one entry that can't be decoded, as another
// build may write it, and that keeps all others from a reader or from a replica that starts.
func TestUnreadableEntryIsLeftOut(t *testing.T) {
	for name, entry := range map[string]string{
		"slots over 2^64":   `{"Name":"odd","Slots":1e30}`,
		"negative sequence": `{"Name":"odd","Sequence":-1}`,
		"name is a number":  `{"Name":7}`,
		"text":              `"odd"`,
		"list":              `[[]]`,
	} {
		var d fleet.Delta
		text := `{"Index":9,"Whole":true,"Servers":[{"Name":"a","Slots":2},` + entry + `,{"Name":"b","Slots":2}],"Instances":[{"Name":"e"}],"Out":["z"]}`
		if err := json.Unmarshal([]byte(text), &d); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		v := fleet.View{}.Apply(d)
		if _, odd := v.Servers["odd"]; odd || len(v.Servers) != 2 || len(v.Instances) != 1 || !v.Out["z"] || v.Index != 9 || d.Unreadable != 1 {
			t.Errorf("%s: a reader has %+v, want the two others", name, v)
		}
		var s fleet.State
		text = `{"Index":9,"Servers":{"a":{"Name":"a","Index":2},"odd":` + entry + `,"b":{"Name":"b","Index":3}},"Instances":{"e":{"Name":"e","Index":4}},"Out":{"z":true}}`
		if err := s.Restore([]byte(text)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if v := s.View(); len(v.Servers) != 2 || len(v.Instances) != 1 || !v.Out["z"] || v.Index != 9 {
			t.Errorf("%s: a replica has %+v, want the two others", name, v)
		}
	}
}
