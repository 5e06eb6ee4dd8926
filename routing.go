package snipefront

import "time"

// Routing is a versioned configuration that names routes by host and path. It is
// never changed after it is published; a new version is a new Routing.
type Routing struct {
	// Version grows with each accepted change, in uneven steps.
	Version uint64
	// Services holds the services by name.
	Services map[string]Profile
	// Routes holds the routes. No two have the same host and prefix.
	Routes []Route
	// Limits bound what a caller may send.
	Limits CallerLimits
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name string
	// Host is the host without a port, in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent is true where a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Goal is the time within which an answer has its full worth.
	Goal time.Duration
	// Rank is the place in the order of importance, 0 first.
	Rank int
	// Attempts is the most backend servers that one request may be sent to. At
	// least 1.
	Attempts int
	// Split holds the services with their weights. Never empty.
	Split []Share
}

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	// Weight is relative to the sum over the route. Never negative.
	Weight float64
}

// Profile is what the configuration says of the backend servers of a service.
type Profile struct {
	Name string
	// HealthPath answers checks at once.
	HealthPath string
	// Connections is the most connections that a backend server takes from all
	// instances together.
	Connections int
	// WarmUp is how long a backend server stays cold after its start.
	WarmUp time.Duration
	// WarmUpRate is the most requests a second that a cold backend server bears,
	// from all instances together.
	WarmUpRate float64
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Fields names the header fields that instances, callers and backend servers
// exchange beside those of HTTP itself. All are in canonical form.
type Fields struct {
	// RequestID identifies one request of a caller. Backend servers echo it.
	RequestID string
	// Remaining holds the time that the sender will wait, in milliseconds.
	Remaining string
	// Expected names the one backend server that is to run the request.
	Expected string
	// Signature stands in each answer that a backend server made by running the
	// request.
	Signature string
	// NotRun stands in each answer of a backend server that did not run the
	// request.
	NotRun string
	// Server names the backend server in its answers to checks.
	Server string
	// Load holds requests running, requests waiting and slots, then optionally the
	// present time of work in percent of the usual.
	Load string
	// Cold holds how long the backend server stays cold, in milliseconds.
	Cold string
}
