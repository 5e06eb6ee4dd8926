// Package calls serves the HTTP requests of callers.
//
// A request is read whole and checked before it is passed to the next handler, and a
// response is complete in memory before its first byte is sent. An error response of
// this instance is a problem document. Its header fields give the verdict, the reason
// and the time after which the caller may resend the request.
package calls

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/drain"
	"github.com/snipefront/snipefront/internal/entry/header"
	"github.com/snipefront/snipefront/internal/rpc/bound"
	"github.com/snipefront/snipefront/internal/rpc/heads"
)

// The header fields of requests and responses.
const (
	TimeoutHeader        = "X-Request-Timeout"
	IdempotencyKeyHeader = "Idempotency-Key"
	VerdictHeader        = "X-Snipefront-Verdict"
	ReasonHeader         = "X-Snipefront-Reason"
	BackendHeader        = "X-Snipefront-Backend"
	RequestIDHeader      = "X-Request-Id"
)

const (
	// maxTimeout is the longest timeout that a caller may set.
	maxTimeout = 10 * time.Minute
	// retryAfterNotReady is the Retry-After time until this instance knows the services.
	retryAfterNotReady = time.Second
	// maxKeyBytes is the length of the longest idempotency key.
	maxKeyBytes = 256
)

// Counter counts responses.
type Counter interface {
	Answered(service string, status int, taken time.Duration)
	Refused(service string, e *snipefront.Error)
}

// Handler implements http.Handler. Set the exported fields before use.
type Handler struct {
	Next snipefront.Handler
	// Config returns the configuration in force.
	Config func() *snipefront.Config
	// Ready reports whether Config is known to be in force.
	Ready func() bool
	// MaxBodyBytes is the size of the largest request body.
	MaxBodyBytes int64
	// Bodies bounds the requests and answers that are held. Its parts may be nil.
	Bodies  bound.Bodies
	Counter Counter
	// Logger may be nil.
	Logger *slog.Logger

	gate drain.Gate
}

// Stop begins a planned stop that ends at the given time. From now on, requests that may
// not be answered by then are refused. Other instances give the address of this one out until
// all have confirmed that it leaves, which may take a part of the stop.
func (h *Handler) Stop(now, end time.Time) { h.gate.Stop(now, end, end.Sub(now)) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	arrived := time.Now()
	held := heldBytes(req)
	if h.Bodies.Answers.Full() || !h.Bodies.Requests.TakeShort(held) {
		h.refuse(w, "unknown", h.noMemory(w, req))
		return
	}
	defer h.Bodies.Requests.ReturnShort(held)
	r, err := h.read(w, arrived, req)
	if err != nil {
		h.refuse(w, "unknown", err)
		return
	}
	resp, err := h.serve(req.Context(), r)
	if err != nil {
		h.refuse(w, r.Service, err)
		return
	}
	taken := time.Since(arrived)
	h.Counter.Answered(r.Service, resp.Status, taken)
	h.gate.Observe(time.Now(), r.Service, taken)
	h.write(w, req.Method, resp)
}

// serve returns the response to r. One that can't be written is a broken answer.
func (h *Handler) serve(ctx context.Context, r *snipefront.Request) (*snipefront.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	resp, err := h.Next.Serve(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := heads.CheckFinal(resp.Status, resp.Header); err != nil {
		return nil, &snipefront.Error{Verdict: snipefront.MayHaveRun, Reason: snipefront.ReasonBrokenAnswer, Status: http.StatusBadGateway, Detail: err.Error()}
	}
	return resp, nil
}

// endToEnd returns the header fields of h that are sent to a backend server.
func endToEnd(h http.Header) http.Header {
	out := header.EndToEnd(h)
	dropReserved(out)
	return out
}

// dropReserved deletes the fields that only this package interprets or sets.
func dropReserved(h http.Header) {
	for _, n := range []string{TimeoutHeader, VerdictHeader, ReasonHeader, BackendHeader} {
		delete(h, n)
	}
}

// write sends a response and holds it until then.
func (h *Handler) write(w http.ResponseWriter, method string, resp *snipefront.Response) {
	if n := int64(cap(resp.Body)); n <= bound.ShortBytes {
		h.Bodies.Answers.AddShort(n)
		defer h.Bodies.Answers.ReturnShort(n)
	}
	write(w, method, resp)
	h.Bodies.Answers.Collect()
}

// write sends a response to a request with the given method. It adds no Content-Type if
// the backend server sent none, and no Content-Length to the response to a HEAD request.
func write(w http.ResponseWriter, method string, resp *snipefront.Response) {
	out := w.Header()
	header.Copy(out, resp.Header)
	dropReserved(out)
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

// setLength sets Content-Length to n if h does not hold exactly that value.
func setLength(h http.Header, n int) {
	length := strconv.Itoa(n)
	if v := h["Content-Length"]; len(v) != 1 || v[0] != length {
		h["Content-Length"] = []string{length}
	}
}

// refuse sends an error response as a problem document.
func (h *Handler) refuse(w http.ResponseWriter, service string, err error) {
	e := snipefront.AsError(err)
	h.Counter.Refused(service, e)
	out := w.Header()
	out.Set("Content-Type", "application/problem+json")
	out.Set(VerdictHeader, e.Verdict.String())
	out.Set(ReasonHeader, string(e.Reason))
	if e.RetryAfter > 0 {
		out.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
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
