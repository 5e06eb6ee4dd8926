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
	"github.com/snipefront/snipefront/internal/rpc/heads"
	"github.com/snipefront/snipefront/internal/stand/answer"
)

// Reasons that the caller itself finds for a refusal, besides those that instances
// return.
const (
	// ReasonConnect means that the caller could connect to no address.
	ReasonConnect = snipefront.ReasonConnect
	// ReasonBroken means that the connection broke before the response arrived.
	ReasonBroken snipefront.Reason = "broken_connection"
	// ReasonUnexplained means that the response has no reason. The caller appends an
	// underscore and the status code.
	ReasonUnexplained snipefront.Reason = "unexplained"
)

// kind is the kind of an outcome.
type kind uint8

const (
	answered kind = iota
	late
	refused
	crossed
	cutShort
)

// outcome is the outcome of an attempt, or of the last attempt of a request.
type outcome struct {
	kind    kind
	verdict snipefront.Verdict
	reason  snipefront.Reason
	// hasRetryAfter is true if a refusal has a Retry-After header.
	hasRetryAfter bool
}

// process sends one request, resends it as often as is allowed and counts the outcome.
func (r *run) process(ctx context.Context, j *job, random *rand.Rand) {
	s := j.service
	deadline := j.arrival.Add(s.Timeout)
	if !time.Now().Before(deadline) {
		s.tally.addUnsent(time.Since(j.arrival))
		return
	}
	q := r.newRequest(j)
	o := r.attempt(ctx, j, q, deadline, random)
	notRun := o.verdict == snipefront.NotRun
	resends := 0
	for resends < r.caller.Resends && mayResend(o) {
		resends++
		o = r.attempt(ctx, j, q, time.Now().Add(s.Timeout), random)
		notRun = notRun && o.verdict == snipefront.NotRun
	}
	s.tally.addCompletion(&completion{
		outcome: o,
		key:     q.IdempotencyKey,
		notRun:  notRun,
		resends: resends,
		latency: time.Since(j.arrival),
		timeout: s.Timeout,
	})
}

// mayResend reports whether a request may be resent after an attempt with outcome o.
func mayResend(o outcome) bool {
	if o.kind == late {
		return true
	}
	return o.kind == refused && o.verdict == snipefront.MayHaveRun
}

func (r *run) newRequest(j *job) *answer.Request {
	name := j.service.Name
	q := &answer.Request{
		Target:    fmt.Sprintf("/%s/copier/%d", name, j.number%distinctPaths),
		RequestID: fmt.Sprintf("%s-%s-%d", r.id, name, j.number),
	}
	if j.service.Method == http.MethodPost {
		q.IdempotencyKey = "key-" + q.RequestID
		q.Body = fmt.Appendf(nil, "request %d of %s\n", j.number, name)
	}
	return q
}

// attempt sends the request once. It tries another address only if it could not connect
// to the previous one.
func (r *run) attempt(ctx context.Context, j *job, q *answer.Request, deadline time.Time, random *rand.Rand) outcome {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var tried []string
	for {
		a, ok := j.service.resolver.pick(tried, random.Float64())
		if !ok {
			j.service.resolver.requestRefresh()
			return outcome{kind: refused, verdict: snipefront.NotRun, reason: ReasonConnect}
		}
		o, connected := r.send(ctx, j, q, a, deadline)
		if connected {
			return o
		}
		if ctx.Err() != nil {
			return outcome{kind: late, verdict: snipefront.NotRun}
		}
		tried = append(tried, a)
	}
}

// send sends the request to one address. It returns false if it could not connect, so
// that another address can be tried; the outcome is then empty.
func (r *run) send(ctx context.Context, j *job, q *answer.Request, hostPort string, deadline time.Time) (outcome, bool) {
	req, err := r.request(ctx, j, q, hostPort, deadline)
	if err != nil {
		return outcome{kind: refused, verdict: snipefront.NotRun, reason: ReasonConnect}, true
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := r.client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	var broken *heads.Error
	if errors.As(err, &broken) {
		r.log.Warn("received a broken answer; counting it as cut short", "request", q.RequestID, "address", hostPort, "error", broken)
		return outcome{kind: cutShort}, true
	}
	if err != nil {
		return errorOutcome(ctx, connected.Load())
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if ctx.Err() != nil && err != nil {
		return outcome{kind: late}, true
	}
	if err != nil {
		return outcome{kind: cutShort}, true
	}
	if resp.StatusCode/100 != 2 {
		return r.refusalOutcome(resp), true
	}
	switch q.Check(b) {
	case answer.CutShort:
		return outcome{kind: cutShort}, true
	case answer.Crossed:
		r.log.Warn("received the answer to another request; counting it as crossed", "request", q.RequestID, "address", hostPort)
		return outcome{kind: crossed}, true
	default:
		return outcome{kind: answered, verdict: snipefront.Ran}, true
	}
}

// request returns the HTTP request for j. The remaining time until deadline is its
// X-Request-Timeout.
func (r *run) request(ctx context.Context, j *job, q *answer.Request, hostPort string, deadline time.Time) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, j.service.Method, "http://"+hostPort+q.Target, strings.NewReader(string(q.Body)))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	// Without GetBody, the transport cannot resend a POST by itself.
	req.GetBody = nil
	if len(q.Body) == 0 {
		req.Body = http.NoBody
	}
	remaining := max(time.Until(deadline).Milliseconds(), 1)
	req.Header.Set("X-Request-Timeout", strconv.FormatInt(remaining, 10))
	req.Header.Set("X-Request-Id", q.RequestID)
	if q.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", q.IdempotencyKey)
	}
	if every := j.service.CrashEvery; every > 0 && j.number%every == 0 {
		req.Header.Set("X-Stand-Crash", "1")
	}
	return req, nil
}

// errorOutcome returns the outcome of an attempt without a response, and whether it
// had connected.
func errorOutcome(ctx context.Context, connected bool) (outcome, bool) {
	if !connected {
		return outcome{}, false
	}
	if ctx.Err() != nil {
		return outcome{kind: late}, true
	}
	return outcome{kind: refused, reason: ReasonBroken}, true
}

// refusalOutcome returns the outcome that the header of an unsuccessful response
// states. A stand-in backend server that is called directly refuses requests with
// status 503 and Retry-After.
func (r *run) refusalOutcome(resp *http.Response) outcome {
	o := outcome{
		kind:          refused,
		verdict:       snipefront.ParseVerdict(resp.Header.Get("X-Snipefront-Verdict")),
		reason:        snipefront.Reason(resp.Header.Get("X-Snipefront-Reason")),
		hasRetryAfter: resp.Header.Get("Retry-After") != "",
	}
	if len(r.caller.Direct) > 0 && o.hasRetryAfter && resp.StatusCode == http.StatusServiceUnavailable {
		o.verdict, o.reason = snipefront.NotRun, snipefront.ReasonShed
	}
	if o.reason == "" {
		o.reason = ReasonUnexplained + snipefront.Reason("_"+strconv.Itoa(resp.StatusCode))
	}
	return o
}
