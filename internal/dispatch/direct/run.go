package direct

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/canary"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
	"github.com/snipefront/snipefront/internal/request/poison"
)

const (
	// overdueFactor is the multiple of the expected latency after which an answer is
	// overdue, and minOverdueTime the least such time.
	overdueFactor  = 2.5
	minOverdueTime = 150 * time.Millisecond
	// expiryTolerance is the time before the deadline in which an answer with status
	// 504 counts as caused by the deadline that the backend server was given.
	expiryTolerance = 20 * time.Millisecond
)

// attemptResult is an attempt that has ended, with the choice of its target.
type attemptResult struct {
	choice
	Attempt
	// begun is when the attempt was sent.
	begun time.Time
	taken time.Duration
	// cut is true if the call had ended when the attempt did.
	cut bool
	// counted is the attempt as it is counted for a rollout.
	counted *canary.Attempt
}

// run sends c to the chosen target. If the answer is overdue, run checks whether the
// target still accepts connections and, for an idempotent call, hedges: it also sends c to
// a second target. The first answer that is not a server error cancels the other attempt.
// run records each attempt in p.
func (d *Dispatcher) run(ctx context.Context, c *Call, p *progress, chosen choice) Attempt {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan attemptResult, 2)
	d.startAttempt(ctx, c, p.cause(), chosen, results)
	running := 1
	begun := time.Now()
	overdue := time.NewTimer(chosen.overdueAfter())
	defer overdue.Stop()
	check, slowed := d.slownessCheck(c)
	defer check.Stop()
	var checks sync.WaitGroup
	defer checks.Wait()
	defer cancel()
	latest := chosen
	// hedged is the second target if c was sent there because the first became slow.
	var hedged *health.Target
	var last Attempt
	for running > 0 {
		select {
		case r := <-results:
			running--
			last = r.Attempt
			d.recordAttempt(c, p, r)
			if last.Response == nil || isServerError(last.Response) {
				continue
			}
			if hedged != nil {
				d.estimator.recordSlowHedge(c, r.target == hedged)
			}
			cancel()
			for ; running > 0; running-- {
				d.recordAttempt(c, p, <-results)
			}
			return last
		case <-check.C:
			checks.Go(func() { slowed <- d.hasSlowed(ctx, c, chosen, begun) })
		case slow := <-slowed:
			if !slow || p.sent+running >= c.Attempts || !d.estimator.mayHedgeSlow(c) {
				continue
			}
			if second, ok := d.hedge(ctx, c, p, latest, c.Goal, results); ok {
				running++
				latest, hedged = second, second.target
				overdue.Reset(second.overdueAfter())
			}
		case <-overdue.C:
			silent := latest.target
			checks.Go(func() { d.checkSilent(ctx, c, silent) })
			if p.sent+running >= c.Attempts {
				continue
			}
			if second, ok := d.hedge(ctx, c, p, latest, c.Deadline, results); ok {
				running++
				latest = second
				overdue.Reset(second.overdueAfter())
			}
		}
	}
	return last
}

// overdueAfter returns the time after which an answer is overdue.
func (c choice) overdueAfter() time.Duration {
	return max(minOverdueTime, time.Duration(overdueFactor*float64(c.estimate)))
}

// cutShort reports whether a ended because the deadline of c passed, its caller
// canceled it, or another attempt brought the answer.
func cutShort(ctx context.Context, c *Call, a Attempt) bool {
	if a.Response == nil {
		return ctx.Err() != nil
	}
	return a.Response.Status == http.StatusGatewayTimeout && time.Until(c.Deadline) <= expiryTolerance
}

// startAttempt sends c to the chosen target and delivers the result on results.
func (d *Dispatcher) startAttempt(ctx context.Context, c *Call, cause snipefront.Cause, chosen choice, results chan<- attemptResult) {
	d.Attempts.Attempted(c.Service, cause)
	counted := d.countBegin(c, chosen)
	d.countSent(c, chosen.target)
	begun := time.Now()
	go func() {
		a := d.send(ctx, c, chosen)
		results <- attemptResult{choice: chosen, Attempt: a, begun: begun, taken: time.Since(begun), cut: ctx.Err() != nil, counted: counted}
	}()
}

// hedge sends c to a second target if that target may answer by the given time and
// stays within busyShare. It returns that target and reports whether it did.
func (d *Dispatcher) hedge(ctx context.Context, c *Call, p *progress, first choice, by time.Time, results chan<- attemptResult) (choice, bool) {
	if !c.Idempotent || c.refusal() != nil || d.Answers.Scarce() || d.quarantined(c, first.target) != nil {
		return choice{}, false
	}
	avoid := map[string]bool{first.target.Server.Name: true}
	for n := range d.barred(c, p) {
		avoid[n] = true
	}
	base := d.estimator.baseLatency(c)
	second, ok := d.bestTarget(ctx, c, base, avoid)
	if !ok || !staysBelowBusy(second.snapshot) || d.yields(c, second) || time.Now().Add(d.estimator.medianLatency(c, second.estimate)).After(by) {
		return choice{}, false
	}
	if d.quarantined(c, second.target) != nil || !d.spend(c) || !d.reserve(time.Now(), c, base, second.target) {
		return choice{}, false
	}
	d.Counter.Retried(c.Service, snipefront.ReasonHedge)
	d.Logger.Info("answer overdue; request also sent to a second target", "request", c.ID, "service", c.Service, "server", first.target.Server.Name,
		"estimated", first.estimate, "second", second.target.Server.Name, "secondEstimated", second.estimate)
	d.startAttempt(ctx, c, snipefront.CauseHedge, second, results)
	return second, true
}

// send sends c to the chosen target, at which a request is reserved.
func (d *Dispatcher) send(ctx context.Context, c *Call, chosen choice) Attempt {
	begun := time.Now()
	a := d.Link.Send(ctx, c, chosen.target)
	taken := time.Since(begun)
	chosen.target.HearLimit(begun, a.Limit, limitSource(a))
	d.countBytes(c, chosen.target, a.Response)
	if a.Outcome == health.Answered {
		d.estimator.recordLatency(c, taken, chosen.estimate)
	}
	if cutShort(ctx, c, a) && taken < chosen.overdueAfter() {
		a.Outcome = health.Neutral
	}
	chosen.target.Done(time.Now(), a.Outcome)
	d.waiting.Wake(c.Service)
	if a.Complete {
		d.Poison.Answered(time.Now(), c.Fingerprint, poison.Answer{Server: chosen.target.Server.CrashKey(), Status: a.Response.Status, Signed: a.Signed})
	}
	if a.Response == nil && a.Verdict == snipefront.MayHaveRun {
		d.recordUnanswered(ctx, c, chosen.target, taken)
	}
	return a
}

// limitSource returns the kind of answer that a has.
func limitSource(a Attempt) quota.Source {
	if a.Verdict == snipefront.NotRun {
		return quota.Refusal
	}
	return quota.Answer
}
