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

func openFolder(t *testing.T, f *disk.Folder) disk.Saved {
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

// writeSaves makes three saves in a new folder, each of two entries, one of them with a
// command of pad bytes. It returns the path of the log file, and its length before the
// first and after each save.
func writeSaves(t *testing.T, pad int) (path string, lengths []int64) {
	f := &disk.Folder{Path: t.TempDir()}
	openFolder(t, f)
	lengths = append(lengths, f.Bytes())
	for i := range uint64(3) {
		h := raft.HardState{Term: i + 1, Vote: "x", Group: "g"}
		long := raft.Entry{Index: i + 2, Term: i + 1, Command: bytes.Repeat([]byte("x"), pad)}
		if err := f.Save(&h, []raft.Entry{entry(i+1, i+1), long}); err != nil {
			t.Fatal(err)
		}
		lengths = append(lengths, f.Bytes())
	}
	closeFolder(t, f)
	return filepath.Join(f.Path, "log-0000000000000001"), lengths
}

func closeFolder(t *testing.T, f *disk.Folder) {
	t.Helper()
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
}

// checkTornTail replaces the log at path by content, which may end in a torn frame. It
// checks that Open returns the given number of complete saves and truncates the log to
// length, and that a later save is read back.
func checkTornTail(t *testing.T, path string, content []byte, saves int, length int64) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	f := &disk.Folder{Path: filepath.Dir(path)}
	s := openFolder(t, f)
	if s.Hard.Term != uint64(saves) || f.Bytes() != length || saves > 0 && len(s.Entries) != saves+1 {
		t.Fatalf("log of %d bytes opened as %+v, want its complete saves only", len(content), s)
	}
	if err := f.Save(nil, []raft.Entry{entry(uint64(saves)+1, 9)}); err != nil {
		t.Fatal(err)
	}
	closeFolder(t, f)
	s = openFolder(t, f)
	closeFolder(t, f)
	if got := s.Entries[len(s.Entries)-1]; !reflect.DeepEqual(got, entry(uint64(saves)+1, 9)) || s.Cut != 0 {
		t.Fatalf("after a save to the truncated log of %d bytes, it opened as %+v, want the new entry last", len(content), s)
	}
}

// TestTornLastFrameIsTruncated guards against a replica that can't start after a crash
// during a write. The last frame is cut at every byte. It is also cut at every sector and
// filled up with zeros, as after a crash that wrote the file's length but not its data.
func TestTornLastFrameIsTruncated(t *testing.T) {
	path, lengths := writeSaves(t, 1200)
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for save := range 3 {
		start, end := lengths[save], lengths[save+1]
		for n := start; n < end; n++ {
			checkTornTail(t, path, content[:n], save, start)
			if n%512 == 0 || n == start {
				zeroed := append(append([]byte(nil), content[:n]...), make([]byte, end-n)...)
				checkTornTail(t, path, zeroed, save, start)
			}
		}
	}
	checkTornTail(t, path, content, 3, lengths[3])
}

// TestOpenRefusesChangedBit guards against a damaged log that is read as a shorter one,
// so that saved entries are lost. Each bit of the file is changed in turn.
func TestOpenRefusesChangedBit(t *testing.T) {
	path, lengths := writeSaves(t, 30)
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
			t.Fatalf("changed bit %d: %v, want an error with the offset of the damaged frame", bit, err)
		}
	}
}

// TestCompactKeepsStateAndEmptyFolderGetsNewIdentity guards against a compaction that
// loses state, against two processes that write to one folder, and against a replaced
// disk that votes with the identity of the old one.
func TestCompactKeepsStateAndEmptyFolderGetsNewIdentity(t *testing.T) {
	f := &disk.Folder{Path: t.TempDir()}
	first := openFolder(t, f)
	if _, err := (&disk.Folder{Path: f.Path}).Open(); err == nil {
		t.Fatal("opened a locked folder a second time")
	}
	snap := raft.Snapshot{Index: 7, Term: 2, Members: []raft.Member{{Name: "a", Identity: "i", Voter: true}}, State: []byte("state")}
	hard := raft.HardState{Term: 3, Group: "g"}
	if err := f.Compact(hard, snap, []raft.Entry{entry(8, 3)}); err != nil {
		t.Fatal(err)
	}
	if err := f.Save(nil, []raft.Entry{entry(9, 3)}); err != nil {
		t.Fatal(err)
	}
	closeFolder(t, f)
	want := disk.Saved{Identity: first.Identity, Hard: hard, Snapshot: snap, Entries: []raft.Entry{entry(8, 3), entry(9, 3)}}
	if s := openFolder(t, f); !reflect.DeepEqual(s, want) {
		t.Fatalf("opened as %+v, want %+v", s, want)
	}
	closeFolder(t, f)
	if err := os.Remove(filepath.Join(f.Path, "log-0000000000000002")); err != nil {
		t.Fatal(err)
	}
	replaced := &disk.Folder{Path: f.Path}
	if s := openFolder(t, replaced); s.Identity == first.Identity || s.Identity == "" {
		t.Fatalf("empty folder has identity %q, the old one %q", s.Identity, first.Identity)
	}
	closeFolder(t, replaced)
}

// TestStagedLogReplacesLogWhenPromoted guards against entries that are lost when they are
// saved while a log is staged. The folder is closed without promoting the first staged
// log, and then another one is staged and promoted.
func TestStagedLogReplacesLogWhenPromoted(t *testing.T) {
	f := &disk.Folder{Path: t.TempDir()}
	openFolder(t, f)
	hard := raft.HardState{Term: 1, Group: "g"}
	if err := f.Save(&hard, []raft.Entry{entry(1, 1), entry(2, 1)}); err != nil {
		t.Fatal(err)
	}
	snap := raft.Snapshot{Index: 1, Term: 1, State: bytes.Repeat([]byte("s"), 3<<20)}
	later := raft.HardState{Term: 2, Vote: "x", Group: "g"}
	stage := func() {
		done := make(chan error)
		go func() { done <- f.Stage(hard, snap) }()
		if err := f.Save(&later, []raft.Entry{entry(3, 2)}); err != nil {
			t.Fatal(err)
		}
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	stage()
	closeFolder(t, f)
	if s := openFolder(t, f); s.Snapshot.Index != 0 || len(s.Entries) != 3 || s.Hard != later {
		t.Fatalf("before the staged log is promoted: snapshot at %d, entries %+v, hard state %+v, want the saved log", s.Snapshot.Index, s.Entries, s.Hard)
	}
	stage()
	rest := []raft.Entry{entry(2, 1), entry(3, 2)}
	if err := f.Promote(later, rest); err != nil {
		t.Fatal(err)
	}
	if err := f.Save(nil, []raft.Entry{entry(4, 2)}); err != nil {
		t.Fatal(err)
	}
	length := f.Bytes()
	closeFolder(t, f)
	s := openFolder(t, f)
	if s.Snapshot.Index != 1 || s.Hard != later || !reflect.DeepEqual(s.Entries, append(rest, entry(4, 2))) || f.Bytes() != length {
		t.Fatalf("after the staged log is promoted: snapshot at %d, entries %+v, hard state %+v, %d bytes of %d, want the promoted log", s.Snapshot.Index, s.Entries, s.Hard, f.Bytes(), length)
	}
	closeFolder(t, f)
}

// failingFile is a file whose Sync fails while fail is true.
type failingFile struct {
	disk.File
	fail *bool
}

func (f failingFile) Sync() error {
	if *f.fail {
		return errors.New("no space left on device")
	}
	return f.File.Sync()
}

// TestSaveAndCompactFailAfterFailedSync guards against a save that is reported as durable
// after a failed sync, when the content of the file is unknown.
func TestSaveAndCompactFailAfterFailedSync(t *testing.T) {
	fail := false
	f := &disk.Folder{Path: t.TempDir(), Create: func(path string) (disk.File, error) {
		file, err := os.Create(path)
		return failingFile{file, &fail}, err
	}}
	openFolder(t, f)
	defer closeFolder(t, f)
	fail = true
	if f.Save(nil, []raft.Entry{entry(1, 1)}) == nil {
		t.Fatal("saved without a sync")
	}
	if f.Check() == nil {
		t.Fatal("the folder takes writes, says the check of one that doesn't")
	}
	fail = false
	if err := f.Check(); err != nil {
		t.Fatalf("the check of a folder that takes writes again: %v", err)
	}
	if f.Save(nil, []raft.Entry{entry(1, 1)}) == nil || f.Compact(raft.HardState{}, raft.Snapshot{}, nil) == nil {
		t.Fatal("saved after a failure")
	}
}

// FuzzParse guards against panics and reads past the end with damaged content.
func FuzzParse(f *testing.F) {
	f.Add([]byte{})
	f.Add(make([]byte, 40))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, end, err := disk.Parse(b); err == nil && end > len(b) {
			t.Fatal("read past the end")
		}
	})
}
