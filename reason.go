package snipefront

// Reason is the reason for which a request was refused or an attempt was retried. It
// labels metrics and is a field of problem bodies, so its values never change.
type Reason string

// Reasons for refusing a request.
const (
	ReasonBadRequest       Reason = "bad_request"
	ReasonUnknownService   Reason = "unknown_service"
	ReasonNoConfig         Reason = "no_config"
	ReasonTooLarge         Reason = "too_large"
	ReasonNoLease          Reason = "no_lease"
	ReasonNotOwner         Reason = "not_owner"
	ReasonDataCentreOut    Reason = "data_centre_out"
	ReasonNoBackendServer  Reason = "no_backend_server"
	ReasonOverload         Reason = "overload"
	ReasonDeadline         Reason = "deadline"
	ReasonCanceled         Reason = "canceled"
	ReasonQuarantined      Reason = "quarantined"
	ReasonClaimUnavailable Reason = "claim_unavailable"
	ReasonClaimPending     Reason = "claim_pending"
	ReasonClaimFull        Reason = "claim_full"
	ReasonClaimMismatch    Reason = "claim_mismatch"
	ReasonRetryBudget      Reason = "retry_budget"
	ReasonRateLimit        Reason = "rate_limit"
	ReasonPaused           Reason = "paused"
	ReasonStopping         Reason = "stopping"
	ReasonMemory           Reason = "memory"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonQuota            Reason = "quota"
)

// Reasons for retrying an attempt at another backend server or instance, or for ending
// it.
const (
	ReasonConnect       Reason = "connect"
	ReasonShed          Reason = "shed"
	ReasonBrokenAnswer  Reason = "broken_answer"
	ReasonAnswerTooBig  Reason = "answer_too_big"
	ReasonAttemptLate   Reason = "attempt_late"
	ReasonPeer          Reason = "peer"
	ReasonHedge         Reason = "hedge"
	ReasonBackendServer Reason = "backend_server"
)
