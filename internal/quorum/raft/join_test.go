package raft_test

import (
	"slices"
	"testing"
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
