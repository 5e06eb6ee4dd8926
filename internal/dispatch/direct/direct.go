// Package direct sends requests to backend servers that several instances choose
// from at the same time.
//
// Before a choice, local targets are probed for their load, and remote ones if all
// local ones are slow. An attempt that certainly did not run may be retried at
// another target, whatever the request; one that may have run is retried only for an
// idempotent request. Retries spend a budget. A request that no target can accept in
// time is refused.
package direct

import (
	"context"
	"log/slog"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
	"github.com/snipefront/snipefront/internal/dispatch/canary"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
	"github.com/snipefront/snipefront/internal/dispatch/wait"
	"github.com/snipefront/snipefront/internal/request/poison"
	"github.com/snipefront/snipefront/internal/rpc/bound"
)

// minAttemptTime is the minimum time that must be left until the deadline when an attempt
// is started.
const minAttemptTime = 5 * time.Millisecond

// Counter counts retries by their reason.
type Counter interface {
	Retried(service string, reason snipefront.Reason)
}

// Trials grants trial runs of quarantined requests.
type Trials interface {
	// Grant reports whether this instance may run the request with the fingerprint once, as
	// the trial run with the number n. Of all instances at most one may.
	Grant(ctx context.Context, fingerprint uint64, n int) bool
}

// Dispatcher sends requests to targets. Set the exported fields before use.
type Dispatcher struct {
	Targets *health.Set
	Link    Link
	// Retries bounds the attempts beyond the first of a request.
	Retries *budget.Retries
	// Probes bounds the load probes. Nil sets no bound.
	Probes *budget.Probes
	// Poison records the requests that were in flight on a backend server when it
	// crashed. Nil records none.
	Poison *poison.Register
	// Trials grants trial runs of quarantined requests. Nil grants none.
	Trials Trials
	// Checks detects crashes by requests whose connection has ended. Nil detects none.
	Checks *Checks
	// Answers is the memory for answers. While one waits for it, no request is hedged: its own
	// answer may be the one that waits. Nil has memory for all.
	Answers *bound.Memory
	Counter Counter
	// Rollouts counts for the rollouts that run. Nil counts nothing.
	Rollouts *canary.Counter
	// Crossing decides which requests are sent to other data centres. Nil sends those that are
	// expected to be answered sooner there by a fixed time.
	Crossing Crossing
	// Attempts counts requests and attempts by their cause.
	Attempts snipefront.AttemptCounter
	Logger   *slog.Logger

	estimator estimator
	// waiting holds the calls that wait for a target.
	waiting wait.Queues
}

// Call is a caller's request with the values that its dispatch needs.
type Call struct {
	*snipefront.Request
	// ID is the caller's request ID, which backend servers echo.
	ID    string
	Route string
	// Workspace names the workspace of the caller. It is empty if there is none.
	Workspace string
	// Goal is the time by which the latency goal requires an answer. Until then an
	// answer has its full value.
	Goal time.Time
	// Attempts is the maximum number of attempts that reach a target.
	Attempts int
	// Rank is the place in the order of importance. 0 is the most important.
	Rank int
	// Refuse returns the refusal of an attempt that begins now, or nil if it may begin: during
	// a planned stop, it has to be over before the stop is. Nil refuses none.
	Refuse func() *snipefront.Error

	// canYield is true if the call may yield to more important ones. Serve sets it.
	canYield bool
	// side says to which versions of the service the next attempt may go.
	side health.Side
}

// refusal returns the refusal of an attempt that begins now, or nil if it may begin.
func (c *Call) refusal() *snipefront.Error {
	if c.Refuse == nil {
		return nil
	}
	return c.Refuse()
}

// Attempt is the result of sending a call to one target.
type Attempt struct {
	// Response is nil if the backend server gave no complete answer.
	Response *snipefront.Response
	Verdict  snipefront.Verdict
	Reason   snipefront.Reason
	// Err is why there is no answer.
	Err error
	// Signed is true if Response has the signature of a backend server.
	Signed bool
	// Complete is true if Response shows that the target has run the whole request to its
	// end. A server error doesn't: the target may have given it in place of a run.
	Complete bool
	// Outcome is what the attempt shows about the target.
	Outcome health.Outcome
	// Misdirected is true if the request reached a backend server that was not the
	// target, and that refused it.
	Misdirected bool
	// Limit is what the answer of the target says of its rate limit.
	Limit quota.Statement
}

// Link carries calls and load probes to backend servers.
type Link interface {
	health.Prober
	// Send sends c to t. It returns when there is an answer, when none can come any
	// more, or when ctx is done.
	Send(ctx context.Context, c *Call, t *health.Target) Attempt
	// Up reports whether t accepts a new connection.
	Up(ctx context.Context, t *health.Target) bool
}

// Serve sends c to targets and returns the answer of a backend server, or a
// *snipefront.Error. It returns by the deadline of c.
func (d *Dispatcher) Serve(ctx context.Context, c *Call) (*snipefront.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	d.Retries.Earn(time.Now(), c.Service)
	d.Attempts.Received(c.Service)
	c.canYield = d.canYield(c)
	d.Rollouts.Received(c.Service)
	p := progress{verdict: snipefront.NotRun, avoid: map[string]bool{}, received: time.Now()}
	for first := true; ; first = false {
		if time.Until(c.Deadline) < minAttemptTime || ctx.Err() != nil {
			return d.finish(c, &p, timeoutError(ctx, &p))
		}
		if e := d.admit(ctx, c, &p); e != nil {
			return d.finish(c, &p, withVerdict(e, p.verdict))
		}
		chosen, ok := d.chooseVersion(ctx, c, &p)
		if !ok {
			return d.finish(c, &p, d.noTargetError(ctx, c, &p, chosen))
		}
		// The quarantine may have begun while c waited for a target.
		if e := d.quarantined(c, chosen.target); e != nil && !p.trial {
			chosen.target.Done(time.Now(), health.Neutral)
			return d.finish(c, &p, withVerdict(e, p.verdict))
		}
		if !d.spendForNext(c, &p) {
			chosen.target.Done(time.Now(), health.Neutral)
			return d.finish(c, &p, attemptError(ctx, &p))
		}
		if !first {
			d.Counter.Retried(c.Service, p.last.Reason)
		}
		a := d.run(ctx, c, &p, chosen)
		p.trial = p.trial && p.verdict == snipefront.NotRun
		if a.Response != nil && !isServerError(a.Response) {
			return a.Response, nil
		}
		if !d.mayRetry(ctx, c, &p) {
			return d.finish(c, &p, attemptError(ctx, &p))
		}
	}
}
