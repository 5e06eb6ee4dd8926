package snipefront

import "time"

// Config is what the operators' accepted files say together. It is never
// changed after it is published; a new revision is a new Config.
type Config struct {
	// Revision grows with each accepted change. Zero is the empty configuration.
	Revision uint64
	// Services holds the known services by name. A request for any other
	// service is refused.
	Services map[string]Service
	// DataCentresOut holds the data centres that receive no new work.
	DataCentresOut map[string]bool
	// Spares holds the backend servers that receive work only where no other
	// backend server of their cell has a free slot.
	Spares map[SpareName]bool
	// ProbesPerSecond is the most probes that the whole fleet sends. Zero allows
	// none.
	ProbesPerSecond float64
}

// SpareName names a backend server that the operators want to spare.
type SpareName struct {
	Service       string
	BackendServer string
}

// Service is what the operators say of one service.
type Service struct {
	// Name is the first segment of the path of its requests.
	Name string
	// Importance decides who is refused first under overload.
	Importance Importance
	// Deadline is the time for an answer where the caller states none.
	Deadline time.Duration
	// ColdLimit is the most requests at once at a backend server that may be in
	// cold start. At least 1.
	ColdLimit int
	// WarmUp is the time after its start for which a backend server is held to
	// ColdLimit.
	WarmUp time.Duration
	// RetryBudget is the share of requests, 0 to 1, that may be retried.
	RetryBudget float64
	// HedgeBudget is the share of requests, 0 to 1, that may be sent a second
	// time while the first attempt is running. Only idempotent ones ever are.
	HedgeBudget float64
	// RefusalStatuses are the HTTP statuses by which its backend servers say that
	// they have not run a request. Any other answer counts as having run.
	RefusalStatuses []int
	// ProbePath is the path for probes of idle or doubtful backend servers.
	// Empty sends none.
	ProbePath string
}
