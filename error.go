package snipefront

import (
	"errors"
	"net/http"
	"time"
)

// Error is a final answer that is not a backend server's.
type Error struct {
	// Verdict says whether the request may have run. NotRun is a promise.
	Verdict Verdict
	// Reason names the cause.
	Reason Reason
	// Status is the HTTP status for the caller.
	Status int
	// RetryAfter is the time after which the caller may ask again. Zero means
	// that asking again is of no use.
	RetryAfter time.Duration
	// Detail is a sentence for people.
	Detail string
	// Broken is the number of attempts, those of Request.Broken included, whose
	// connection broke.
	Broken int
}

// Error returns the reason, the verdict and the detail.
func (e *Error) Error() string {
	return string(e.Reason) + " (" + e.Verdict.String() + "): " + e.Detail
}

// Refused returns an error for a request that no backend server has run, with
// status 503.
func Refused(reason Reason, retryAfter time.Duration, detail string) *Error {
	return &Error{
		Verdict:    NotRun,
		Reason:     reason,
		Status:     http.StatusServiceUnavailable,
		RetryAfter: retryAfter,
		Detail:     detail,
	}
}

// Rejected returns an error for a request that the caller must change before
// it can be served.
func Rejected(reason Reason, status int, detail string) *Error {
	return &Error{Verdict: NotRun, Reason: reason, Status: status, Detail: detail}
}

// AsError returns err as an *Error. An error of any other type becomes one
// with the verdict MayHaveRun and status 502.
func AsError(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{
		Verdict: MayHaveRun,
		Reason:  ReasonBackendServer,
		Status:  http.StatusBadGateway,
		Detail:  err.Error(),
	}
}
