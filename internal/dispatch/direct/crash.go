package direct

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/request/poison"
)

// silentTime is the time without an answer to a load probe after which a target whose
// answer is overdue may have gone silent.
const silentTime = minOverdueTime / 2

// recordUnanswered records that an attempt at t, which took the given time, ended without
// an answer though c may have run there. If the connection broke and t accepts no new one,
// t has crashed and c is a suspect. Otherwise t may still run c, also where nobody waits for
// the answer any more: later checks of t, or a change of the fleet, may show that it crashed.
func (d *Dispatcher) recordUnanswered(ctx context.Context, c *Call, t *health.Target, taken time.Duration) {
	if d.Poison == nil {
		return
	}
	if d.isLeaving(t) {
		d.logUntied(c, t, taken, "draining")
		return
	}
	d.Poison.ConnectionBroke(time.Now(), c.Fingerprint, t.Server.CrashKey())
	if ctx.Err() == nil && !d.Link.Up(ctx, t) && ctx.Err() == nil {
		d.recordCrash(c, t)
		return
	}
	d.Checks.add(t)
}

// logUntied logs that an attempt at t has ended without an answer, and why no crash of t is
// tied to c.
func (d *Dispatcher) logUntied(c *Call, t *health.Target, taken time.Duration, why string) {
	d.Logger.Info("attempt without an answer is tied to no crash", "request", c.ID, "fingerprint", c.Fingerprint, "server", t.Server.Name,
		"incarnation", t.Server.Incarnation, "why", why, "taken", taken)
}

// checkSilent checks a target whose answer to c is overdue. If it has gone silent and
// accepts no new connection, it has crashed and c is a suspect.
func (d *Dispatcher) checkSilent(ctx context.Context, c *Call, t *health.Target) {
	if d.Poison == nil || d.isLeaving(t) || t.HeardSince(time.Now().Add(-silentTime)) {
		return
	}
	if !d.Link.Up(ctx, t) && ctx.Err() == nil {
		d.Poison.ConnectionBroke(time.Now(), c.Fingerprint, t.Server.CrashKey())
		d.recordCrash(c, t)
	}
}

// recordCrash records that t crashed with c in flight.
func (d *Dispatcher) recordCrash(c *Call, t *health.Target) {
	d.Logger.Info("backend server crashed with the request in flight; the request is a suspect", "request", c.ID, "server", t.Server.Name,
		"incarnation", t.Server.Incarnation, "fingerprint", c.Fingerprint)
	d.Poison.Crashed(time.Now(), t.Server.CrashKey())
}

// isLeaving reports whether t drains, so that its end is planned.
func (d *Dispatcher) isLeaving(t *health.Target) bool {
	current, _ := d.Targets.Current(t.Server.Name)
	return current != nil && current.Draining()
}

// trialRetryAfter is the time after which a caller may resend a request whose trial run
// another instance has been granted, or that the control quorum did not grant.
const trialRetryAfter = 500 * time.Millisecond

// admit returns nil if c may be sent, and otherwise its refusal. If c is quarantined, it may
// be sent to targets whose software has answered it. If there are none and a trial run is
// due, admit asks for it.
func (d *Dispatcher) admit(ctx context.Context, c *Call, p *progress) *snipefront.Error {
	e := d.quarantined(c, nil)
	if e == nil || p.trial || d.hasProven(c) {
		return nil
	}
	now := time.Now()
	if admission, _ := d.admission(now, c); admission != poison.Trial || d.Trials == nil || p.verdict != snipefront.NotRun {
		return e
	}
	evidence, _ := d.Poison.Evidence(now, c.Fingerprint)
	p.trial = d.Trials.Grant(ctx, c.Fingerprint, evidence.Trials+1)
	p.granting += time.Since(now)
	if !p.trial {
		return e
	}
	d.Logger.Info("quarantined request admitted for a trial run", "request", c.ID, "fingerprint", c.Fingerprint, "evidence", evidence)
	return nil
}

// hasProven reports whether there is a target whose software has answered the suspect c.
func (d *Dispatcher) hasProven(c *Call) bool {
	return slices.ContainsFunc(d.Targets.Candidates(c.Service), func(t *health.Target) bool { return d.isProven(c, t) })
}

// isProven reports whether the software of t has answered the suspect c.
func (d *Dispatcher) isProven(c *Call, t *health.Target) bool {
	return t != nil && d.Poison.Proven(c.Fingerprint, t.Server.CrashKey().Software())
}

// barred returns avoid with the targets to which c may not be sent: if c is quarantined,
// those whose software has not answered it. A trial run may be sent to all.
func (d *Dispatcher) barred(c *Call, p *progress) map[string]bool {
	if admission, _ := d.Poison.Admit(time.Now(), c.Fingerprint); admission < poison.Quarantined || p.trial {
		return d.withOtherVersions(c, p.avoid)
	}
	avoid := maps.Clone(p.avoid)
	for _, t := range d.Targets.Candidates(c.Service) {
		if !d.isProven(c, t) {
			avoid[t.Server.Name] = true
		}
	}
	return d.withOtherVersions(c, avoid)
}

// quarantined returns the refusal of c if it is quarantined and may not be sent to t, which
// may be nil for any target, and nil otherwise. It logs each decision on a suspect with what
// decided it.
func (d *Dispatcher) quarantined(c *Call, t *health.Target) *snipefront.Error {
	now := time.Now()
	admission, left := d.admission(now, c)
	if admission == poison.Clear || admission >= poison.Quarantined && d.isProven(c, t) {
		return nil
	}
	evidence, _ := d.Poison.Evidence(now, c.Fingerprint)
	if admission == poison.Alone {
		d.Logger.Info("suspect admitted", "request", c.ID, "fingerprint", c.Fingerprint, "evidence", evidence)
		return nil
	}
	d.Logger.Info("request is quarantined", "request", c.ID, "fingerprint", c.Fingerprint, "trialDue", admission == poison.Trial, "retryAfter", left, "evidence", evidence)
	return poison.Refusal(left)
}

// admission returns the admission of c and, if c is quarantined, after what time its caller
// may resend it.
func (d *Dispatcher) admission(now time.Time, c *Call) (poison.Admission, time.Duration) {
	admission, left := d.Poison.Admit(now, c.Fingerprint)
	if admission == poison.Trial {
		return admission, trialRetryAfter
	}
	return admission, left
}
