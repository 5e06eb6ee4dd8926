package raft_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	// startSpan is the time within which all machines start for the first time.
	startSpan = 300 * time.Millisecond
	// backAfter is the longest time after which a process that has ended is started again.
	backAfter = time.Second
)

// newFirstStart returns a site of an open group whose machines start for the first time within
// startSpan.
func newFirstStart(seed uint64, size int) *site {
	s := newSiteWithout(seed, size, 1, true)
	for i := range size {
		name := fmt.Sprint("m", i+1)
		s.add(name)
		s.crash(s.nodes[name])
		s.after(s.upTo(startSpan), func() { s.restart(name) })
	}
	s.after(startSpan, func() { s.started = true })
	return s
}

func (s *site) upTo(limit time.Duration) time.Duration { return time.Duration(s.Int64N(int64(limit))) }

// interrupt kills a machine during the first start, and starts it again. Early is true if its disk
// has kept nothing by then.
func (s *site) interrupt(name string, at time.Duration, early bool) {
	s.after(at, func() {
		s.kill(name)
		if early {
			s.kept[name] = false
		}
	})
	s.after(at+step+s.upTo(backAfter), func() { s.start(name) })
}

// TestInterruptedFirstStart guards against a group that never forms, so that nothing is ever served,
// since a process was killed during the first start: it is back as one that may not start a group,
// while the others wait for it.
func TestInterruptedFirstStart(t *testing.T) {
	for _, size := range []int{3, 4, 5} {
		for _, killed := range [][]string{{"m1"}, {"m2"}, {"m1", "m2", "m3"}} {
			for _, early := range []bool{false, true} {
				if early && len(killed) > 1 {
					continue // nothing is left of the first start
				}
				for seed := range uint64(10) {
					s := newFirstStart(seed, size)
					at := startSpan + s.upTo(startSpan)
					for _, name := range killed {
						s.interrupt(name, at, early)
					}
					s.advance(at + backAfter + recovery + 2*catchUp)
					if s.failure == nil && len(s.committed) == 0 {
						s.fail("no order was acknowledged")
					}
					s.report(t, fmt.Sprintf("%d machines, %v killed, early %v, seed %d", size, killed, early, seed))
				}
			}
		}
	}
}

// TestNoSecondGroupStarts guards against a second group, which would forget all that was acknowledged:
// all seeds come back with empty disks, while the rest of the first group is down, and one by one.
func TestNoSecondGroupStarts(t *testing.T) {
	for seed := range uint64(20) {
		s := newSite(seed, 5, 1, true)
		group := s.group
		for _, n := range slices.Clone(s.machines) {
			s.kill(n)
		}
		s.wipe("m2")
		s.wipe("m3")
		s.advance(s.upTo(2 * catchUp))
		s.wipe("m1")
		s.advance(2 * recovery)
		s.start("m4")
		s.start("m5")
		s.advance(2 * recovery)
		for _, n := range s.machines {
			if g := s.nodes[n].hard.Group; g != "" && g != group {
				t.Errorf("seed %d: %s is in the group %s, want none but %s", seed, n, g, group)
			}
		}
	}
}
