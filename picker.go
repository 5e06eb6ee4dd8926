package snipefront

import "time"

// Candidate is a backend server from which a Picker can choose.
type Candidate struct {
	Name string
	// InFlight is the number of requests in flight that the caller of Pick knows of.
	InFlight int
	// Limit is the maximum number of requests in flight that the caller of Pick
	// allows.
	Limit int
	// Latency is the moving average of the latency of answers. Zero is unknown.
	Latency time.Duration
}

// Picker chooses the backend server for the next request.
type Picker interface {
	// Pick returns the index of the chosen candidate, or -1 if none can accept a
	// request. The argument random is uniformly distributed over all values of its
	// type.
	Pick(candidates []Candidate, random uint64) int
}
