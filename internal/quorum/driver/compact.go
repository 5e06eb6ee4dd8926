package driver

import (
	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/quorum/raft"
)

// startSnapshot starts a snapshot if one is due and none is being staged. The snapshot
// is encoded and staged in the background, while the replica keeps running.
func (l *Log) startSnapshot() {
	if l.staging || !l.snapshotDue() {
		return
	}
	l.staging = true
	encode := l.captureState()
	s := l.replica.SnapshotAt(l.applied)
	h := l.hard
	go func() { l.staged <- l.encodeAndStage(h, s, encode) }()
}

// snapshotDue reports whether the log has grown by enough entries and bytes for a
// snapshot. The thresholds keep the bytes written for snapshots below those written for
// entries.
func (l *Log) snapshotDue() bool {
	entries := l.SnapshotEntries
	if entries == 0 {
		entries = defaultSnapshotEntries
	}
	bytes := l.SnapshotBytes
	if bytes == 0 {
		bytes = defaultSnapshotBytes
	}
	return l.applied-l.snapshotIndex >= entries && l.Storage.Bytes()-l.compactedBytes >= max(bytes, minGrowthPerState*l.stateBytes)
}

// captureState returns a function that encodes the machine's present state.
func (l *Log) captureState() func() ([]byte, error) {
	if c, ok := l.Machine.(Capturer); ok {
		return c.Capture()
	}
	b, err := l.Machine.Snapshot()
	return func() ([]byte, error) { return b, err }
}

func (l *Log) encodeAndStage(h raft.HardState, s raft.Snapshot, encode func() ([]byte, error)) stagedSnapshot {
	var err error
	if s.State, err = encode(); err != nil {
		return stagedSnapshot{err: errors.Wrap(err, "encode snapshot")}
	}
	return stagedSnapshot{snapshot: s, err: l.Storage.Stage(h, s)}
}

// promote replaces the log by the staged one, unless a later snapshot was received in
// the meantime.
func (l *Log) promote(st stagedSnapshot) error {
	l.staging = false
	if st.err != nil {
		return st.err
	}
	s := st.snapshot
	if s.Index <= l.snapshotIndex {
		return nil
	}
	h, _, entries := l.replica.Compact(s.Index, s.State, retainedEntries)
	if err := l.Storage.Promote(h, entries); err != nil {
		return err
	}
	l.snapshotIndex = s.Index
	l.compactedBytes = l.Storage.Bytes()
	l.stateBytes = int64(len(s.State))
	l.Logger.Debug("log compacted to snapshot", "index", s.Index, "bytes", l.stateBytes)
	return nil
}
