// Package front speaks HTTP with callers.
//
// A request is read whole and checked before it goes down the path, and an
// answer is held whole before its first byte goes out. A final answer that is
// not a backend server's is a problem document with the verdict, the reason and
// the time after which the caller may ask again in its header.
package front

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
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

// Front implements http.Handler. Set the exported fields before use.
type Front struct {
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
func (f *Front) ServeHTTP(w http.ResponseWriter, h *http.Request) {
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

func (f *Front) serve(ctx context.Context, r *snipefront.Request) (*snipefront.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return f.Next.Serve(ctx, r)
}

// read reads and checks the whole request.
func (f *Front) read(w http.ResponseWriter, arrived time.Time, h *http.Request) (*snipefront.Request, error) {
	if h.Method == http.MethodConnect {
		return nil, snipefront.Rejected(snipefront.ReasonBadRequest, http.StatusMethodNotAllowed, "tunnels are not served")
	}
	target := targetOf(h)
	name := firstSegment(target)
	s, ok := f.Config().Services[name]
	if !ok && !f.Ready() {
		return nil, f.unready(h)
	}
	if !ok {
		return nil, snipefront.Rejected(snipefront.ReasonUnknownService, http.StatusNotFound, "no service is configured for the first segment of the path")
	}
	timeout, err := timeoutOf(h.Header, s.Deadline)
	if err != nil {
		return nil, err
	}
	key, err := keyOf(h.Header)
	if err != nil {
		return nil, err
	}
	deadline := arrived.Add(timeout)
	body, err := f.readBody(w, h, deadline)
	if err != nil {
		return nil, err
	}
	r := &snipefront.Request{
		Service:        name,
		Method:         h.Method,
		Target:         target,
		Header:         endToEnd(h.Header),
		Body:           body,
		Deadline:       deadline,
		Importance:     s.Importance,
		IdempotencyKey: key,
		Idempotent:     key == "" && isIdempotent(h.Method),
	}
	if isSafe(h.Method) {
		r.IdempotencyKey = ""
		r.Idempotent = true
	}
	r.Fingerprint = fingerprint(r)
	return r, nil
}

// targetOf returns the path and query as the caller wrote them.
func targetOf(h *http.Request) string {
	_, afterScheme, absolute := strings.Cut(h.RequestURI, "://")
	if strings.HasPrefix(h.RequestURI, "/") || !absolute {
		return h.RequestURI
	}
	i := strings.IndexAny(afterScheme, "/?")
	if i < 0 {
		return "/"
	}
	return afterScheme[i:]
}

// firstSegment returns the first segment of the path of target, undecoded.
func firstSegment(target string) string {
	s := strings.TrimPrefix(target, "/")
	if i := strings.IndexAny(s, "/?#"); i >= 0 {
		return s[:i]
	}
	return s
}

// readBody reads the whole body, until the deadline at the latest.
// unready returns the refusal of a request that comes before this instance knows
// the services. An earlier request with the same key may have run.
func (f *Front) unready(h *http.Request) error {
	e := snipefront.Refused(snipefront.ReasonNoLease, retrySoon, "this instance does not know the services yet")
	if h.Header.Get(IdempotencyKeyHeader) != "" {
		e.Verdict = snipefront.MayHaveRun
	}
	return e
}

func (f *Front) readBody(w http.ResponseWriter, h *http.Request, deadline time.Time) ([]byte, error) {
	if h.ContentLength > f.MaxBodyBytes {
		return nil, tooLarge()
	}
	if h.Body == nil || h.ContentLength == 0 {
		return nil, nil
	}
	// A writer that knows no connection has no deadline to set.
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(deadline)
	b, err := io.ReadAll(io.LimitReader(h.Body, f.MaxBodyBytes+1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, snipefront.Rejected(snipefront.ReasonDeadline, http.StatusRequestTimeout, "the body did not arrive in time")
	}
	if err != nil {
		return nil, snipefront.Rejected(snipefront.ReasonBadRequest, http.StatusBadRequest, "the body was cut short: "+err.Error())
	}
	_ = c.SetReadDeadline(time.Time{})
	if int64(len(b)) > f.MaxBodyBytes {
		return nil, tooLarge()
	}
	return b, nil
}

func tooLarge() error {
	return snipefront.Rejected(snipefront.ReasonTooLarge, http.StatusRequestEntityTooLarge, "the body is over the size limit")
}

// timeoutOf returns the time that the caller allows, or otherwise.
func timeoutOf(h http.Header, otherwise time.Duration) (time.Duration, error) {
	values := h.Values(TimeoutHeader)
	if len(values) == 0 {
		return otherwise, nil
	}
	ms, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || len(values) > 1 || ms < 1 || ms > maxTimeout.Milliseconds() {
		return 0, snipefront.Rejected(snipefront.ReasonBadRequest, http.StatusBadRequest, TimeoutHeader+" must be one whole number of milliseconds from 1 to "+strconv.FormatInt(maxTimeout.Milliseconds(), 10))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func keyOf(h http.Header) (string, error) {
	values := h.Values(IdempotencyKeyHeader)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxKeyBytes {
		return "", snipefront.Rejected(snipefront.ReasonBadRequest, http.StatusBadRequest, IdempotencyKeyHeader+" must be one value of 1 to "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	return values[0], nil
}

// endToEnd returns the header without the fields that concern one connection.
// It shares the values, which are never changed in place.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	copyEndToEnd(out, h)
	return out
}

// copyEndToEnd copies the fields of h that don't concern one connection.
func copyEndToEnd(out, h http.Header) {
	for n, v := range h {
		if !isHopByHop(n) {
			out[n] = v
		}
	}
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			if n = http.CanonicalHeaderKey(strings.TrimSpace(n)); !isHopByHop(n) {
				delete(out, n)
			}
		}
	}
}

// isHopByHop returns whether the field, in its canonical form, concerns one
// connection.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", TimeoutHeader,
		VerdictHeader, ReasonHeader, BackendHeader:
		return true
	}
	return false
}

func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

func isIdempotent(method string) bool {
	return isSafe(method) || method == http.MethodPut || method == http.MethodDelete
}

func fingerprint(r *snipefront.Request) uint64 {
	h := fnv.New64a()
	for _, part := range []string{r.Method, r.Target, r.IdempotencyKey} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// write sends a whole answer to a request with the given method. Nothing is
// added to what the backend server said of its body.
func write(w http.ResponseWriter, method string, resp *snipefront.Response) {
	out := w.Header()
	copyEndToEnd(out, resp.Header)
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
func (f *Front) refuse(w http.ResponseWriter, service string, err error) {
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
