package raft_test

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/snipefront/snipefront/internal/quorum/raft"
)

// check checks what must hold at every moment.
func (s *site) check() {
	s.checkLeaders()
	s.checkLeaderLogs()
	if s.split || s.lostMachines() > s.tolerance && !s.placeLost {
		s.suspended = true
	}
	if s.suspended && s.allBack() {
		s.suspended, s.recoverUntil = false, s.now.Add(recovery)
	}
	if s.suspended || s.now.Before(s.recoverUntil) {
		return
	}
	since := s.acknowledged
	if calm := s.disturbed.Add(stable); since.Before(calm) {
		since = calm
	}
	if waited := s.now.Sub(since); waited > ackTimeout {
		s.fail("no order was acknowledged for %v with %d machines lost, %d tolerated; voters %v", waited, s.lostMachines(), s.tolerance, s.voters())
	}
}

// voters returns the voters that the replica with the latest log knows.
func (s *site) voters() []string {
	var last *node
	for _, n := range s.names {
		if n := s.nodes[n]; n.up && (last == nil || n.LastIndex() > last.LastIndex()) {
			last = n
		}
	}
	return last.Quorum().Voters
}

// checkLeaderLogs checks that a leader has the last committed entry, and at most one change of the
// members that isn't committed.
func (s *site) checkLeaderLogs() {
	last := uint64(len(s.committed))
	for _, name := range s.names {
		n := s.nodes[name]
		if !n.up || !n.Leads() || last == 0 || n.Term() < s.committed[last].Term {
			continue
		}
		if i := int(last) - int(n.snapshot.Index) - 1; i >= len(n.log) || i >= 0 && n.log[i].Term != s.committed[last].Term {
			s.fail("%s leads term %d without the committed entry %d", n.Identity, n.Term(), last)
		}
		changes := 0
		for _, e := range n.log {
			if e.Kind == raft.ConfigChange && e.Index > n.applied {
				changes++
			}
		}
		if changes > 1 {
			s.fail("%s leads with %d changes of the members that aren't committed", n.Identity, changes)
		}
	}
}

// checkChanges checks that each change of the members changes one voter at most.
func (s *site) checkChanges() {
	var before map[string]bool
	for _, i := range slices.Sorted(maps.Keys(s.committed)) {
		e := s.committed[i]
		if e.Kind != raft.ConfigChange {
			continue
		}
		now := map[string]bool{}
		for _, m := range e.Members {
			if m.Voter {
				now[m.Identity] = true
			}
		}
		changed := 0
		for id := range now {
			if !before[id] {
				changed++
			}
		}
		for id := range before {
			if !now[id] {
				changed++
			}
		}
		if before != nil && changed > 1 {
			s.fail("entry %d changes %d voters at once", i, changed)
		}
		before = now
	}
}

// report fails the test if something has failed at the site.
func (s *site) report(t *testing.T, name string) {
	t.Helper()
	if s.failure == nil {
		return
	}
	for _, n := range s.machines {
		n := s.nodes[n]
		s.note("%s runs %v, leads %v, term %d, last %d, applied %d, group %s, members %v, %+v",
			n.Identity, n.up, n.Leads(), n.Term(), n.LastIndex(), n.applied, n.hard.Group, n.MemberNames(), n.Quorum())
	}
	t.Errorf("%s: %v after\n%s", name, s.failure, strings.Join(s.history, "\n"))
}
