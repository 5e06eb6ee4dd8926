package disk

import (
	"os"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/snipefront/snipefront/internal/quorum/codec"
	"github.com/snipefront/snipefront/internal/quorum/raft"
	"github.com/snipefront/snipefront/internal/rpc/wire"
)

// read reads the file at path and removes a torn frame from its end.
func (f *Folder) read(path string) (Saved, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Saved{}, errors.Wrap(err, "read log")
	}
	s, end, err := Parse(content)
	if err != nil {
		// A record of an unsupported format is reported as damage too.
		return Saved{}, errors.Wrapf(err, "log %s is damaged at offset %d", path, end)
	}
	s.Cut = int64(len(content) - end)
	f.bytes = int64(end)
	if s.Cut == 0 {
		return s, nil
	}
	return s, truncate(path, f.bytes)
}

func truncate(path string, length int64) error {
	file, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer file.Close()
	if err := file.Truncate(length); err != nil {
		return errors.Wrap(err, "truncate log")
	}
	return errors.Wrap(file.Sync(), "sync log")
}

// Parse decodes the content of a log file. It returns the saved state and the offset
// at which the complete frames end, or with an error the offset of the damaged frame.
// A torn first frame is an error too, because a file gets its name only once that
// frame is complete.
func Parse(content []byte) (s Saved, end int, err error) {
	for end < len(content) || end == 0 {
		payload, after, err := nextFrame(content, end)
		if errors.Is(err, errTorn) && end > 0 {
			return s, end, nil
		}
		if err != nil {
			return Saved{}, end, err
		}
		if err := s.apply(payload, end == 0); err != nil {
			return Saved{}, end, err
		}
		end = after
	}
	return s, end, nil
}

// apply adds the record in the payload of a frame to s.
func (s *Saved) apply(payload []byte, first bool) error {
	var r wire.LogRecord
	if err := proto.Unmarshal(payload, &r); err != nil {
		return errors.Wrap(err, "decode log record")
	}
	if first {
		if r.Format != format {
			return errors.Errorf("unsupported log format %d, expected %d", r.Format, format)
		}
		if r.Identity == "" || r.Snapshot == nil {
			return errors.New("first log record has no identity or no snapshot")
		}
		s.Identity = r.Identity
		s.Snapshot = *codec.ToSnapshot(r.Snapshot)
	}
	if r.Hard != nil {
		s.Hard = codec.ToHardState(r.Hard)
	}
	commit, err := commitOf(&r)
	if err != nil {
		return err
	}
	if err := s.extend(codec.ToEntries(r.Entries)); err != nil {
		return err
	}
	// An index beyond the entries says nothing of those that later records add.
	s.Commit = max(s.Commit, min(commit, s.Snapshot.Index+uint64(len(s.Entries))))
	return nil
}

// extend appends entries. Each replaces those with the same or a higher index.
func (s *Saved) extend(entries []raft.Entry) error {
	for _, e := range entries {
		last := s.Snapshot.Index + uint64(len(s.Entries))
		// An index must be above the snapshot's and at most one above the last.
		if e.Index <= s.Snapshot.Index || e.Index > last+1 {
			return errors.Errorf("log entry %d can't follow entry %d", e.Index, last)
		}
		s.Entries = append(s.Entries[:e.Index-s.Snapshot.Index-1], e)
	}
	return nil
}
