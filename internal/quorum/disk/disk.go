// Package disk stores the log and the Raft state of a replica in one folder.
//
// The folder contains a lock file and one log file, log-N. A log file is a sequence
// of frames, each with its length and checksums. Each Save appends one frame, and
// syncs it before it returns. The first frame contains the format, the identity of
// the disk and a complete state: hard state, snapshot and entries. Later frames
// contain changes to it.
//
// Compact writes the complete next file under a temporary name, syncs and renames
// it, syncs the folder, and only then removes the previous file. The file with the
// highest number is therefore complete, whenever the process ends.
//
// Stage writes such a file while Save appends to the current one. Promote adds the
// entries after its snapshot and makes it the current file.
//
// An empty folder of the first start also gets a file with the instances of that start. It counts
// until the replica belongs to a group.
//
// Each Save also stores the commit index that was known before it, in the same frame as the
// entries. It needs no sync of its own: a torn or lost frame takes its index with it, and the
// index of an earlier frame only is lower. Earlier builds skip the field, and a file of theirs
// has none.
//
// A crash can truncate only the last frame, since each frame is synced before the
// next is written. Open removes such a torn last frame, which no Save has reported
// as saved. It refuses a file with any other damage, with its path and the offset.
// A changed bit in the last frame counts as damage, since every sector of that frame
// was written.
package disk

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"syscall"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/snipefront/snipefront/internal/quorum/codec"
	"github.com/snipefront/snipefront/internal/quorum/raft"
	"github.com/snipefront/snipefront/internal/rpc/wire"
)

const (
	format      = 1
	prefix      = "log-"
	rewriteName = "next.tmp"
	stagedName  = "draft.tmp"
	checkName   = "check.tmp"
	// checkBytes is the length of the file that Check writes.
	checkBytes = 4 << 10
	// maxUnsyncedBytes is the maximum number of bytes that Stage writes between two
	// syncs, which bounds the time that a concurrent Save waits for the disk.
	maxUnsyncedBytes = 1 << 20
	lockName         = "lock"
	folderMode       = 0o750
	fileMode         = 0o640
)

// File is a file that a Folder writes to. Tests replace *os.File by another.
type File interface {
	io.WriteCloser
	Sync() error
}

// Saved is the saved state from which a replica starts.
type Saved struct {
	Identity string
	Hard     raft.HardState
	Snapshot raft.Snapshot
	Entries  []raft.Entry
	// Commit is the last saved commit index, but at most the index of the last entry or of
	// the snapshot. It is zero if none was saved.
	Commit uint64
	// Cut is the length of the torn last frame that Open removed, or zero.
	Cut int64
	// FirstStart are the instances of the first start of the group, if this disk was there and
	// has belonged to no group since. It is empty otherwise.
	FirstStart []string
}

// Folder stores the state of one replica. Set the exported fields before Open. Once a
// Save, Compact or Promote has failed, all later ones fail with the same error.
type Folder struct {
	Path string
	// Create creates the file at path, opened for appending. Nil creates an *os.File.
	Create func(path string) (File, error)
	// FirstStart are the instances that start the group now for the first time, or empty if
	// it has been started before. An empty folder keeps them, so that a process that ends before
	// there is a group leaves to the next one what it knew.
	FirstStart []string

	identity string
	number   uint64
	file     File
	lock     *os.File
	bytes    int64
	// commit is the commit index that the next write saves.
	commit uint64
	failed error
	// staged is the file that Stage has written, or nil.
	staged      File
	stagedBytes int64
}

// Open locks the folder, creating it if needed, and reads it. An empty folder gets a
// new identity. Open fails if another process has locked the folder or the log is
// damaged.
func (f *Folder) Open() (Saved, error) {
	if err := f.lockFolder(); err != nil {
		return Saved{}, err
	}
	s, err := f.load()
	if err != nil {
		f.lock.Close()
		return Saved{}, err
	}
	f.identity = s.Identity
	f.commit = s.Commit
	return s, nil
}

// SetCommit sets the commit index that the next Save, Compact or Promote stores. The entries
// up to it must be committed, and saved by then. It must not run concurrently with those.
func (f *Folder) SetCommit(index uint64) { f.commit = index }

func (f *Folder) load() (Saved, error) {
	numbers, err := f.listNumbers()
	if err != nil {
		return Saved{}, err
	}
	if len(numbers) == 0 {
		return f.begin()
	}
	f.number = numbers[len(numbers)-1]
	s, err := f.read(f.logPath(f.number))
	if err != nil {
		return Saved{}, err
	}
	for _, n := range numbers[:len(numbers)-1] {
		if err := os.Remove(f.logPath(n)); err != nil {
			return Saved{}, errors.Wrap(err, "remove old log")
		}
	}
	f.file, err = os.OpenFile(f.logPath(f.number), os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return Saved{}, errors.Wrap(err, "open log")
	}
	if s.Hard.Group == "" {
		s.FirstStart, err = f.readFirstStart()
	}
	return s, err
}

// Save appends to the log and returns once the data is durable. If h is nil, the saved
// hard state stays.
func (f *Folder) Save(h *raft.HardState, entries []raft.Entry) error {
	return f.append(&wire.LogRecord{Hard: codec.HardState(h), Entries: codec.Entries(entries)})
}

// Compact replaces the whole log, and returns once the new one is durable.
func (f *Folder) Compact(h raft.HardState, s raft.Snapshot, entries []raft.Entry) error {
	if f.failed != nil {
		return f.failed
	}
	f.failed = f.rewrite(h, s, entries)
	return f.failed
}

// Stage writes a log file with h and s under a temporary name. It may run
// concurrently with Save and Compact, but not with Promote or another Stage. A staged
// file that is not promoted is replaced by the next.
func (f *Folder) Stage(h raft.HardState, s raft.Snapshot) error {
	file, err := f.create(filepath.Join(f.Path, stagedName))
	if err != nil {
		return errors.Wrap(err, "create staged log")
	}
	b, err := encodeRecord(f.firstRecord(h, s, nil))
	if err != nil {
		file.Close()
		return err
	}
	if f.staged != nil {
		f.staged.Close()
	}
	f.staged = file
	f.stagedBytes = int64(len(b))
	for len(b) > 0 {
		n := min(len(b), maxUnsyncedBytes)
		if err := writeSync(file, b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// Promote adds h and the entries after the staged snapshot to the staged file, makes
// it the log, and returns once that is durable.
func (f *Folder) Promote(h raft.HardState, entries []raft.Entry) error {
	if f.failed != nil {
		return f.failed
	}
	f.failed = f.promote(h, entries)
	return f.failed
}

func (f *Folder) promote(h raft.HardState, entries []raft.Entry) error {
	b, err := encodeRecord(withCommit(&wire.LogRecord{Hard: codec.HardState(&h), Entries: codec.Entries(entries)}, f.commit))
	if err != nil {
		return err
	}
	if err := writeSync(f.staged, b); err != nil {
		return err
	}
	file := f.staged
	f.staged = nil
	return f.replace(file, stagedName, f.stagedBytes+int64(len(b)))
}

// Check returns an error if the folder takes no writes. It may run concurrently with all
// other methods, and works after a failed Save, too.
func (f *Folder) Check() error {
	path := filepath.Join(f.Path, checkName)
	file, err := f.create(path)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	defer func() { _ = os.Remove(path) }() // a file that stays is replaced by the next check
	defer file.Close()
	return writeSync(file, make([]byte, checkBytes))
}

// Bytes returns the length of the log file.
func (f *Folder) Bytes() int64 { return f.bytes }

// Close closes the files and releases the lock.
func (f *Folder) Close() error {
	err := f.file.Close()
	if f.staged != nil {
		f.staged.Close()
	}
	f.lock.Close()
	return errors.Wrap(err, "close log")
}

func (f *Folder) append(r *wire.LogRecord) error {
	if f.failed != nil {
		return f.failed
	}
	var b []byte
	if b, f.failed = encodeRecord(withCommit(r, f.commit)); f.failed != nil {
		return f.failed
	}
	if f.failed = writeSync(f.file, b); f.failed != nil {
		return f.failed
	}
	f.bytes += int64(len(b))
	return nil
}

// encodeRecord returns r as a frame.
func encodeRecord(r *wire.LogRecord) ([]byte, error) {
	b, err := proto.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode log record")
	}
	if len(b) > maxFrameBytes {
		return nil, errors.Errorf("log record of %d bytes exceeds the limit of 1 GiB", len(b))
	}
	return encodeFrame(b), nil
}

// writeSync writes b and syncs it.
func writeSync(file File, b []byte) error {
	if _, err := file.Write(b); err != nil {
		return errors.Wrap(err, "write log")
	}
	return errors.Wrap(file.Sync(), "sync log")
}

// firstRecord returns the first record of a file.
func (f *Folder) firstRecord(h raft.HardState, s raft.Snapshot, entries []raft.Entry) *wire.LogRecord {
	return &wire.LogRecord{
		Format: format, Identity: f.identity,
		Hard: codec.HardState(&h), Snapshot: codec.Snapshot(&s), Entries: codec.Entries(entries),
	}
}

// rewrite replaces the log by a file with the given state.
func (f *Folder) rewrite(h raft.HardState, s raft.Snapshot, entries []raft.Entry) error {
	b, err := encodeRecord(withCommit(f.firstRecord(h, s, entries), f.commit))
	if err != nil {
		return err
	}
	file, err := f.create(filepath.Join(f.Path, rewriteName))
	if err != nil {
		return errors.Wrap(err, "create log")
	}
	if err := writeSync(file, b); err != nil {
		file.Close()
		return err
	}
	return f.replace(file, rewriteName, int64(len(b)))
}

// replace renames file from its temporary name to that of the next log, and removes the
// previous one. bytes is the length of file.
func (f *Folder) replace(file File, name string, bytes int64) error {
	if err := os.Rename(filepath.Join(f.Path, name), f.logPath(f.number+1)); err != nil {
		file.Close()
		return errors.Wrap(err, "rename log")
	}
	if err := syncFolder(f.Path); err != nil {
		file.Close()
		return err
	}
	old := f.file
	f.file = file
	f.bytes = bytes
	f.number++
	if old == nil {
		return nil
	}
	old.Close()
	return errors.Wrap(os.Remove(f.logPath(f.number-1)), "remove old log")
}

func (f *Folder) create(path string) (File, error) {
	if f.Create != nil {
		return f.Create(path)
	}
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, fileMode)
}

// lockFolder creates the folder and locks it against other processes.
func (f *Folder) lockFolder() error {
	if err := os.MkdirAll(f.Path, folderMode); err != nil {
		return errors.Wrap(err, "create data folder")
	}
	if err := syncFolder(filepath.Dir(f.Path)); err != nil {
		return err
	}
	l, err := os.OpenFile(filepath.Join(f.Path, lockName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return errors.Wrap(err, "open lock file")
	}
	if err := syscall.Flock(int(l.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		l.Close()
		return errors.Wrapf(err, "data folder %s is in use by another process", f.Path)
	}
	f.lock = l
	return nil
}

// listNumbers returns the numbers of the log files in the folder, ascending.
func (f *Folder) listNumbers() ([]uint64, error) {
	list, err := os.ReadDir(f.Path)
	if err != nil {
		return nil, errors.Wrap(err, "read data folder")
	}
	var numbers []uint64
	for _, d := range list {
		digits, ok := strings.CutPrefix(d.Name(), prefix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "file %s in data folder is not a numbered log", d.Name())
		}
		numbers = append(numbers, n)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	return numbers, nil
}

func (f *Folder) logPath(number uint64) string {
	return filepath.Join(f.Path, fmt.Sprintf("%s%016d", prefix, number))
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	defer d.Close()
	return errors.Wrap(d.Sync(), "sync folder")
}
