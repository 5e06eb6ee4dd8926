// Package picker chooses a backend server among candidates. Free is the picker of a cell,
// whose counts of requests in flight are exact. The others serve for comparison: they are
// common in load balancers that decide independently, with counts from load reports.
package picker

import "github.com/snipefront/snipefront"

// Free picks the candidate with the lowest share of its limit in use, and a random one
// among equals. It picks none that is at its limit.
type Free struct{}

// Pick implements snipefront.Picker.
func (Free) Pick(list []snipefront.Candidate, random uint64) int {
	best := -1
	ties := uint64(0)
	for i, c := range list {
		if c.InFlight >= c.Limit {
			continue
		}
		switch {
		case best < 0 || less(c, list[best]):
			best = i
			ties = 1
		case !less(list[best], c):
			ties++
			if random%ties == 0 {
				best = i
			}
		}
	}
	return best
}

// less reports whether a uses a lower share of its limit than b.
func less(a, b snipefront.Candidate) bool {
	return a.InFlight*b.Limit < b.InFlight*a.Limit
}
