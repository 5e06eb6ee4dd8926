package disk_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/quorum/disk"
	"github.com/snipefront/snipefront/internal/quorum/raft"
)

func open(t *testing.T, f *disk.Folder) disk.Saved {
	t.Helper()
	s, err := f.Open()
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func entry(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Command: fmt.Appendf(nil, "command %d of term %d", index, term)}
}

// fill saves three steps in a new folder, with an entry of pad bytes in each. It
// returns the file and its length after each step.
func fill(t *testing.T, pad int) (path string, lengths []int64) {
	f := &disk.Folder{Path: t.TempDir()}
	open(t, f)
	lengths = append(lengths, f.Bytes())
	for i := range uint64(3) {
		h := raft.HardState{Term: i + 1, Vote: "x", Group: "g"}
		long := raft.Entry{Index: i + 2, Term: i + 1, Command: bytes.Repeat([]byte("x"), pad)}
		if err := f.Save(&h, []raft.Entry{entry(i+1, i+1), long}); err != nil {
			t.Fatal(err)
		}
		lengths = append(lengths, f.Bytes())
	}
	shut(t, f)
	return filepath.Join(f.Path, "log-0000000000000001"), lengths
}

func shut(t *testing.T, f *disk.Folder) {
	t.Helper()
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
}

// checkCut opens a folder whose log has content, of which the frames of whole
// steps are good, and goes on writing to it.
func checkCut(t *testing.T, path string, content []byte, whole int, length int64) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	f := &disk.Folder{Path: filepath.Dir(path)}
	s := open(t, f)
	if s.Hard.Term != uint64(whole) || f.Bytes() != length || whole > 0 && len(s.Entries) != whole+1 {
		t.Fatalf("%d bytes: %+v", len(content), s)
	}
	if err := f.Save(nil, []raft.Entry{entry(uint64(whole)+1, 9)}); err != nil {
		t.Fatal(err)
	}
	shut(t, f)
	s = open(t, f)
	shut(t, f)
	if got := s.Entries[len(s.Entries)-1]; !reflect.DeepEqual(got, entry(uint64(whole)+1, 9)) || s.Cut != 0 {
		t.Fatalf("after the cut of %d bytes: %+v", len(content), s)
	}
}

// TestTornTailIsCut ends the file at every byte, and leaves out the sectors of the
// last frame from every sector on.
func TestTornTailIsCut(t *testing.T) {
	path, lengths := fill(t, 1200)
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for step := range 3 {
		start, end := lengths[step], lengths[step+1]
		for n := start; n < end; n++ {
			checkCut(t, path, content[:n], step, start)
			if n%512 == 0 || n == start {
				holed := append(append([]byte(nil), content[:n]...), make([]byte, end-n)...)
				checkCut(t, path, holed, step, start)
			}
		}
	}
	checkCut(t, path, content, 3, lengths[3])
}

func TestChangedBitIsRefused(t *testing.T) {
	path, lengths := fill(t, 30)
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for bit := range len(content) * 8 {
		b := append([]byte(nil), content...)
		b[bit/8] ^= 1 << (bit % 8)
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		fault := int64(0)
		for _, l := range lengths[:3] {
			if int64(bit/8) >= l {
				fault = l
			}
		}
		_, err := (&disk.Folder{Path: filepath.Dir(path)}).Open()
		if err == nil || !strings.Contains(err.Error(), fmt.Sprintf("%s is damaged at offset %d:", path, fault)) {
			t.Fatalf("bit %d: %v", bit, err)
		}
	}
}

func TestCompactKeepsAllAndEveryDiskIsAnother(t *testing.T) {
	f := &disk.Folder{Path: t.TempDir()}
	first := open(t, f)
	if _, err := (&disk.Folder{Path: f.Path}).Open(); err == nil {
		t.Fatal("two locks on one folder")
	}
	snap := raft.Snapshot{Index: 7, Term: 2, Members: []raft.Member{{Name: "a", Identity: "i", Voter: true}}, State: []byte("state")}
	hard := raft.HardState{Term: 3, Group: "g"}
	if err := f.Compact(hard, snap, []raft.Entry{entry(8, 3)}); err != nil {
		t.Fatal(err)
	}
	if err := f.Save(nil, []raft.Entry{entry(9, 3)}); err != nil {
		t.Fatal(err)
	}
	shut(t, f)
	want := disk.Saved{Identity: first.Identity, Hard: hard, Snapshot: snap, Entries: []raft.Entry{entry(8, 3), entry(9, 3)}}
	if s := open(t, f); !reflect.DeepEqual(s, want) {
		t.Fatalf("%+v, want %+v", s, want)
	}
	shut(t, f)
	if err := os.Remove(filepath.Join(f.Path, "log-0000000000000002")); err != nil {
		t.Fatal(err)
	}
	blank := &disk.Folder{Path: f.Path}
	if s := open(t, blank); s.Identity == first.Identity || s.Identity == "" {
		t.Fatalf("blank disk is %q, the old one %q", s.Identity, first.Identity)
	}
	shut(t, blank)
}

// TestDraftTakesThePlaceOfTheLogOnceAdopted saves beside a draft, ends without
// adopting it, and then adopts another.
func TestDraftTakesThePlaceOfTheLogOnceAdopted(t *testing.T) {
	f := &disk.Folder{Path: t.TempDir()}
	open(t, f)
	hard := raft.HardState{Term: 1, Group: "g"}
	if err := f.Save(&hard, []raft.Entry{entry(1, 1), entry(2, 1)}); err != nil {
		t.Fatal(err)
	}
	snap := raft.Snapshot{Index: 1, Term: 1, State: bytes.Repeat([]byte("s"), 3<<20)}
	later := raft.HardState{Term: 2, Vote: "x", Group: "g"}
	draft := func() {
		ended := make(chan error)
		go func() { ended <- f.Stage(hard, snap) }()
		if err := f.Save(&later, []raft.Entry{entry(3, 2)}); err != nil {
			t.Fatal(err)
		}
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	}
	draft()
	shut(t, f)
	if s := open(t, f); s.Snapshot.Index != 0 || len(s.Entries) != 3 || s.Hard != later {
		t.Fatalf("before it is adopted: %d, %+v, %+v", s.Snapshot.Index, s.Entries, s.Hard)
	}
	draft()
	rest := []raft.Entry{entry(2, 1), entry(3, 2)}
	if err := f.Promote(later, rest); err != nil {
		t.Fatal(err)
	}
	if err := f.Save(nil, []raft.Entry{entry(4, 2)}); err != nil {
		t.Fatal(err)
	}
	length := f.Bytes()
	shut(t, f)
	s := open(t, f)
	if s.Snapshot.Index != 1 || s.Hard != later || !reflect.DeepEqual(s.Entries, append(rest, entry(4, 2))) || f.Bytes() != length {
		t.Fatalf("after it is adopted: %d, %+v, %+v, %d bytes of %d", s.Snapshot.Index, s.Entries, s.Hard, f.Bytes(), length)
	}
	shut(t, f)
}

// failing is a file whose syncs fail once told to.
type failing struct {
	disk.File
	fail *bool
}

func (f failing) Sync() error {
	if *f.fail {
		return errors.New("no space left on device")
	}
	return f.File.Sync()
}

func TestNothingIsSavedAfterAFailedSync(t *testing.T) {
	fail := false
	f := &disk.Folder{Path: t.TempDir(), Create: func(path string) (disk.File, error) {
		file, err := os.Create(path)
		return failing{file, &fail}, err
	}}
	open(t, f)
	defer shut(t, f)
	fail = true
	if f.Save(nil, []raft.Entry{entry(1, 1)}) == nil {
		t.Fatal("saved without a sync")
	}
	fail = false
	if f.Save(nil, []raft.Entry{entry(1, 1)}) == nil || f.Compact(raft.HardState{}, raft.Snapshot{}, nil) == nil {
		t.Fatal("saved after a failure")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte{})
	f.Add(make([]byte, 40))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, end, err := disk.Parse(b); err == nil && end > len(b) {
			t.Fatal("read past the end")
		}
	})
}
