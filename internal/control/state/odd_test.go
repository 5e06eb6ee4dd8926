package state_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/snipefront/snipefront/internal/control/state"
)

// TestUnreadableCommandChangesNothing guards against an odd entry of the log that ends a
// process or changes the state in part.
func TestUnreadableCommandChangesNothing(t *testing.T) {
	const depth = 100_000
	nested := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	var s state.State
	s.Apply(0, []byte(`{}`)) // a failed command before the first snapshot, which makes empty maps
	before, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for name, command := range map[string]string{
		"nothing": ``, "cut": `{"Config":{`, "list": `[]`, "null": `null`, "no kind": `{}`, "bytes": "\xff\x00",
		"nested":                  nested,
		"nested file":             `{"Config":{"Written":[{"Name":"a","Content":` + nested + `}]}}`,
		"version over 2^64":       `{"Config":{"Version":1e30,"Written":[{"Name":"a","Content":{}}]}}`,
		"time over 2^63":          `{"UnixMillis":9223372036854775808,"Epoch":{}}`,
		"advance with a fraction": `{"Advance":{"From":0,"Millis":0.5}}`,
		"negative advance":        `{"Advance":{"From":0,"Millis":-1}}`,
	} {
		if b := s.Apply(1, []byte(command)); !json.Valid(b) {
			t.Errorf("%s: the result is %q, want JSON", name, b)
		}
		after, err := s.Snapshot()
		if err != nil || string(after) != string(before) {
			t.Errorf("%s: the state is %s, %v, want no change", name, after, err)
		}
	}
	if err := s.Restore([]byte(nested)); err == nil {
		t.Error("a nested snapshot is restored, want an error")
	}
}
