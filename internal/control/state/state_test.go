package state_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/snipefront/snipefront/internal/control/state"
)

// folder is the operators' files as one instance holds them.
type folder map[string]json.RawMessage

func (f folder) list() []state.File {
	var files []state.File
	for n, c := range f {
		files = append(files, state.File{Name: n, Content: c})
	}
	return files
}

func apply(t interface{ Fatal(...any) }, s *state.State, c state.Command, result any) {
	b, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if err := state.Decode(s.Apply(0, b), result); err != nil {
		t.Fatal(err)
	}
}

func change(t interface{ Fatal(...any) }, s *state.State, held folder, id string, version uint64, next folder) state.ConfigResult {
	c := state.Compare(held, version, next.list())
	c.ChangeID = id
	var r state.ConfigResult
	apply(t, s, state.Command{Config: &c}, &r)
	return r
}

// TestRacingOperators shows equal version numbers and resends after lost
// answers, before and after a restart from a snapshot.
func TestRacingOperators(t *testing.T) {
	s := &state.State{}
	one := folder{"a.json": json.RawMessage(`{"N":1}`)}
	two := folder{"a.json": json.RawMessage(`{"N":2}`)}
	if r := change(t, s, nil, "first", 0, one); r.Revision != 1 || r.Conflict {
		t.Fatalf("the first change: %+v", r)
	}
	for n := range 300 {
		version := uint64(n) + 1
		won := change(t, s, one, fmt.Sprint("w", n), version, two)
		lost := change(t, s, one, fmt.Sprint("l", n), version, folder{})
		if won.Conflict || !lost.Conflict || lost.Winner != fmt.Sprint("w", n) || lost.Revision != won.Revision {
			t.Fatalf("version %d: %+v won and %+v lost", version, won, lost)
		}
		one, two = two, one
	}
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	after := &state.State{}
	if err := after.Restore(b); err != nil {
		t.Fatal(err)
	}
	again := change(t, after, nil, "w7", 8, one)
	if !again.Repeated || again.Revision != 9 {
		t.Errorf("the resend of a change after the restart: %+v", again)
	}
	if later := change(t, after, two, "w7", 300, folder{}); !later.Repeated || later.Revision != 9 {
		t.Errorf("the resend of a change against a later version: %+v", later)
	}
	sameContent := change(t, after, two, "another", 300, one)
	if !sameContent.Repeated || sameContent.Revision != 301 {
		t.Errorf("the same folder at the same version: %+v", sameContent)
	}
	if late := change(t, after, nil, "l7", 8, folder{}); !late.Conflict || after.Revision() != 301 {
		t.Errorf("the resend of a change that lost: %+v", late)
	}
}

// TestDeltasGiveTheWholeFolder shows that an instance at any revision arrives at
// the folder of the current one.
func TestDeltasGiveTheWholeFolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &state.State{}
		held := folder{}
		copies := []folder{{}}
		for n := range rapid.IntRange(1, 12).Draw(t, "changes") {
			next := folder{}
			for _, f := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 4, rapid.ID).Draw(t, "files") {
				next[f] = json.RawMessage(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "content")))
			}
			change(t, s, held, fmt.Sprint(n), uint64(n), next)
			held = next
			copies = append(copies, held)
			if s.Revision() != uint64(n)+1 {
				t.Fatalf("revision %d after %d changes", s.Revision(), n+1)
			}
		}
		for r, c := range copies {
			if got := patch(c, s.Since(uint64(r))); !equal(got, held) {
				t.Fatalf("from revision %d: %v, want %v", r, got, held)
			}
		}
	})
}

func patch(c folder, d state.Delta) folder {
	next := folder{}
	if !d.Whole {
		for n, x := range c {
			next[n] = x
		}
	}
	for _, n := range d.Removed {
		delete(next, n)
	}
	for _, f := range d.Files {
		next[f.Name] = f.Content
	}
	return next
}

func equal(a, b folder) bool {
	if len(a) != len(b) {
		return false
	}
	for n, c := range a {
		if string(b[n]) != string(c) {
			return false
		}
	}
	return true
}

// claim asks for the key k and returns the outcome.
func claim(t interface{ Fatal(...any) }, s *state.State, k, token string) state.ClaimResult {
	var r state.ClaimResult
	apply(t, s, state.Command{Claim: &state.Claim{Key: k, Fingerprint: 1, Token: token}}, &r)
	return r
}

// TestClaimsOutliveRestartsAndWrongClocks shows that a claim lapses only by the
// measured clock, also after a restart, and that its answer goes before it.
func TestClaimsOutliveRestartsAndWrongClocks(t *testing.T) {
	s := &state.State{}
	claim(t, s, "k", "first")
	var settled state.SettleResult
	apply(t, s, state.Command{Settle: &state.Settle{Key: "k", Token: "first", Answer: &state.Answer{Status: 201, Body: []byte("x")}}}, &settled)
	advance := func(millis int64) {
		var r state.AdvanceResult
		apply(t, s, state.Command{UnixMillis: 1 << 60, Advance: &state.Advance{From: s.Clock(), Millis: millis}}, &r)
		apply(t, s, state.Command{Advance: &state.Advance{From: r.Clock - millis, Millis: millis}}, &r)
	}
	restart := func() {
		b, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		s = &state.State{}
		if err := s.Restore(b); err != nil {
			t.Fatal(err)
		}
	}
	for _, x := range []struct {
		millis  int64
		outcome state.ClaimOutcome
		kept    bool
	}{
		{0, state.ClaimRan, true},
		{119_999, state.ClaimRan, true},
		{1, state.ClaimRan, false},
		{3_479_999, state.ClaimRan, false},
		{1, state.ClaimGranted, false},
	} {
		advance(x.millis)
		restart()
		r := claim(t, s, "k", "second")
		if r.Outcome != x.outcome || (r.Answer != nil) != x.kept {
			t.Errorf("at %d ms: %+v", s.Clock(), r)
		}
	}
}

// TestReleasedClaimsLeaveNothing shows that claims which come and go do not grow
// the state.
func TestReleasedClaimsLeaveNothing(t *testing.T) {
	s := &state.State{}
	size := func() int {
		b, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	cycle := func(k string) {
		claim(t, s, k, k)
		var r state.SettleResult
		apply(t, s, state.Command{Settle: &state.Settle{Key: k, Token: k, Release: true}}, &r)
	}
	cycle("first")
	one := size()
	for n := range 5000 {
		cycle(fmt.Sprint(n))
	}
	if s.Claims() != 0 || size() != one {
		t.Errorf("%d claims and %d bytes are left, want 0 and %d", s.Claims(), size(), one)
	}
}

// TestClaimRunsOnce shows the claims of racing executions of one request.
func TestClaimRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &state.State{}
		granted := map[string]bool{}
		ran := false
		for n := range rapid.IntRange(1, 30).Draw(t, "steps") {
			token := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "token")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				var r state.ClaimResult
				apply(t, s, state.Command{UnixMillis: int64(n), Claim: &state.Claim{Key: "k", Fingerprint: 1, Token: token}}, &r)
				if r.Outcome == state.ClaimGranted && (ran || len(granted) > 0 && !granted[token]) {
					t.Fatalf("%s was granted beside %v, ran is %v", token, granted, ran)
				}
				if r.Outcome == state.ClaimGranted {
					granted[token] = true
				}
			case 1:
				var r state.SettleResult
				apply(t, s, state.Command{Settle: &state.Settle{Key: "k", Token: token, Release: true}}, &r)
				if !ran {
					delete(granted, token)
				}
			default:
				var r state.SettleResult
				apply(t, s, state.Command{Settle: &state.Settle{Key: "k", Token: token, Answer: &state.Answer{Status: 200}}}, &r)
				ran = ran || granted[token]
			}
		}
	})
}

// TestCaptureStandsStill encodes a captured state after later changes of all its
// parts.
func TestCaptureStandsStill(t *testing.T) {
	s := &state.State{}
	one := folder{"a.json": json.RawMessage(`{"N":1}`), "b.json": json.RawMessage(`{}`)}
	change(t, s, nil, "first", 0, one)
	claim(t, s, "k", "first")
	before, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	encode := s.Capture()
	change(t, s, one, "second", 1, folder{"a.json": json.RawMessage(`{"N":2}`)})
	claim(t, s, "later", "second")
	var r state.SettleResult
	apply(t, s, state.Command{Settle: &state.Settle{Key: "k", Token: "first", Answer: &state.Answer{Status: 200, Body: []byte("x")}}}, &r)
	if after, err := encode(); err != nil || string(after) != string(before) {
		t.Fatalf("%s, %v after the changes, %s before", after, err, before)
	}
	if again, err := s.Snapshot(); err != nil || string(again) == string(before) {
		t.Fatalf("the changes are lost: %v", err)
	}
}
