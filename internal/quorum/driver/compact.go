package driver

import (
	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/quorum/raft"
)

// draft starts to save a snapshot once the log has grown by enough entries and
// bytes. It is encoded and saved beside the replica, which goes on.
func (l *Log) draft() {
	if l.drafting || !l.grown() {
		return
	}
	l.drafting = true
	capture := l.capture()
	s := l.replica.SnapshotAt(l.applied)
	h := l.hard
	go func() { l.drafted <- l.write(h, s, capture) }()
}

// grown returns whether a snapshot is due. What is written for snapshots then
// stays below what is written for entries.
func (l *Log) grown() bool {
	entries := l.SnapshotEntries
	if entries == 0 {
		entries = defaultSnapshotEntries
	}
	bytes := l.SnapshotBytes
	if bytes == 0 {
		bytes = defaultSnapshotBytes
	}
	return l.applied-l.snapped >= entries && l.Storage.Bytes()-l.base >= max(bytes, logPerSnapshot*l.size)
}

func (l *Log) capture() func() ([]byte, error) {
	if c, ok := l.Machine.(Capturer); ok {
		return c.Capture()
	}
	b, err := l.Machine.Snapshot()
	return func() ([]byte, error) { return b, err }
}

func (l *Log) write(h raft.HardState, s raft.Snapshot, capture func() ([]byte, error)) draft {
	var err error
	if s.State, err = capture(); err != nil {
		return draft{err: errors.Wrap(err, "take snapshot")}
	}
	return draft{snapshot: s, err: l.Storage.Draft(h, s)}
}

// adopt puts the draft of a snapshot in place of the log, unless a later snapshot
// was received meanwhile.
func (l *Log) adopt(d draft) error {
	l.drafting = false
	if d.err != nil {
		return d.err
	}
	s := d.snapshot
	if s.Index <= l.snapped {
		return nil
	}
	h, _, entries := l.replica.Compact(s.Index, s.State, keptEntries)
	if err := l.Storage.Adopt(h, entries); err != nil {
		return err
	}
	l.snapped = s.Index
	l.base = l.Storage.Bytes()
	l.size = int64(len(s.State))
	l.Logger.Debug("snapshot saved", "index", s.Index, "bytes", l.size)
	return nil
}
