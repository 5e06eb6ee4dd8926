package snipefront

import "time"

// Candidate is a backend server as a Picker sees it.
type Candidate struct {
	Name string
	// InFlight is the number of requests that the chooser knows to be running.
	InFlight int
	// Limit is the most requests that the chooser lets run at once.
	Limit int
	// Latency is a moving average of the time to answer. Zero is unknown.
	Latency time.Duration
}

// Picker chooses the backend server for the next request.
type Picker interface {
	// Pick returns the index of the chosen candidate, or -1 where none may take
	// a request. The number random is uniform over all its values.
	Pick(candidates []Candidate, random uint64) int
}
