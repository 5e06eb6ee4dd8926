package snipefront

import "time"

// Routing is a versioned configuration whose routes select requests by host and path.
// It is never changed after it is published: each version is a new Routing.
type Routing struct {
	// Version grows with each accepted change, not always by one.
	Version uint64
	// Services holds the services by name.
	Services map[string]ServiceProfile
	// Routes holds the routes. No two have the same host and prefix.
	Routes []Route
	// Workspaces holds the workspaces. No two have the same name.
	Workspaces []Workspace
	// NeedsKeys is true if requests need the key of a workspace, unless their route is
	// public.
	NeedsKeys bool
	// Limits bound what a caller may send.
	Limits CallerLimits
}

// Route says how the requests for a host and path prefix are handled.
type Route struct {
	Name string
	// Host is the host without a port, in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent is true if a request may run more than once.
	Idempotent bool
	// Timeout is the maximum time for which a caller waits for the answer.
	Timeout time.Duration
	// Goal is the latency goal: the time within which an answer has its full value.
	Goal time.Duration
	// Rank is the place in the order of importance. 0 is the most important.
	Rank int
	// Attempts is the maximum number of backend servers to which one request may be
	// sent. At least 1.
	Attempts int
	// Public is true if requests need no key.
	Public bool
	// Split holds the services that run the requests, with their weights. It is
	// never empty.
	Split []ServiceWeight
}

// ServiceWeight is the share of a route's requests that a service receives.
type ServiceWeight struct {
	Service string
	// Weight is relative to the sum of the weights of the route. It is never
	// negative.
	Weight float64
}

// ServiceProfile is the configuration of the backend servers of a service.
type ServiceProfile struct {
	// Name is the name of the service.
	Name string
	// HealthPath is the path for load probes, which backend servers answer
	// immediately.
	HealthPath string
	// Connections is the maximum number of connections that a backend server accepts
	// from all instances together.
	Connections int
	// WarmUp is the time after its start for which a backend server is cold.
	WarmUp time.Duration
	// WarmUpRate is the maximum rate of requests, per second, that a cold backend
	// server can run for all instances together.
	WarmUpRate float64
}

// RetryLimit bounds the further attempts at the backend servers of one service, which
// are those beyond the first of their request: in each time of length Window, the
// attempts of all instances together are at most Ratio of the requests plus Slack.
type RetryLimit struct {
	// Ratio is the number of further attempts for each request, 0 or more.
	Ratio float64
	// Slack is the number of further attempts whatever the number of requests.
	Slack float64
	// Window is positive.
	Window time.Duration
}

// DefaultRetryLimit applies if the settings state no limit.
var DefaultRetryLimit = RetryLimit{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}

// DefaultProbeRate is the limit on load probes if the settings state none: the mean number
// per second that one backend server receives from all instances together.
const DefaultProbeRate = 60.0

// DefaultCrossingBytes is the number of bytes between data centres that cost as much as one
// answer in time is worth, if the settings state none. A request for some kilobytes then
// crosses for nearly any gain, and one for a megabyte only for a quarter of an answer in time.
const DefaultCrossingBytes = 4 << 20

// DefaultMemoryBytes is the memory of an instance if the settings state none, in bytes.
const DefaultMemoryBytes int64 = 256e6

// CallerLimits bounds the size of a caller's requests and the time to send them.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// HeaderFields holds the names, in canonical form, of the header fields that instances,
// callers and backend servers exchange in addition to those of HTTP itself.
type HeaderFields struct {
	// RequestID identifies one request of a caller. Backend servers echo it.
	RequestID string
	// Remaining holds the time for which the sender waits, in milliseconds.
	Remaining string
	// Expected names the one backend server that is to run the request.
	Expected string
	// Signature is set in each answer for which a backend server ran the request.
	Signature string
	// NotRun is set in each answer for which a backend server did not run the
	// request.
	NotRun string
	// Server names the backend server in its answers to load probes.
	Server string
	// Load holds the numbers of running requests, of waiting requests and of slots,
	// then optionally the slowdown factor in percent: the current service time
	// relative to that at usual speed.
	Load string
	// Cold holds the time until the warm-up ends, in milliseconds.
	Cold string
	// RateLimit holds a RateLimit, in requests per second.
	RateLimit string
	// Draining is 1 in each answer of a backend server that accepts no new requests any
	// more.
	Draining string
	// Workspace names the workspace of the caller to the backend server.
	Workspace string
	// KeyScheme is the authentication scheme, in the field Authorization, of a key.
	KeyScheme string
}

// RateLimit is the limit that a backend server names for the requests that it receives
// from all instances together.
type RateLimit struct {
	// Named is false if it names none.
	Named bool
	// PerSecond is at least zero.
	PerSecond float64
}
