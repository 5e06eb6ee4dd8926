package driver_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestSlowSnapshotDelaysNothing makes every draft take a minute. The leader goes on
// leading and takes in changes, and the draft is adopted with all of them.
func TestSlowSnapshotDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.change("c0", 0)
		term := f.leader().Leadership().Term
		for _, n := range f.names {
			f.at(n).memory.slow = time.Minute
		}
		for i := range uint64(100) {
			f.change(fmt.Sprint("c", i), i)
		}
		if l := f.leader().Leadership(); l.Term != term {
			t.Fatalf("term %d after %d", l.Term, term)
		}
		time.Sleep(2 * time.Minute)
		f.agree()
		for _, n := range f.names {
			m := f.at(n).memory
			m.mu.Lock()
			if s := m.saved; s.Snapshot.Index < 16 || s.Snapshot.Index > 50 || len(s.Entries) < 50 {
				t.Errorf("%s saved a snapshot at %d and %d entries", n, s.Snapshot.Index, len(s.Entries))
			}
			m.slow = 0
			m.mu.Unlock()
		}
		f.restart()
		if r := f.change("c50", 50); !r.Repeated || r.Revision != 51 {
			t.Errorf("resend after the restart: %+v", r)
		}
		f.agree()
		f.stop()
	})
}

// TestSnapshotsWriteLessThanEntries lets the state grow far beyond the entries
// between two snapshots.
func TestSnapshotsWriteLessThanEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		for i := range uint64(400) {
			f.change(fmt.Sprint("c", i), i)
		}
		f.agree()
		for _, n := range f.names {
			m := f.at(n).memory
			m.mu.Lock()
			if m.drafted == 0 || m.drafted > m.logged {
				t.Errorf("%s wrote %d bytes for snapshots and %d for entries", n, m.drafted, m.logged)
			}
			m.mu.Unlock()
		}
		f.stop()
	})
}
