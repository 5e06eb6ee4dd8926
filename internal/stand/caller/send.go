package caller

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/stand/answer"
)

// Reasons that the caller finds itself, next to those that instances state.
const (
	// ReasonConnect is a request for which no address could be connected to.
	ReasonConnect = snipefront.ReasonConnect
	// ReasonBroken is a connection that broke before the answer.
	ReasonBroken snipefront.Reason = "broken_connection"
	// ReasonUnexplained is a refusal without a reason. The status follows it.
	ReasonUnexplained snipefront.Reason = "unexplained"
)

// kind is what came of an attempt or of a request.
type kind uint8

const (
	answered kind = iota
	late
	refused
	crossed
	cutShort
)

// outcome is what came of an attempt or of a request.
type outcome struct {
	kind    kind
	verdict snipefront.Verdict
	reason  snipefront.Reason
	// advised is true where a refusal said when to come back.
	advised bool
}

// serve sends one request, again where that is allowed, and counts the outcome.
func (r *run) serve(ctx context.Context, j *job, random *rand.Rand) {
	s := j.service
	deadline := j.at.Add(s.Timeout)
	if !time.Now().Before(deadline) {
		s.tally.notSent(time.Since(j.at))
		return
	}
	q := r.question(j)
	o := r.attempt(ctx, j, q, deadline, random)
	notRun := o.verdict == snipefront.NotRun
	resends := 0
	for resends < r.caller.Resends && mayResend(o) {
		resends++
		o = r.attempt(ctx, j, q, time.Now().Add(s.Timeout), random)
		notRun = notRun && o.verdict == snipefront.NotRun
	}
	s.tally.end(&ending{
		outcome: o,
		key:     q.IdempotencyKey,
		notRun:  notRun,
		resends: resends,
		latency: time.Since(j.at),
		timeout: s.Timeout,
	})
}

// mayResend tells whether a request is sent again after o.
func mayResend(o outcome) bool {
	if o.kind == late {
		return true
	}
	return o.kind == refused && o.verdict == snipefront.MayHaveRun
}

func (r *run) question(j *job) *answer.Question {
	name := j.service.Name
	q := &answer.Question{
		Target:    fmt.Sprintf("/%s/copier/%d", name, j.number%targets),
		RequestID: fmt.Sprintf("%s-%s-%d", r.id, name, j.number),
	}
	if j.service.Method == http.MethodPost {
		q.IdempotencyKey = "key-" + q.RequestID
		q.Body = fmt.Appendf(nil, "request %d of %s\n", j.number, name)
	}
	return q
}

// attempt sends the request once, to further addresses only where it could not
// connect.
func (r *run) attempt(ctx context.Context, j *job, q *answer.Question, deadline time.Time, random *rand.Rand) outcome {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var failed []string
	for {
		a, ok := j.service.addresses.pick(failed, random.Float64())
		if !ok {
			j.service.addresses.askSoon()
			return outcome{kind: refused, verdict: snipefront.NotRun, reason: ReasonConnect}
		}
		o, connected := r.send(ctx, j, q, a, deadline)
		if connected {
			return o
		}
		if ctx.Err() != nil {
			return outcome{kind: late, verdict: snipefront.NotRun}
		}
		failed = append(failed, a)
	}
}

// send sends the request to one address. It returns false where it could not
// connect.
func (r *run) send(ctx context.Context, j *job, q *answer.Question, a string, deadline time.Time) (outcome, bool) {
	h, err := r.request(ctx, j, q, a, deadline)
	if err != nil {
		return outcome{kind: refused, verdict: snipefront.NotRun, reason: ReasonConnect}, true
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	w, err := r.client.Do(h.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return failure(ctx, connected.Load())
	}
	defer w.Body.Close()
	b, err := io.ReadAll(io.LimitReader(w.Body, mostAnswerBytes))
	if ctx.Err() != nil && err != nil {
		return outcome{kind: late}, true
	}
	if w.StatusCode/100 != 2 {
		return r.refusal(w), true
	}
	if err != nil {
		return outcome{kind: cutShort}, true
	}
	switch q.Check(b) {
	case answer.CutShort:
		return outcome{kind: cutShort}, true
	case answer.Crossed:
		r.log.Warn("crossed answer", "request", q.RequestID, "address", a)
		return outcome{kind: crossed}, true
	default:
		return outcome{kind: answered, verdict: snipefront.Ran}, true
	}
}

func (r *run) request(ctx context.Context, j *job, q *answer.Question, a string, deadline time.Time) (*http.Request, error) {
	h, err := http.NewRequestWithContext(ctx, j.service.Method, "http://"+a+q.Target, strings.NewReader(string(q.Body)))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	// Without GetBody the transport does not repeat a POST by itself.
	h.GetBody = nil
	if len(q.Body) == 0 {
		h.Body = http.NoBody
	}
	left := max(time.Until(deadline).Milliseconds(), 1)
	h.Header.Set("X-Request-Timeout", strconv.FormatInt(left, 10))
	h.Header.Set("X-Request-Id", q.RequestID)
	if q.IdempotencyKey != "" {
		h.Header.Set("Idempotency-Key", q.IdempotencyKey)
	}
	if every := j.service.CrashEvery; every > 0 && j.number%every == 0 {
		h.Header.Set("X-Stand-Crash", "1")
	}
	return h, nil
}

// failure returns the outcome of an attempt without an answer, and whether it
// had connected.
func failure(ctx context.Context, connected bool) (outcome, bool) {
	if !connected {
		return outcome{}, false
	}
	if ctx.Err() != nil {
		return outcome{kind: late}, true
	}
	return outcome{kind: refused, reason: ReasonBroken}, true
}

// refusal reads the headers of an answer that is not a success. A stand-in
// backend server that is called directly refuses with 503 and Retry-After.
func (r *run) refusal(w *http.Response) outcome {
	o := outcome{
		kind:    refused,
		verdict: snipefront.ParseVerdict(w.Header.Get("X-Snipefront-Verdict")),
		reason:  snipefront.Reason(w.Header.Get("X-Snipefront-Reason")),
		advised: w.Header.Get("Retry-After") != "",
	}
	if len(r.caller.Direct) > 0 && o.advised && w.StatusCode == http.StatusServiceUnavailable {
		o.verdict, o.reason = snipefront.NotRun, snipefront.ReasonShed
	}
	if o.reason == "" {
		o.reason = ReasonUnexplained + snipefront.Reason("_"+strconv.Itoa(w.StatusCode))
	}
	return o
}
