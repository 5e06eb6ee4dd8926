package driver_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestSlowSnapshotDoesNotBlockProposals guards against a leader that loses its leadership
// because it waits for a snapshot to be written. Staging takes a minute. Meanwhile the
// leader must keep leading and accept changes, all of which the promoted log must contain.
func TestSlowSnapshotDoesNotBlockProposals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		g.changeConfig("c0", 0)
		term := g.waitForLeader().Leadership().Term
		for _, n := range g.names {
			g.replica(n).storage.stageDelay = time.Minute
		}
		for i := range uint64(100) {
			g.changeConfig(fmt.Sprint("c", i), i)
		}
		if l := g.waitForLeader().Leadership(); l.Term != term {
			t.Fatalf("term %d after term %d, want no election", l.Term, term)
		}
		time.Sleep(2 * time.Minute)
		g.waitForAgreement()
		for _, n := range g.names {
			m := g.replica(n).storage
			m.mu.Lock()
			if s := m.saved; s.Snapshot.Index < 16 || s.Snapshot.Index > 50 || len(s.Entries) < 50 {
				t.Errorf("%s saved a snapshot at %d and %d entries, want one at 16 to 50 and at least 50 entries", n, s.Snapshot.Index, len(s.Entries))
			}
			m.stageDelay = 0
			m.mu.Unlock()
		}
		g.restart()
		if r := g.changeConfig("c50", 50); !r.Repeated || r.Revision != 51 {
			t.Errorf("resend after the restart: %+v, want revision 51, repeated", r)
		}
		g.waitForAgreement()
		g.stop()
	})
}

// TestSnapshotsWriteLessThanEntries guards against snapshots that write more than the
// entries themselves. The state grows far larger than the entries between two snapshots
// at the minimum distance.
func TestSnapshotsWriteLessThanEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		for i := range uint64(400) {
			g.changeConfig(fmt.Sprint("c", i), i)
		}
		g.waitForAgreement()
		for _, n := range g.names {
			m := g.replica(n).storage
			m.mu.Lock()
			if m.snapshotBytes == 0 || m.snapshotBytes > m.entryBytes {
				t.Errorf("%s wrote %d bytes of snapshots and %d of entries, want some for snapshots, but no more than for entries", n, m.snapshotBytes, m.entryBytes)
			}
			m.mu.Unlock()
		}
		g.stop()
	})
}
