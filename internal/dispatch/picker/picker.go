// Package picker chooses a backend server among candidates. Free serves the
// dispatcher of a cell, whose counts are exact. The others are what independent
// choosers do with reports, and serve for comparison.
package picker

import "github.com/snipefront/snipefront"

// Free picks the candidate with the lowest share of its limit in use, and by
// chance among equals.
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

// less returns whether a uses a lower share of its limit than b.
func less(a, b snipefront.Candidate) bool {
	return a.InFlight*b.Limit < b.InFlight*a.Limit
}
