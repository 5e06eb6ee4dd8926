package snipefront

import "time"

// Config is the configuration that the accepted files of the operators form together.
// It is never changed after it is published: each revision is a new Config.
type Config struct {
	// Revision grows with each accepted change. Zero is the empty configuration.
	Revision uint64
	// Services holds the services by name. A request for any other service is
	// refused.
	Services map[string]Service
	// DataCentresOut holds the data centres that are out of service. They receive no
	// new requests.
	DataCentresOut map[string]bool
	// Spares holds the spare backend servers. They receive requests only if no other
	// backend server of their cell has a free slot.
	Spares map[SpareName]bool
	// ProbesPerSecond is the maximum number of probes that all instances together
	// send per second. Zero allows none.
	ProbesPerSecond float64
}

// SpareName identifies a spare backend server by its service and its name.
type SpareName struct {
	Service       string
	BackendServer string
}

// Service is the configuration of one service.
type Service struct {
	// Name is the first segment of the path of the service's requests.
	Name string
	// Importance decides which requests are refused first under overload.
	Importance Importance
	// Deadline is the maximum time until the answer, if the caller sets none.
	Deadline time.Duration
	// ColdLimit is the maximum number of requests in flight at a backend server that
	// may be cold. At least 1.
	ColdLimit int
	// WarmUp is the time after the start of a backend server during which ColdLimit
	// applies.
	WarmUp time.Duration
	// RetryBudget is the share of requests, 0 to 1, that may be retried.
	RetryBudget float64
	// HedgeBudget is the share of requests, 0 to 1, that may be hedged: sent a second
	// time while the first attempt runs. Only idempotent requests are hedged.
	HedgeBudget float64
	// RefusalStatuses are the HTTP statuses with which its backend servers report
	// that they did not run a request. A request with any other answer counts as run.
	RefusalStatuses []int
	// ProbePath is the path for probes of backend servers that are idle or whose
	// last requests failed. If it is empty, no probes are sent.
	ProbePath string
}
