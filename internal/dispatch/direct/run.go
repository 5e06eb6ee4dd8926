package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/health"
)

const (
	// overdueFactor is the multiple of the estimated time after which an answer is
	// overdue, and overdueFloor the least such time.
	overdueFactor = 2.5
	overdueFloor  = 150 * time.Millisecond
	// expirySlack is how long before the deadline a backend server may say that the
	// time it was given is over.
	expirySlack = 20 * time.Millisecond
)

// ended is an attempt that has ended.
type ended struct {
	choice
	Attempt
	taken time.Duration
}

// run sends c to t. Where the answer of an idempotent call is overdue, it is sent to
// a second target beside the first; the first good answer ends both. Each attempt
// is noted in p.
func (d *Dispatcher) run(ctx context.Context, c *Call, p *progress, t choice) Attempt {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan ended, 2)
	d.start(ctx, c, t, results)
	running := 1
	overdue := time.NewTimer(t.overdueAfter())
	defer overdue.Stop()
	var last Attempt
	for running > 0 {
		select {
		case r := <-results:
			running--
			last = r.Attempt
			d.note(c, p, r)
			if last.Response == nil || isFailure(last.Response) {
				continue
			}
			cancel()
			for ; running > 0; running-- {
				d.note(c, p, <-results)
			}
			return last
		case <-overdue.C:
			if d.hedge(ctx, c, p, t, results) {
				running++
			}
		}
	}
	return last
}

// overdueAfter returns the time after which an answer is overdue.
func (c choice) overdueAfter() time.Duration {
	return max(overdueFloor, time.Duration(overdueFactor*float64(c.takes)))
}

// expired returns whether a ended because the time for c was over, or because its
// caller had left or another attempt had brought the answer.
func expired(ctx context.Context, c *Call, a Attempt) bool {
	if a.Response == nil {
		return ctx.Err() != nil
	}
	return a.Response.Status == http.StatusGatewayTimeout && time.Until(c.Deadline) <= expirySlack
}

// start sends c to t and reports the end on results.
func (d *Dispatcher) start(ctx context.Context, c *Call, t choice, results chan<- ended) {
	begun := time.Now()
	go func() {
		a := d.send(ctx, c, t)
		results <- ended{choice: t, Attempt: a, taken: time.Since(begun)}
	}()
}

// hedge sends c to a second target where that may bring an answer sooner, and
// returns whether it did.
func (d *Dispatcher) hedge(ctx context.Context, c *Call, p *progress, t choice, results chan<- ended) bool {
	if !c.Idempotent || p.sent+2 > c.Attempts {
		return false
	}
	avoid := map[string]bool{t.target.Server.Name: true}
	for n := range p.avoid {
		avoid[n] = true
	}
	u, ok := d.best(ctx, c, d.times.unit(c), avoid)
	if !ok || !hasFree(u.sight) || time.Now().Add(u.takes).After(c.Deadline) {
		return false
	}
	if !d.Budget.Spend() || !d.reserve(time.Now(), u.target) {
		return false
	}
	d.Counter.Retried(c.Service, snipefront.ReasonHedge)
	d.Logger.Info("answer overdue, sent a second time", "request", c.ID, "service", c.Service, "server", t.target.Server.Name,
		"estimated", t.takes, "second", u.target.Server.Name, "secondEstimated", u.takes)
	d.start(ctx, c, u, results)
	return true
}

// send sends c to the chosen target, at which a request is reserved.
func (d *Dispatcher) send(ctx context.Context, c *Call, t choice) Attempt {
	begun := time.Now()
	a := d.Link.Send(ctx, c, t.target)
	taken := time.Since(begun)
	if a.Outcome == health.Answered {
		d.times.learn(c, taken, t.takes)
	}
	if expired(ctx, c, a) && taken < t.overdueAfter() {
		a.Outcome = health.Neutral
	}
	t.target.Done(time.Now(), a.Outcome)
	if a.Response != nil {
		d.Poison.Answered(c.Fingerprint)
	}
	if a.Reason == snipefront.ReasonBrokenAnswer && ctx.Err() == nil {
		d.suspect(ctx, c, t.target)
	}
	return a
}

// suspect finds out whether t fell under c.
func (d *Dispatcher) suspect(ctx context.Context, c *Call, t *health.Target) {
	if d.Poison == nil {
		return
	}
	s := ServerOf(t.Server)
	d.Poison.Broke(time.Now(), c.Fingerprint, s)
	if d.Link.Up(ctx, t) || ctx.Err() != nil {
		return
	}
	d.Logger.Info("backend server fell", "request", c.ID, "server", s.Name, "incarnation", s.Incarnation, "fingerprint", c.Fingerprint)
	d.Poison.Crashed(time.Now(), s)
}
