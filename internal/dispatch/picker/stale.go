package picker

import (
	"sync/atomic"

	"github.com/snipefront/snipefront"
)

// Random picks uniformly at random. Like the other pickers in this file it ignores
// limits, since a load balancer that decides independently can't know how many requests
// the others send.
type Random struct{}

// Pick implements snipefront.Picker.
func (Random) Pick(list []snipefront.Candidate, random uint64) int {
	if len(list) == 0 {
		return -1
	}
	return int(random % uint64(len(list)))
}

// RoundRobin picks each candidate in turn. Its zero value is ready for use.
type RoundRobin struct {
	next atomic.Uint64
}

// Pick implements snipefront.Picker.
func (p *RoundRobin) Pick(list []snipefront.Candidate, _ uint64) int {
	if len(list) == 0 {
		return -1
	}
	return int(p.next.Add(1) % uint64(len(list)))
}

// TwoChoices picks two candidates uniformly at random and of these the one with fewer
// requests in flight.
type TwoChoices struct{}

// Pick implements snipefront.Picker.
func (TwoChoices) Pick(list []snipefront.Candidate, random uint64) int {
	n := uint64(len(list))
	if n < 2 {
		return len(list) - 1
	}
	a := random % n
	b := (a + 1 + random/n%(n-1)) % n
	if list[b].InFlight < list[a].InFlight {
		return int(b)
	}
	return int(a)
}

// LeastLoaded picks the candidate with the fewest requests in flight, and a random one
// among equals.
type LeastLoaded struct{}

// Pick implements snipefront.Picker.
func (LeastLoaded) Pick(list []snipefront.Candidate, random uint64) int {
	best := -1
	ties := uint64(0)
	for i, c := range list {
		switch {
		case best < 0 || c.InFlight < list[best].InFlight:
			best = i
			ties = 1
		case c.InFlight == list[best].InFlight:
			ties++
			if random%ties == 0 {
				best = i
			}
		}
	}
	return best
}
