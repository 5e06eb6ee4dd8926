package snipefront

import (
	"context"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"time"
)

// Request is a caller's request. It is read completely before it is dispatched.
type Request struct {
	// Service is the first segment of the request's path.
	Service string
	// Method is the HTTP method.
	Method string
	// Target is the path and query, sent to the backend server unchanged.
	Target string
	// Header holds the end-to-end header fields, without hop-by-hop ones.
	Header http.Header
	// Body is the complete body. It is never changed after the request is read.
	Body []byte
	// Deadline is the instant after which an answer has no value.
	Deadline time.Time
	// Importance decides which requests are refused first under overload.
	Importance Importance
	// IdempotencyKey is the caller's key for a request that must not run more than
	// once. It is empty if the caller sent none.
	IdempotencyKey string
	// Fingerprint identifies the content, also of a resend with another idempotency key. See
	// ContentFingerprint.
	Fingerprint uint64
	// Idempotent is true if a second run of the request does no harm.
	Idempotent bool
	// Broken is the number of attempts so far whose connection broke while the
	// request may have been running. See MaxBrokenAttempts.
	Broken int
	// Forwarded is true if another instance accepted the request and forwarded it.
	Forwarded bool
}

// ContentFingerprint returns a hash of the content of r: the Host field if there is one,
// method, target and body.
func (r *Request) ContentFingerprint() uint64 { return r.fingerprint("") }

// KeyFingerprint returns a hash of the content of r and its idempotency key.
func (r *Request) KeyFingerprint() uint64 { return r.fingerprint(r.IdempotencyKey) }

func (r *Request) fingerprint(key string) uint64 {
	h := fnv.New64a()
	if host := r.Header.Get("Host"); host != "" {
		_, _ = io.WriteString(h, strings.ToLower(host))
		_, _ = h.Write([]byte{0})
	}
	for _, part := range []string{r.Method, r.Target, key} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// MaxBrokenAttempts is the number of broken connections after which a request is not
// retried, since the request itself may crash the backend servers.
const MaxBrokenAttempts = 2

// Response is a complete answer of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// BackendServer names the backend server that answered.
	BackendServer string
}

// ShowsCompleteRun reports whether an answer of a backend server with this status shows that
// it has run the request to its end. A server error may stand in place of a run, and the
// statuses 408, 421 and 429 say that there was none.
func ShowsCompleteRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return status < http.StatusInternalServerError
}

// Handler answers a request with a response or an *Error.
type Handler interface {
	Serve(ctx context.Context, r *Request) (*Response, error)
}

// Filter is one step in the processing of a request. It answers the request itself
// or calls next, at most once for a request that is not idempotent.
type Filter interface {
	Filter(ctx context.Context, r *Request, next Handler) (*Response, error)
}

// Importance ranks requests. The zero value is the lowest.
type Importance uint8

// The ranks of importance. A background request may be delayed; a person waits for the
// answer to a critical one.
const (
	Background Importance = iota
	Normal
	Critical
)
