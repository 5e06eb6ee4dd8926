package raft_test

import (
	"slices"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/quorum/raft"
)

// TestLearnerIsPromotedWhileOrdersCome guards against a successor that never counts: while entries
// are committed all the time, a learner that is farther from the leader than the voters never has
// the last one when the leader looks.
func TestLearnerIsPromotedWhileOrdersCome(t *testing.T) {
	for seed := range uint64(100) {
		s := newSite(seed, 3, 1, true)
		name := s.addNext()
		s.distant = name
		s.advance(catchUp)
		if v := s.voters(); !slices.Contains(v, name) {
			t.Errorf("seed %d: the voters are %v %v after the start of %s", seed, v, catchUp, name)
		}
	}
}

// TestLostSnapshotIsSentAgain guards against a successor that gets its first snapshot only after
// catchUp, since the message with it was lost: the next loss would find one voter less.
func TestLostSnapshotIsSentAgain(t *testing.T) {
	for seed := range uint64(20) {
		s := newSite(seed, 3, 1, true)
		s.advance(30 * time.Second)
		lost := 0
		s.drop = func(m raft.Message) bool {
			if m.Kind == raft.InstallSnapshot {
				lost++
			}
			return m.Kind == raft.InstallSnapshot && lost == 1
		}
		name := s.addNext()
		s.advance(catchUp)
		if v := s.voters(); lost < 2 || !slices.Contains(v, name) {
			t.Errorf("seed %d: %d snapshots were sent, and the voters are %v %v after the start of %s", seed, lost, v, catchUp, name)
		}
	}
}

// TestRemovedReplicaJoinsAgain guards against a machine that was replaced in the group while it was
// down, and that is no member again catchUp after its return, or never, since none of the machines
// that its settings name is left.
func TestRemovedReplicaJoinsAgain(t *testing.T) {
	for _, seedsLeft := range []bool{true, false} {
		for seed := range uint64(20) {
			s := newSite(seed, 7, 1, true)
			name := s.voters()[0]
			s.kill(name)
			s.advance(2 * catchUp)
			if v := s.voters(); slices.Contains(v, name) || len(v) != siteVoters {
				t.Fatalf("seed %d: the voters are %v after the loss of %s, want another one in its place", seed, v, name)
			}
			if configure := s.configure; !seedsLeft {
				s.configure = func(r *raft.Replica) {
					configure(r)
					r.Names = []string{name}
				}
			}
			s.start(name)
			s.advance(catchUp)
			if m := s.leading().MemberNames(); !slices.Contains(m, name) {
				t.Errorf("seed %d, seeds left %v: the members are %v %v after the return of %s", seed, seedsLeft, m, catchUp, name)
			}
		}
	}
}
