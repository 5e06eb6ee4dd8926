package driver_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// diskFault is a fault of the disk of one replica.
type diskFault struct {
	name string
	// leader is true if the disk is that of the leader.
	leader bool
	// begin begins the fault.
	begin func(m *memoryStorage)
}

// stallTime is the time for which a disk stalls. It is longer than an election takes.
const stallTime = 8 * time.Second

var diskFaults = []diskFault{
	{"the leader's stalls", true, func(m *memoryStorage) { m.stall(stallTime) }},
	{"a follower's stalls", false, func(m *memoryStorage) { m.stall(stallTime) }},
	{"the leader's refuses writes", true, func(m *memoryStorage) { m.failWrites() }},
	{"a follower's refuses writes", false, func(m *memoryStorage) { m.failWrites() }},
}

// TestFaultyDiskLosesNoChange guards against a change that is accepted and lost while a disk
// stalls or refuses writes, and against a fault of one disk that keeps the others from
// accepting changes. A change waits at most for an election.
func TestFaultyDiskLosesNoChange(t *testing.T) {
	for _, f := range diskFaults {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkDiskFault(t, f) })
		})
	}
}

func checkDiskFault(t *testing.T, f diskFault) {
	g := newGroup(t, "a", "b", "c")
	g.changeConfig("c0", 0)
	g.waitForAgreement()
	leader := g.waitForLeader()
	victim := leader
	for _, n := range g.names {
		if r := g.replica(n); !f.leader && r != leader {
			victim = r
		}
	}
	f.begin(victim.storage)
	begun, accepted := time.Now(), uint64(1)
	for time.Since(begun) < stallTime {
		sent := time.Now()
		r := g.changeConfig(fmt.Sprint("c", accepted), accepted)
		accepted++
		if r.Revision != accepted {
			t.Fatalf("change %d got revision %d", accepted, r.Revision)
		}
		if waited := time.Since(sent); waited > callerTimeout && (!f.leader || accepted > 2) || waited >= stallTime {
			t.Errorf("change %d waited %v, want %v at most, and once for an election if the leader's disk is faulty", accepted, waited, callerTimeout)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if victim.storage.fail {
		g.start(victim.Name, g.killAndWait(victim.Name).storage)
	}
	g.waitForAgreement()
	for i := range accepted {
		if r := g.changeConfig(fmt.Sprint("c", i), i); !r.Repeated || r.Revision != i+1 {
			t.Errorf("resend of change %d: %+v, want revision %d, repeated", i, r, i+1)
		}
	}
	g.stop()
}
