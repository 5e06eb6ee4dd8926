package disk_test

import (
	"os"
	"slices"
	"testing"

	"github.com/snipefront/snipefront/internal/quorum/disk"
	"github.com/snipefront/snipefront/internal/quorum/raft"
)

// reopen opens the folder at path for the first start of the given instances, or for a later start if
// there are none, and returns which instances it knows of. With group it then belongs to one.
func reopen(t *testing.T, path string, first []string, group string) []string {
	t.Helper()
	f := disk.Folder{Path: path, FirstStart: first}
	s, err := f.Open()
	if err != nil {
		t.Fatal(err)
	}
	if group != "" {
		if err := f.Save(&raft.HardState{Term: 1, Group: group}, nil); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	return s.FirstStart
}

// TestFirstStartIsKept guards against a group that never forms, since a process that was killed in the
// first start leaves nothing of it to the next one, and against a second group, which a disk could
// start that has belonged to one, or that wasn't there.
func TestFirstStartIsKept(t *testing.T) {
	path, seeds := t.TempDir(), []string{"a", "b"}
	if got := reopen(t, path, nil, ""); got != nil {
		t.Errorf("a disk that wasn't there knows of %v", got)
	}
	if got := reopen(t, path, seeds, ""); got != nil {
		t.Errorf("a disk that wasn't there knows of %v after a later first start", got)
	}
	path = t.TempDir()
	for i, first := range [][]string{seeds, nil, {"x"}} {
		if got := reopen(t, path, first, ""); !slices.Equal(got, seeds) {
			t.Errorf("start %d: the disk knows of %v, want %v", i, got, seeds)
		}
	}
	reopen(t, path, nil, "g")
	if got := reopen(t, path, nil, ""); got != nil {
		t.Errorf("a disk that belongs to a group knows of %v", got)
	}
}

// TestFirstStartOutlivesTornFile guards against a process that can't start since its predecessor ended
// while it wrote what it knew of the first start.
func TestFirstStartOutlivesTornFile(t *testing.T) {
	path, seeds := t.TempDir(), []string{"a", "b"}
	if err := os.WriteFile(path+"/first.tmp", []byte(`{"Inst`), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := reopen(t, path, nil, ""); got != nil {
		t.Errorf("a torn file tells of %v", got)
	}
	path = t.TempDir()
	if err := os.WriteFile(path+"/first.tmp", []byte(`{"Inst`), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := reopen(t, path, seeds, ""); !slices.Equal(got, seeds) {
		t.Errorf("beside a torn file the disk knows of %v, want %v", got, seeds)
	}
}
