package state_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/snipefront/snipefront/internal/control/state"
)

// folder is the operators' configuration folder, by file name.
type folder map[string]json.RawMessage

func (f folder) list() []state.File {
	var files []state.File
	for n, c := range f {
		files = append(files, state.File{Name: n, Content: c})
	}
	return files
}

// apply applies c to s and decodes the result into result.
func apply(t interface{ Fatal(...any) }, s *state.State, c state.Command, result any) {
	b, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if err := state.Decode(s.Apply(0, b), result); err != nil {
		t.Fatal(err)
	}
}

// applyChange applies the change from the folder current, at the revision version, to
// next, and returns its result.
func applyChange(t interface{ Fatal(...any) }, s *state.State, current folder, id string, version uint64, next folder) state.ConfigResult {
	c := state.Diff(current, version, next.list())
	c.ChangeID = id
	var r state.ConfigResult
	apply(t, s, state.Command{Config: &c}, &r)
	return r
}

// TestRacingOperators guards against accepting two changes that are based on one
// revision, and against applying a change twice when an operator resends it after
// a lost answer, also after a restart from a snapshot. In the loop, the IDs of
// accepted changes begin with w and those of rejected ones with l.
func TestRacingOperators(t *testing.T) {
	s := &state.State{}
	one := folder{"a.json": json.RawMessage(`{"N":1}`)}
	two := folder{"a.json": json.RawMessage(`{"N":2}`)}
	if r := applyChange(t, s, nil, "first", 0, one); r.Revision != 1 || r.Conflict {
		t.Fatalf("the first change returned %+v, want revision 1 and no conflict", r)
	}
	for n := range 300 {
		version := uint64(n) + 1
		accepted := applyChange(t, s, one, fmt.Sprint("w", n), version, two)
		rejected := applyChange(t, s, one, fmt.Sprint("l", n), version, folder{})
		if accepted.Conflict || !rejected.Conflict || rejected.Winner != fmt.Sprint("w", n) || rejected.Revision != accepted.Revision {
			t.Fatalf("version %d: the first change returned %+v, want it accepted; the second %+v, want a conflict with the first", version, accepted, rejected)
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
	again := applyChange(t, after, nil, "w7", 8, one)
	if !again.Repeated || again.Revision != 9 {
		t.Errorf("a resend after the restart returned %+v, want it repeated with revision 9", again)
	}
	if later := applyChange(t, after, two, "w7", 300, folder{}); !later.Repeated || later.Revision != 9 {
		t.Errorf("a resend based on a later version returned %+v, want it repeated with revision 9", later)
	}
	sameContent := applyChange(t, after, two, "another", 300, one)
	if !sameContent.Repeated || sameContent.Revision != 301 {
		t.Errorf("the same folder based on the same version returned %+v, want it repeated with revision 301", sameContent)
	}
	if late := applyChange(t, after, nil, "l7", 8, folder{}); !late.Conflict || after.Revision() != 301 {
		t.Errorf("a resend of a rejected change returned %+v, want a conflict and revision 301", late)
	}
}

// TestDeltaReachesCurrentFolder guards against deltas that omit a written or a
// removed file. From every earlier revision, DeltaSince must lead to the current
// folder.
func TestDeltaReachesCurrentFolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &state.State{}
		current := folder{}
		folders := []folder{{}}
		for n := range rapid.IntRange(1, 12).Draw(t, "changes") {
			next := folder{}
			for _, f := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 4, rapid.ID).Draw(t, "files") {
				next[f] = json.RawMessage(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "content")))
			}
			applyChange(t, s, current, fmt.Sprint(n), uint64(n), next)
			current = next
			folders = append(folders, current)
			if s.Revision() != uint64(n)+1 {
				t.Fatalf("revision %d after %d changes", s.Revision(), n+1)
			}
		}
		for r, c := range folders {
			if got := applyDelta(c, s.DeltaSince(uint64(r))); !equal(got, current) {
				t.Fatalf("from revision %d: %v, want %v", r, got, current)
			}
		}
	})
}

// applyDelta returns the folder c with d applied.
func applyDelta(c folder, d state.Delta) folder {
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

// claim claims the key k with token and returns the result.
func claim(t interface{ Fatal(...any) }, s *state.State, k, token string) state.ClaimResult {
	var r state.ClaimResult
	apply(t, s, state.Command{Claim: &state.Claim{Key: k, Fingerprint: 1, Token: token}}, &r)
	return r
}

// TestClaimsOutliveRestartsAndWrongClocks guards against claims that expire
// early, because of a restart or the wrong wall clock of a proposer, so that a
// request could run twice. By the measured clock, an answer expires before its
// claim.
func TestClaimsOutliveRestartsAndWrongClocks(t *testing.T) {
	s := &state.State{}
	claim(t, s, "k", "first")
	var settled state.SettleResult
	apply(t, s, state.Command{Settle: &state.Settle{Key: "k", Token: "first", Answer: &state.Answer{Status: 201, Body: []byte("x")}}}, &settled)
	// advance advances the clock with a command whose wall clock is wrong, and repeats
	// the command, which must be ignored.
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
	for _, step := range []struct {
		millis  int64
		outcome state.ClaimOutcome
		stored  bool
	}{
		{0, state.ClaimRan, true},
		{119_999, state.ClaimRan, true},
		{1, state.ClaimRan, false},
		{3_479_999, state.ClaimRan, false},
		{1, state.ClaimGranted, false},
	} {
		advance(step.millis)
		restart()
		r := claim(t, s, "k", "second")
		if r.Outcome != step.outcome || (r.Answer != nil) != step.stored {
			t.Errorf("at %d ms the claim returned %+v, want the outcome and the answer of its step", s.Clock(), r)
		}
	}
}

// TestReleasedClaimsDoNotGrowState guards against a leak: a released claim must
// leave nothing in the state.
func TestReleasedClaimsDoNotGrowState(t *testing.T) {
	s := &state.State{}
	size := func() int {
		b, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	claimAndRelease := func(k string) {
		claim(t, s, k, k)
		var r state.SettleResult
		apply(t, s, state.Command{Settle: &state.Settle{Key: k, Token: k, Release: true}}, &r)
	}
	claimAndRelease("first")
	want := size()
	for n := range 5000 {
		claimAndRelease(fmt.Sprint(n))
	}
	if s.Claims() != 0 || size() != want {
		t.Errorf("%d claims and %d bytes are left, want 0 and %d", s.Claims(), size(), want)
	}
}

// TestClaimRunsOnce guards against granting a claim to two executions of one
// request, in any order of claims, releases and answers.
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
					t.Fatalf("%s was granted the claim while %v held it and ran was %v, want no grant", token, granted, ran)
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

// TestCaptureIgnoresLaterChanges guards against a capture that shares memory with
// the state: it must encode the state as it was, even if every part of the state
// changes before the encoding.
func TestCaptureIgnoresLaterChanges(t *testing.T) {
	s := &state.State{}
	one := folder{"a.json": json.RawMessage(`{"N":1}`), "b.json": json.RawMessage(`{}`)}
	applyChange(t, s, nil, "first", 0, one)
	claim(t, s, "k", "first")
	before, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	encode := s.Capture()
	applyChange(t, s, one, "second", 1, folder{"a.json": json.RawMessage(`{"N":2}`)})
	claim(t, s, "later", "second")
	var r state.SettleResult
	apply(t, s, state.Command{Settle: &state.Settle{Key: "k", Token: "first", Answer: &state.Answer{Status: 200, Body: []byte("x")}}}, &r)
	if after, err := encode(); err != nil || string(after) != string(before) {
		t.Fatalf("the capture encodes %s (%v) after the changes, want %s as before them", after, err, before)
	}
	if again, err := s.Snapshot(); err != nil || string(again) == string(before) {
		t.Fatalf("a new snapshot lacks the changes after the capture (%v), want it to differ", err)
	}
}
