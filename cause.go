package snipefront

// Cause says why an attempt is made. It labels metrics and logs, so its values never
// change.
type Cause string

// The causes of attempts. All but CauseFirst are arrivals at backend servers beyond the
// first of their request.
const (
	// CauseFirst means that no earlier attempt reached a backend server.
	CauseFirst Cause = "first"
	// CauseRetry means that an earlier attempt reached a backend server and failed.
	CauseRetry Cause = "retry"
	// CauseMisdirected means that the last attempt reached a backend server that had
	// taken over the address of another one, which refused it.
	CauseMisdirected Cause = "misdirected"
	// CauseHedge means that the answer to an earlier attempt is overdue.
	CauseHedge Cause = "hedge"
)

// AttemptCounter counts requests of callers and the attempts that are made for them.
type AttemptCounter interface {
	// Received counts a request. One that its caller sends again counts again.
	Received(service string)
	// Attempted counts an attempt.
	Attempted(service string, c Cause)
	// Denied counts a retry or hedge that the retry budget did not allow.
	Denied(service string)
}
