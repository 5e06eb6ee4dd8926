// Package calls speaks HTTP with callers.
//
// A request is read whole and checked before it goes down the path, and an
// answer is held whole before its first byte goes out. A final answer that is
// not a backend server's is a problem document with the verdict, the reason and
// the time after which the caller may ask again in its header.
package calls

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/header"
)

// The header fields of requests and answers.
const (
	TimeoutHeader        = "X-Request-Timeout"
	IdempotencyKeyHeader = "Idempotency-Key"
	VerdictHeader        = "X-Snipefront-Verdict"
	ReasonHeader         = "X-Snipefront-Reason"
	BackendHeader        = "X-Snipefront-Backend"
)

const (
	// maxTimeout is the longest deadline that a caller may ask for.
	maxTimeout = 10 * time.Minute
	// retrySoon is the time after which a caller may ask again where the cause
	// passes within moments.
	retrySoon = time.Second
	// maxKeyBytes is the longest idempotency key.
	maxKeyBytes = 256
)

// Counter counts final answers.
type Counter interface {
	Answered(service string, status int, taken time.Duration)
	Refused(service string, e *snipefront.Error)
}

// Handler implements http.Handler. Set the exported fields before use.
type Handler struct {
	Next snipefront.Handler
	// Config returns the configuration in force.
	Config func() *snipefront.Config
	// Ready returns whether the configuration is known to be in force.
	Ready func() bool
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	Counter      Counter
}

// ServeHTTP implements http.Handler.
func (f *Handler) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	arrived := time.Now()
	r, err := f.read(w, arrived, h)
	if err != nil {
		f.refuse(w, "unknown", err)
		return
	}
	resp, err := f.serve(h.Context(), r)
	if err != nil {
		f.refuse(w, r.Service, err)
		return
	}
	f.Counter.Answered(r.Service, resp.Status, time.Since(arrived))
	write(w, h.Method, resp)
}

func (f *Handler) serve(ctx context.Context, r *snipefront.Request) (*snipefront.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return f.Next.Serve(ctx, r)
}

// endToEnd returns the header of a request that goes on to a backend server.
func endToEnd(h http.Header) http.Header {
	out := header.EndToEnd(h)
	dropOwn(out)
	return out
}

// dropOwn drops the fields by which this package itself speaks.
func dropOwn(h http.Header) {
	for _, n := range []string{TimeoutHeader, VerdictHeader, ReasonHeader, BackendHeader} {
		delete(h, n)
	}
}

// write sends a whole answer to a request with the given method. Nothing is
// added to what the backend server said of its body.
func write(w http.ResponseWriter, method string, resp *snipefront.Response) {
	out := w.Header()
	header.Copy(out, resp.Header)
	dropOwn(out)
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil
	}
	if resp.BackendServer != "" {
		out.Set(BackendHeader, resp.BackendServer)
	}
	if method != http.MethodHead {
		setLength(out, len(resp.Body))
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}

// setLength sets the length of the body where h does not state it.
func setLength(h http.Header, n int) {
	length := strconv.Itoa(n)
	if v := h["Content-Length"]; len(v) != 1 || v[0] != length {
		h["Content-Length"] = []string{length}
	}
}

// refuse sends a final answer that is not a backend server's.
func (f *Handler) refuse(w http.ResponseWriter, service string, err error) {
	e := snipefront.AsError(err)
	f.Counter.Refused(service, e)
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(VerdictHeader, e.Verdict.String())
	h.Set(ReasonHeader, string(e.Reason))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(struct {
		Title   string `json:"title"`
		Status  int    `json:"status"`
		Detail  string `json:"detail"`
		Reason  string `json:"reason"`
		Verdict string `json:"verdict"`
	}{http.StatusText(e.Status), e.Status, e.Detail, string(e.Reason), e.Verdict.String()})
}
