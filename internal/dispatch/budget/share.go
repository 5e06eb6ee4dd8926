// Package budget bounds extra work: retries and hedges as a share of requests,
// probes as a rate.
package budget

import "sync/atomic"

const (
	// unit is the fixed point of a Share: this many make one extra attempt.
	unit = 1000
	// defaultBurst is the most extra attempts that can be saved up.
	defaultBurst = 10
	// opening is the extra attempts that a new Share has.
	opening = 3
)

// Share bounds extra attempts to a share of the requests. Its zero value has a
// few to begin with.
type Share struct {
	// Burst is the most extra attempts that can be saved up, at least 3. Zero means
	// 10. It is set before use.
	Burst int64

	// saved is the number of units beyond the opening ones.
	saved atomic.Int64
}

// Earn counts a request that adds share, 0 to 1, to the budget.
func (s *Share) Earn(share float64) {
	burst := s.Burst
	if burst == 0 {
		burst = defaultBurst
	}
	if s.saved.Add(int64(share*unit)) > (burst-opening)*unit {
		s.saved.Store((burst - opening) * unit)
	}
}

// Spend takes one extra attempt, or returns false where none is left.
func (s *Share) Spend() bool {
	for {
		v := s.saved.Load()
		if v < (1-opening)*unit {
			return false
		}
		if s.saved.CompareAndSwap(v, v-unit) {
			return true
		}
	}
}
