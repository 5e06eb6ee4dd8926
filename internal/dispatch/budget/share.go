// Package budget bounds the requests that an instance sends beyond those of its
// callers: probes to a rate, retries and hedges to a share of the requests.
//
// The owner of a cell is alone with its backend servers, so a Share counts the requests
// of one instance. Where all instances send to the same backend servers, Retries and
// Probes keep the part of one instance in limits that hold for all together.
package budget

import "sync/atomic"

const (
	// unitsPerAttempt is the scale of the balance, which is in fixed point.
	unitsPerAttempt = 1000
	// defaultBurst is the Burst of a Share that sets none.
	defaultBurst = 10
	// initialAttempts is the number of extra attempts that a new Share allows.
	initialAttempts = 3
)

// Share is a token bucket that bounds extra attempts to a share of the requests. Its
// zero value is ready for use and allows 3 extra attempts before the first request.
type Share struct {
	// Burst is the most extra attempts that can be saved up, at least 3. Zero means
	// 10. Set it before use.
	Burst int64

	// balance is the saved attempts in units, without the initial ones: the zero value
	// stands for initialAttempts.
	balance atomic.Int64
}

// Earn counts one request, which adds share extra attempts, 0 to 1, to the budget.
func (s *Share) Earn(share float64) {
	burst := s.Burst
	if burst == 0 {
		burst = defaultBurst
	}
	if s.balance.Add(int64(share*unitsPerAttempt)) > (burst-initialAttempts)*unitsPerAttempt {
		s.balance.Store((burst - initialAttempts) * unitsPerAttempt)
	}
}

// Spend takes one extra attempt from the budget, or returns false if none is left.
func (s *Share) Spend() bool {
	for {
		n := s.balance.Load()
		if n < (1-initialAttempts)*unitsPerAttempt {
			return false
		}
		if s.balance.CompareAndSwap(n, n-unitsPerAttempt) {
			return true
		}
	}
}
