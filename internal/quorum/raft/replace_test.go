package raft_test

import (
	"fmt"
	"testing"
	"time"
)

// replacedSeeds is the number of seeds of each form of replacements.
const replacedSeeds = 2

// replacement is a form of a replacement with a further loss behind it.
type replacement struct {
	machines int
	// times is the number of replacements, one after the other.
	times int
	// leader is true if the machine that leads is removed each time.
	leader bool
	// wiped is true if the machine that is lost next loses its disk, too, and comes back.
	wiped bool
}

// replacements returns all forms of replacements at sites that bear the loss of one machine.
func replacements() map[string]replacement {
	all := map[string]replacement{}
	for _, machines := range []int{3, 4, 5, 7} {
		for times := 1; times <= 3; times++ {
			for _, leader := range []bool{false, true} {
				for _, wiped := range []bool{false, true} {
					all[fmt.Sprintf("%d machines, %d replaced, leader %v, disk lost %v", machines, times, leader, wiped)] = replacement{machines, times, leader, wiped}
				}
			}
		}
	}
	return all
}

// victim returns a machine that leads, or one that doesn't.
func (s *site) victim(leader bool) string {
	l := s.leading()
	for _, n := range s.machines {
		if (l != nil && n == l.Name) == leader {
			return n
		}
	}
	return s.machines[0]
}

// loseNext has one more machine lost, which must be borne. It comes back with an empty disk, or
// stays down.
func (s *site) loseNext(wiped bool) {
	name := s.victim(s.IntN(2) == 0)
	s.kill(name)
	if wiped {
		s.after(3*time.Second, func() { s.wipe(name) })
	}
	s.advance(recovery)
}

// TestRemovedVoterStopsCounting guards against a control quorum that ends with the next loss, for
// good if a disk is lost: a voter that is removed without notice goes on counting, though its
// successor has run for catchUp.
func TestRemovedVoterStopsCounting(t *testing.T) {
	for name, r := range replacements() {
		for seed := range uint64(replacedSeeds) {
			s := newSite(seed, r.machines, 1, true)
			for range r.times {
				old, delay := s.victim(r.leader), time.Duration(seed%2)*time.Second
				s.remove(old, "")
				s.after(delay, func() {
					delete(s.lost, old)
					s.note("%s succeeds %s", s.addNext(), old)
				})
				s.advance(delay + catchUp)
			}
			s.loseNext(r.wiped)
			s.checkChanges()
			s.report(t, fmt.Sprintf("%s, seed %d", name, seed))
		}
	}
}

// TestVoterThatEndsAsPlannedStopsCounting guards against a control quorum that ends with a loss right
// behind a planned replacement: the voter whose process has ended goes on counting, though its
// successor has run for catchUp.
func TestVoterThatEndsAsPlannedStopsCounting(t *testing.T) {
	for name, r := range replacements() {
		for seed := range uint64(replacedSeeds) {
			s := newSite(seed, r.machines, 1, true)
			for range r.times {
				next := s.addNext()
				s.advance(catchUp)
				old := s.victim(r.leader)
				s.terminate(old, func() { s.remove(old, next) })
				for s.ending[old] && s.failure == nil {
					s.advance(step)
				}
			}
			s.loseNext(r.wiped)
			s.checkChanges()
			s.report(t, fmt.Sprintf("%s, seed %d", name, seed))
		}
	}
}
