// Package disk keeps the saved part of a replica of the log in one folder.
//
// The folder holds a lock and one file, log-N. A file is a list of frames, each
// with its length and checksums, and each save is one frame that is synced before
// Save returns. The first frame of a file names the format and the disk, and
// holds a whole state: hard state, snapshot and entries. Later frames add to it.
//
// Compact writes the next file whole under a temporary name, syncs and renames
// it, syncs the folder, and only then removes the file before it. The file with
// the highest number is therefore complete, whenever the process ends.
//
// Stage writes such a file while Save goes on with the present one. Promote adds to
// it what has been saved meanwhile, and makes it the log.
//
// Only the last frame can have been cut short by a crash, since each is synced
// before the next is written. Open cuts a torn last frame, which was never
// promised to anybody. It refuses a file with any other fault, with its name and
// the offset of the fault. A bit that changes in the last frame is such a fault,
// since every sector of that frame was written.
package disk

import (
	"crypto/rand"
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
	format    = 1
	prefix    = "log-"
	temporary = "next.tmp"
	draftName = "draft.tmp"
	// syncBytes is the most bytes of a draft that wait for a sync, so that no Save
	// waits for more than these.
	syncBytes  = 1 << 20
	lockName   = "lock"
	folderMode = 0o750
	fileMode   = 0o640
)

// File is what a Folder writes to. Tests put another in place of *os.File.
type File interface {
	io.WriteCloser
	Sync() error
}

// Saved is what a replica starts from.
type Saved struct {
	Identity string
	Hard     raft.HardState
	Snapshot raft.Snapshot
	Entries  []raft.Entry
	// Cut is the number of bytes of a torn frame that were cut.
	Cut int64
}

// Folder saves the state of one replica. Set the exported fields before Open.
// After the first error each call fails with it.
type Folder struct {
	Path string
	// Create replaces the creation of files. Nil creates real ones.
	Create func(path string) (File, error)

	identity string
	number   uint64
	file     File
	lock     *os.File
	bytes    int64
	failed   error
	// draft is nil where there is none.
	draft      File
	draftBytes int64
}

// Open locks the folder and reads it. A blank folder gets a new identity.
func (f *Folder) Open() (Saved, error) {
	if err := f.acquire(); err != nil {
		return Saved{}, err
	}
	s, err := f.load()
	if err != nil {
		f.lock.Close()
		return Saved{}, err
	}
	f.identity = s.Identity
	return s, nil
}

func (f *Folder) load() (Saved, error) {
	numbers, err := f.numbers()
	if err != nil {
		return Saved{}, err
	}
	if len(numbers) == 0 {
		s := Saved{Identity: rand.Text()}
		f.identity = s.Identity
		return s, f.write(s.Hard, s.Snapshot, nil)
	}
	f.number = numbers[len(numbers)-1]
	s, err := f.read(f.name(f.number))
	if err != nil {
		return Saved{}, err
	}
	for _, n := range numbers[:len(numbers)-1] {
		if err := os.Remove(f.name(n)); err != nil {
			return Saved{}, errors.Wrap(err, "remove old log")
		}
	}
	f.file, err = os.OpenFile(f.name(f.number), os.O_WRONLY|os.O_APPEND, fileMode)
	return s, errors.Wrap(err, "open log")
}

// Save appends to the log and returns once it is on the disk.
func (f *Folder) Save(h *raft.HardState, entries []raft.Entry) error {
	return f.append(&wire.LogRecord{Hard: codec.HardState(h), Entries: codec.Entries(entries)})
}

// Compact replaces the whole log, and returns once that is on the disk.
func (f *Folder) Compact(h raft.HardState, s raft.Snapshot, entries []raft.Entry) error {
	if f.failed != nil {
		return f.failed
	}
	f.failed = f.write(h, s, entries)
	return f.failed
}

// Stage writes a file with s under a temporary name. It may run beside Save and
// Compact, but not beside Promote or another Stage. A draft that is not promoted is
// replaced by the next.
func (f *Folder) Stage(h raft.HardState, s raft.Snapshot) error {
	file, err := f.create(filepath.Join(f.Path, draftName))
	if err != nil {
		return errors.Wrap(err, "create draft of log")
	}
	b, err := encode(f.first(h, s, nil))
	if err != nil {
		file.Close()
		return err
	}
	if f.draft != nil {
		f.draft.Close()
	}
	f.draft = file
	f.draftBytes = int64(len(b))
	for len(b) > 0 {
		n := min(len(b), syncBytes)
		if err := write(file, b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// Promote makes the draft the log, with the entries after its snapshot, and returns
// once that is on the disk.
func (f *Folder) Promote(h raft.HardState, entries []raft.Entry) error {
	if f.failed != nil {
		return f.failed
	}
	f.failed = f.adopt(h, entries)
	return f.failed
}

func (f *Folder) adopt(h raft.HardState, entries []raft.Entry) error {
	b, err := encode(&wire.LogRecord{Hard: codec.HardState(&h), Entries: codec.Entries(entries)})
	if err != nil {
		return err
	}
	if err := write(f.draft, b); err != nil {
		return err
	}
	file := f.draft
	f.draft = nil
	return f.replace(file, draftName, f.draftBytes+int64(len(b)))
}

// Bytes returns the length of the log.
func (f *Folder) Bytes() int64 { return f.bytes }

// Close closes the files and gives up the lock.
func (f *Folder) Close() error {
	err := f.file.Close()
	if f.draft != nil {
		f.draft.Close()
	}
	f.lock.Close()
	return errors.Wrap(err, "close log")
}

func (f *Folder) append(r *wire.LogRecord) error {
	if f.failed != nil {
		return f.failed
	}
	var b []byte
	if b, f.failed = encode(r); f.failed != nil {
		return f.failed
	}
	if f.failed = write(f.file, b); f.failed != nil {
		return f.failed
	}
	f.bytes += int64(len(b))
	return nil
}

// encode returns r as a frame.
func encode(r *wire.LogRecord) ([]byte, error) {
	b, err := proto.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode log record")
	}
	if len(b) > maxFrameBytes {
		return nil, errors.Errorf("log record of %d bytes is too long", len(b))
	}
	return frame(b), nil
}

// write writes b and syncs it.
func write(file File, b []byte) error {
	if _, err := file.Write(b); err != nil {
		return errors.Wrap(err, "write log")
	}
	return errors.Wrap(file.Sync(), "sync log")
}

// first returns the first record of a file.
func (f *Folder) first(h raft.HardState, s raft.Snapshot, entries []raft.Entry) *wire.LogRecord {
	return &wire.LogRecord{
		Format: format, Identity: f.identity,
		Hard: codec.HardState(&h), Snapshot: codec.Snapshot(&s), Entries: codec.Entries(entries),
	}
}

// write makes a file with a whole state the log.
func (f *Folder) write(h raft.HardState, s raft.Snapshot, entries []raft.Entry) error {
	b, err := encode(f.first(h, s, entries))
	if err != nil {
		return err
	}
	file, err := f.create(filepath.Join(f.Path, temporary))
	if err != nil {
		return errors.Wrap(err, "create log")
	}
	if err := write(file, b); err != nil {
		file.Close()
		return err
	}
	return f.replace(file, temporary, int64(len(b)))
}

// replace gives file, which has a temporary name and a number of bytes, the next
// number, and removes the file before it.
func (f *Folder) replace(file File, name string, bytes int64) error {
	if err := os.Rename(filepath.Join(f.Path, name), f.name(f.number+1)); err != nil {
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
	return errors.Wrap(os.Remove(f.name(f.number-1)), "remove old log")
}

func (f *Folder) create(path string) (File, error) {
	if f.Create != nil {
		return f.Create(path)
	}
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, fileMode)
}

// acquire makes the folder and locks it against other processes.
func (f *Folder) acquire() error {
	if err := os.MkdirAll(f.Path, folderMode); err != nil {
		return errors.Wrap(err, "make data folder")
	}
	if err := syncFolder(filepath.Dir(f.Path)); err != nil {
		return err
	}
	l, err := os.OpenFile(filepath.Join(f.Path, lockName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return errors.Wrap(err, "open lock")
	}
	if err := syscall.Flock(int(l.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		l.Close()
		return errors.Wrapf(err, "data folder %s is in use by another process", f.Path)
	}
	f.lock = l
	return nil
}

// numbers returns the numbers of the files in the folder, ascending.
func (f *Folder) numbers() ([]uint64, error) {
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
			return nil, errors.Wrapf(err, "unknown file %s in data folder", d.Name())
		}
		numbers = append(numbers, n)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	return numbers, nil
}

func (f *Folder) name(number uint64) string {
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
