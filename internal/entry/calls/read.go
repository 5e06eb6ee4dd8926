package calls

import (
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/drain"
	"github.com/snipefront/snipefront/internal/rpc/bound"
)

// read reads and checks the whole request.
func (h *Handler) read(w http.ResponseWriter, arrived time.Time, req *http.Request) (*snipefront.Request, error) {
	if req.Method == http.MethodConnect {
		return nil, snipefront.Rejected(snipefront.ReasonBadRequest, http.StatusMethodNotAllowed, "tunnels are not served")
	}
	target := targetOf(req)
	name := firstSegment(target)
	s, ok := h.Config().Services[name]
	if !ok && !h.Ready() {
		return nil, unclaimed(req, snipefront.Refused(snipefront.ReasonNoLease, retryAfterNotReady, "this instance does not know the services yet"))
	}
	if !ok {
		return nil, snipefront.Rejected(snipefront.ReasonUnknownService, http.StatusNotFound, "no service is configured for the first segment of the path")
	}
	timeout, err := timeoutOf(req.Header, s.Deadline)
	if err != nil {
		return nil, err
	}
	key, err := keyOf(req.Header)
	if err != nil {
		return nil, err
	}
	deadline := arrived.Add(timeout)
	work := drain.Work{Workload: name, Deadline: deadline, Idempotent: key != "" || isIdempotent(req.Method)}
	if !h.gate.Admits(time.Now(), work) {
		return nil, unclaimed(req, snipefront.Refused(snipefront.ReasonStopping, drain.RetryAfter, "this instance stops"))
	}
	body, err := h.readBody(w, req, deadline)
	if err != nil {
		return nil, err
	}
	r := &snipefront.Request{
		Service:        name,
		Method:         req.Method,
		Target:         target,
		Header:         endToEnd(req.Header),
		Body:           body,
		Deadline:       deadline,
		Importance:     s.Importance,
		IdempotencyKey: key,
		Idempotent:     key == "" && isIdempotent(req.Method),
	}
	if isSafe(req.Method) {
		r.IdempotencyKey = ""
		r.Idempotent = true
	}
	r.Fingerprint = r.ContentFingerprint()
	return r, nil
}

// targetOf returns the path and query as the caller wrote them.
func targetOf(req *http.Request) string {
	_, afterScheme, absolute := strings.Cut(req.RequestURI, "://")
	if strings.HasPrefix(req.RequestURI, "/") || !absolute {
		return req.RequestURI
	}
	i := strings.IndexAny(afterScheme, "/?")
	if i < 0 {
		return "/"
	}
	return afterScheme[i:]
}

// firstSegment returns the first segment of the path of target, without decoding it.
func firstSegment(target string) string {
	s := strings.TrimPrefix(target, "/")
	if i := strings.IndexAny(s, "/?#"); i >= 0 {
		return s[:i]
	}
	return s
}

// unclaimed returns the refusal e of a request for which no claim was made. If it has an
// idempotency key, an earlier request with that key may have run.
func unclaimed(req *http.Request, e *snipefront.Error) error {
	if req.Header.Get(IdempotencyKeyHeader) != "" {
		e.Verdict = snipefront.MayHaveRun
	}
	return e
}

// readBody reads the whole body. It fails if the body does not arrive before the deadline.
func (h *Handler) readBody(w http.ResponseWriter, req *http.Request, deadline time.Time) ([]byte, error) {
	if req.ContentLength > h.MaxBodyBytes {
		return nil, tooLarge()
	}
	if req.Body == nil || req.ContentLength == 0 {
		return nil, nil
	}
	// The error is ignored: a writer without a connection supports no deadlines.
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(deadline)
	b, err := h.Bodies.Requests.ReadBody(req.Context(), req.Body, req.ContentLength, h.MaxBodyBytes)
	switch {
	case errors.Is(err, bound.ErrTooBig):
		return nil, tooLarge()
	case errors.Is(err, bound.ErrNoMemory):
		return nil, h.noMemory(w, req)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, snipefront.Rejected(snipefront.ReasonDeadline, http.StatusRequestTimeout, "the body did not arrive in time")
	}
	if err != nil {
		return nil, snipefront.Rejected(snipefront.ReasonBadRequest, http.StatusBadRequest, "the body was cut short: "+err.Error())
	}
	_ = c.SetReadDeadline(time.Time{})
	return b, nil
}

func tooLarge() error {
	return snipefront.Rejected(snipefront.ReasonTooLarge, http.StatusRequestEntityTooLarge, "the body is over the size limit")
}

// timeoutOf returns the timeout that the caller set, or fallback if there is none.
func timeoutOf(h http.Header, fallback time.Duration) (time.Duration, error) {
	values := h.Values(TimeoutHeader)
	if len(values) == 0 {
		return fallback, nil
	}
	ms, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || len(values) > 1 || ms < 1 || ms > maxTimeout.Milliseconds() {
		return 0, snipefront.Rejected(snipefront.ReasonBadRequest, http.StatusBadRequest, TimeoutHeader+" must be one whole number of milliseconds from 1 to "+strconv.FormatInt(maxTimeout.Milliseconds(), 10))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// keyOf returns the idempotency key, or an empty string if there is none.
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
