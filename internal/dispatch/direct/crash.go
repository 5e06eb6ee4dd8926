package direct

import (
	"context"
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
// t has crashed and c is a suspect. If t was silent to the end, a later change of the fleet
// may show that it had crashed.
func (d *Dispatcher) recordUnanswered(ctx context.Context, c *Call, t *health.Target, taken time.Duration) {
	if d.Poison == nil || d.isLeaving(t) {
		return
	}
	now := time.Now()
	silent := ctx.Err() != nil
	if silent && (taken < minOverdueTime || t.HeardSince(now.Add(-silentTime))) {
		return
	}
	d.Poison.ConnectionBroke(now, c.Fingerprint, t.Server.CrashKey())
	if !silent && !d.Link.Up(ctx, t) && ctx.Err() == nil {
		d.recordCrash(c, t)
	}
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
	return current != nil && current.Server.Draining
}

// quarantined returns the refusal of c if it is quarantined, and nil otherwise. It logs
// each decision on a suspect with what decided it.
func (d *Dispatcher) quarantined(c *Call) *snipefront.Error {
	now := time.Now()
	admission, left := d.Poison.Admit(now, c.Fingerprint)
	if admission == poison.Clear {
		return nil
	}
	evidence, _ := d.Poison.Evidence(now, c.Fingerprint)
	if admission == poison.Quarantined {
		d.Logger.Info("quarantined request refused", "request", c.ID, "fingerprint", c.Fingerprint, "retryAfter", left, "evidence", evidence)
		return poison.Refusal(left)
	}
	d.Logger.Info("suspect admitted", "request", c.ID, "fingerprint", c.Fingerprint, "evidence", evidence)
	return nil
}
