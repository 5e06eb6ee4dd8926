package snipefront

import (
	"context"
	"hash/fnv"
	"io"
	"net/http"
	"time"
)

// Request is a caller's request, read whole before any dispatch.
type Request struct {
	// Service is the first segment of the request's path.
	Service string
	// Method is the HTTP method.
	Method string
	// Target is the path and query, sent to the backend server unchanged.
	Target string
	// Header holds the end-to-end header fields, without hop-by-hop ones.
	Header http.Header
	// Body is the whole body. It is never written to after the request is read.
	Body []byte
	// Deadline is the instant at which an answer becomes worthless.
	Deadline time.Time
	// Importance ranks requests when not all can be served.
	Importance Importance
	// IdempotencyKey is the caller's key for a request that may run only once.
	// It is empty where the caller sent none.
	IdempotencyKey string
	// Fingerprint identifies the content: method, target, body and key.
	Fingerprint uint64
	// Idempotent is true where a second run does no harm.
	Idempotent bool
	// Broken is the number of attempts so far whose connection broke while the
	// request may have been running. See MaxBroken.
	Broken int
	// Forwarded is true where another instance accepted the request.
	Forwarded bool
}

// ContentFingerprint returns the hash of what r asks for: method, target, body and
// key.
func (r *Request) ContentFingerprint() uint64 {
	h := fnv.New64a()
	for _, part := range []string{r.Method, r.Target, r.IdempotencyKey} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// MaxBroken is the most attempts of one request whose connection breaks, since the
// request itself may be what makes backend servers fall.
const MaxBroken = 2

// Response is a whole answer of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// BackendServer names the backend server that answered.
	BackendServer string
}

// Handler answers a request or returns an *Error.
type Handler interface {
	Serve(ctx context.Context, r *Request) (*Response, error)
}

// Filter is one step of the path of a request. It answers by itself or calls
// next, at most once for a request that is not idempotent.
type Filter interface {
	Filter(ctx context.Context, r *Request, next Handler) (*Response, error)
}

// Importance ranks requests. The zero value is the lowest.
type Importance uint8

// The ranks of importance. Background work may wait; critical work has a
// person waiting for it.
const (
	Background Importance = iota
	Normal
	Critical
)
