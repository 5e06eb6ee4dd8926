package calls

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
)

// read reads and checks the whole request.
func (f *Handler) read(w http.ResponseWriter, arrived time.Time, h *http.Request) (*snipefront.Request, error) {
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
	r.Fingerprint = r.ContentFingerprint()
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
func (f *Handler) unready(h *http.Request) error {
	e := snipefront.Refused(snipefront.ReasonNoLease, retrySoon, "this instance does not know the services yet")
	if h.Header.Get(IdempotencyKeyHeader) != "" {
		e.Verdict = snipefront.MayHaveRun
	}
	return e
}

func (f *Handler) readBody(w http.ResponseWriter, h *http.Request, deadline time.Time) ([]byte, error) {
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
