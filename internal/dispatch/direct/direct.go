// Package direct sends requests to backend servers that several instances choose
// from at the same time.
//
// Before a choice the targets of the own data centre are asked for their load, and
// those of others where all of the own are slow. An attempt that surely did not run
// may be repeated at another target, whatever the request; one that may have run is
// repeated only for an idempotent request. Repeats draw on a budget. A request that
// no target has room for is refused at once.
package direct

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/request/poison"
)

const (
	// maxDials is the most targets whose connections may fail under one request.
	maxDials = 4
	// leastTime is the time left under which no attempt begins.
	leastTime = 5 * time.Millisecond
	// retryAfter is the time after which a caller may ask again where nothing is
	// known of the wait.
	retryAfter = 200 * time.Millisecond
	// shedRetryAfter is the same after a refusal by a target that has room, which
	// need not be the answer the next time.
	shedRetryAfter = 20 * time.Millisecond
)

// Counter counts retries by their reason.
type Counter interface {
	Retried(service string, reason snipefront.Reason)
}

// Dispatcher sends requests. Set the exported fields before use.
type Dispatcher struct {
	Targets *health.Set
	Link    Link
	// Budget bounds the repeats of all services together.
	Budget *budget.Share
	// RetryShare is what each request adds to Budget, 0 to 1.
	RetryShare float64
	// Poison remembers the requests under which backend servers fell. Nil remembers
	// none.
	Poison *poison.Register
	// Counter counts what happens.
	Counter Counter
	Logger  *slog.Logger

	times times
}

// Call is one request of a caller on its way.
type Call struct {
	*snipefront.Request
	// ID is the caller's, which backend servers echo.
	ID string
	// Route is the name of its route.
	Route string
	// Goal is the instant until which an answer has its full worth.
	Goal time.Time
	// Attempts is the most targets that it may be sent to.
	Attempts int
}

// Attempt is what became of one sending of a call.
type Attempt struct {
	// Response is nil where there is no whole answer of the backend server.
	Response *snipefront.Response
	Verdict  snipefront.Verdict
	Reason   snipefront.Reason
	// Err says why there is no answer.
	Err error
	// Outcome is what it says of the target.
	Outcome health.Outcome
}

// Link carries calls and looks to backend servers.
type Link interface {
	health.Prober
	// Send sends c to t and returns once there is an answer, or none can come any
	// more, or ctx ends.
	Send(ctx context.Context, c *Call, t *health.Target) Attempt
	// Up returns whether t takes a new connection.
	Up(ctx context.Context, t *health.Target) bool
}

// progress is what became of a call so far.
type progress struct {
	verdict snipefront.Verdict
	// sent counts the attempts that reached a target, dials those that did not.
	sent, dials int
	// avoid names the targets that were tried.
	avoid map[string]bool
	// last is the last attempt, kept the best answer that is a failure.
	last Attempt
	kept *snipefront.Response
	// hadRoom is true where the target of the last attempt had a slot free.
	hadRoom bool
}

// Serve sends c and returns an answer of a backend server or a *snipefront.Error.
// It ends at the deadline of c.
func (d *Dispatcher) Serve(ctx context.Context, c *Call) (*snipefront.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	d.Budget.Earn(d.RetryShare)
	p := progress{verdict: snipefront.NotRun, avoid: map[string]bool{}}
	for {
		if time.Until(c.Deadline) < leastTime || ctx.Err() != nil {
			return d.end(c, &p, late(ctx, &p))
		}
		if a, left := d.Poison.Admit(time.Now(), c.Fingerprint); a == poison.Quarantined {
			return d.end(c, &p, weaken(poison.Refusal(left), p.verdict))
		}
		t, ok := d.choose(ctx, c, p.avoid)
		if !ok {
			return d.end(c, &p, d.noRoom(ctx, c, &p))
		}
		a := d.run(ctx, c, &p, t)
		if a.Response != nil && !isFailure(a.Response) {
			return a.Response, nil
		}
		if !d.mayRepeat(ctx, c, &p) {
			return d.end(c, &p, failed(ctx, &p))
		}
		d.Counter.Retried(c.Service, a.Reason)
	}
}

// ServerOf returns the incarnation of n as poison knows it.
func ServerOf(n fleet.Server) poison.Server {
	return poison.Server{Service: n.Service, DataCentre: n.DataCentre, Name: n.Name, Incarnation: n.Incarnation}
}

// weaken returns e with the verdict v of earlier attempts, where that is weaker.
func weaken(e *snipefront.Error, v snipefront.Verdict) *snipefront.Error {
	if v == snipefront.NotRun {
		return e
	}
	return &snipefront.Error{Verdict: v, Reason: e.Reason, Status: http.StatusBadGateway, Detail: e.Detail}
}

// note takes in what became of an attempt.
func (d *Dispatcher) note(c *Call, p *progress, e ended) {
	p.last = e.Attempt
	p.hadRoom = hasSlot(e.sight)
	p.avoid[e.target.Server.Name] = true
	if e.Response != nil {
		p.kept = e.Response
	}
	if e.Verdict != snipefront.NotRun {
		p.verdict = snipefront.MayHaveRun
	}
	if e.Outcome == health.Unreachable {
		p.dials++
	} else {
		p.sent++
	}
	d.log(c, p, e)
}

// log writes one line for an attempt, with what decided on it.
func (d *Dispatcher) log(c *Call, p *progress, e ended) {
	message, status := "attempt failed", 0
	if e.Response != nil {
		status = e.Response.Status
		if !isFailure(e.Response) {
			message = "attempt answered"
		}
	}
	d.Logger.Info(message, "request", c.ID, "route", c.Route, "service", c.Service, "server", e.target.Server.Name,
		"attempt", p.sent, "estimated", e.takes, "sight", e.sight, "taken", e.taken, "status", status,
		"verdict", e.Verdict, "reason", e.Reason, "error", e.Err, "left", time.Until(c.Deadline))
}

// isFailure returns whether another target may do better.
func isFailure(r *snipefront.Response) bool { return r.Status >= http.StatusInternalServerError }

// mayRepeat returns whether the call may go to another target.
func (d *Dispatcher) mayRepeat(ctx context.Context, c *Call, p *progress) bool {
	switch {
	case ctx.Err() != nil, p.sent >= c.Attempts, p.dials > maxDials:
		return false
	case p.verdict != snipefront.NotRun && !c.Idempotent:
		return false
	case p.last.Outcome == health.Unreachable:
		return true
	}
	return d.Budget.Spend()
}

// end returns the kept answer of a backend server, or else e.
func (d *Dispatcher) end(c *Call, p *progress, e *snipefront.Error) (*snipefront.Response, error) {
	if p.kept != nil {
		return p.kept, nil
	}
	d.Logger.Info("request given up", "request", c.ID, "route", c.Route, "service", c.Service, "verdict", e.Verdict, "reason", e.Reason,
		"status", e.Status, "attempts", p.sent, "dials", p.dials, "retryAfter", e.RetryAfter, "targets", len(d.Targets.Candidates(c.Service)), "goalIn", time.Until(c.Goal), "detail", e.Detail)
	return nil, e
}

// late is the final answer once the time is over.
func late(ctx context.Context, p *progress) *snipefront.Error {
	reason := snipefront.ReasonDeadline
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = snipefront.ReasonCanceled
	}
	if p.verdict == snipefront.NotRun {
		return snipefront.Refused(reason, retryAfter, "the time was over before the request was sent")
	}
	return &snipefront.Error{Verdict: p.verdict, Reason: reason, Status: http.StatusGatewayTimeout, Detail: "no answer in time"}
}

// noRoom is the final answer where no target can take the call.
func (d *Dispatcher) noRoom(ctx context.Context, c *Call, p *progress) *snipefront.Error {
	switch {
	case ctx.Err() != nil:
		return late(ctx, p)
	case p.verdict != snipefront.NotRun:
		return failed(ctx, p)
	case len(d.Targets.Candidates(c.Service)) == 0:
		return snipefront.Refused(snipefront.ReasonNoBackendServer, retryAfter, "no backend server takes requests")
	}
	return snipefront.Refused(snipefront.ReasonOverload, retryAfter, "no backend server has room")
}

// failed is the final answer after the last attempt.
func failed(ctx context.Context, p *progress) *snipefront.Error {
	if ctx.Err() != nil {
		return late(ctx, p)
	}
	detail := "the backend server gave no answer"
	if p.last.Err != nil {
		detail = p.last.Err.Error()
	}
	if p.verdict == snipefront.NotRun {
		return snipefront.Refused(p.last.Reason, p.retryAfter(), detail)
	}
	return &snipefront.Error{Verdict: p.verdict, Reason: p.last.Reason, Status: http.StatusBadGateway, Detail: detail}
}

// retryAfter returns when a caller may ask again after the last attempt.
func (p *progress) retryAfter() time.Duration {
	if p.last.Reason == snipefront.ReasonShed && p.hadRoom {
		return shedRetryAfter
	}
	return retryAfter
}
