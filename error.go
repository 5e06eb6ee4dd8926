package snipefront

import (
	"errors"
	"net/http"
	"time"
)

// Error is the final answer to a request for which there is no response of a backend
// server.
type Error struct {
	// Verdict says whether the request may have run. NotRun is a guarantee.
	Verdict Verdict
	// Reason names the cause.
	Reason Reason
	// Status is the HTTP status for the caller.
	Status int
	// RetryAfter is the time after which the caller may resend the request. Zero
	// means that a resend is of no use.
	RetryAfter time.Duration
	// Detail explains the cause in a sentence for people.
	Detail string
	// Broken is the number of attempts whose connection broke, including those in
	// Request.Broken.
	Broken int
}

// Error returns the reason, the verdict and the detail.
func (e *Error) Error() string {
	return string(e.Reason) + " (" + e.Verdict.String() + "): " + e.Detail
}

// Refused returns an error with status 503 for a request that no backend server has
// run.
func Refused(reason Reason, retryAfter time.Duration, detail string) *Error {
	return &Error{
		Verdict:    NotRun,
		Reason:     reason,
		Status:     http.StatusServiceUnavailable,
		RetryAfter: retryAfter,
		Detail:     detail,
	}
}

// Rejected returns an error for a request that cannot be served unless the caller
// changes it.
func Rejected(reason Reason, status int, detail string) *Error {
	return &Error{Verdict: NotRun, Reason: reason, Status: status, Detail: detail}
}

// AsError returns err as an *Error. It returns nil for nil, and for an error of any
// other type an *Error with the verdict MayHaveRun and status 502.
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
