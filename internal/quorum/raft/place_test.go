package raft_test

import (
	"fmt"
	"testing"
	"time"
)

const (
	// placeMachines and placeCount are the machines of a large site and the places that they are in,
	// of which one may be lost.
	placeMachines, placeCount = 12, 4
	// arrival is the time between the first starts of two machines.
	arrival = time.Second
	// spreadTime is the time in which the voters are spread over the places, after the start or the
	// return of machines.
	spreadTime = catchUp
)

// newPlaceSite returns a site of placeMachines machines. The first three, the seeds, are in places of
// their own, and the others come in the order of their places, so that those of one place come first.
func newPlaceSite(seed uint64) *site {
	s := newSiteWithout(seed, placeMachines, 2, true)
	s.places = placeCount
	for i := range placeMachines {
		name := fmt.Sprint("m", i+1)
		s.place[name] = i
		if i >= 3 {
			s.place[name] = (i - 3) * placeCount / (placeMachines - 3)
		}
		s.after(time.Duration(i)*arrival, func() { s.add(name) })
	}
	s.advance(placeMachines * arrival)
	s.started = true
	s.advance(spreadTime)
	return s
}

// mostVoters returns the place with most voters, and their number.
func (s *site) mostVoters() (place, most int) {
	counts := map[int]int{}
	for _, n := range s.voters() {
		counts[s.place[n]]++
	}
	for p, n := range counts {
		if n > most {
			place, most = p, n
		}
	}
	return place, most
}

// TestVotersAreSpreadOverPlaces guards against a control quorum that ends while one place is lost,
// as a data centre without power, since that place has most of the voters: those that came first.
func TestVotersAreSpreadOverPlaces(t *testing.T) {
	for seed := range uint64(20) {
		s := newPlaceSite(seed)
		for range 3 {
			place, most := s.mostVoters()
			if most > siteVoters/2 {
				s.fail("place %d has %d of the voters %v", place, most, s.voters())
			}
			var lost []string
			for _, n := range s.machines {
				if s.place[n] == place {
					s.kill(n)
					lost = append(lost, n)
				}
			}
			s.placeLost = true
			s.advance(recovery)
			for _, n := range lost {
				s.start(n)
			}
			s.advance(spreadTime)
			s.placeLost = false
		}
		s.checkChanges()
		s.report(t, fmt.Sprintf("seed %d", seed))
	}
}
