package direct

import (
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/health"
)

const (
	// lightShare is the share of slots in use up to which a target is lightly used.
	lightShare = 0.5
	// maxQuotaWait bounds the time after which a request that was refused for rate limits
	// may come back.
	maxQuotaWait = 2 * time.Second
)

// priority returns the priority of c at now.
func (c *Call) priority(now time.Time, base time.Duration) health.Priority {
	return health.Priority{Rank: c.Rank, Late: !now.Add(base).Before(c.Goal)}
}

// lightlyLimited returns the targets of list whose rate limit has a request left for c and
// keeps them lightly used. They come first, since few instances may send there, each
// seldom.
func (d *Dispatcher) lightlyLimited(c *Call, list []*health.Target, base time.Duration) []*health.Target {
	var light []*health.Target
	now := time.Now()
	for _, t := range list {
		l := t.RateLimit()
		if l.Named && l.PerSecond*base.Seconds() <= lightShare*float64(t.Server.Slots) && t.HasQuota(now, c.priority(now, base)) {
			light = append(light, t)
		}
	}
	return light
}

// quotaWait returns the time until a rate limit has a request left for c, or until c may
// come back if this instance has no part of any, and whether c has to wait for rate limits
// alone.
func (d *Dispatcher) quotaWait(now time.Time, c *Call, base time.Duration, avoid map[string]bool) (wait time.Duration, limited bool) {
	sum, hasPart := 0.0, false
	priority := c.priority(now, base)
	wait = maxQuotaWait
	for _, t := range d.Targets.Candidates(c.Service) {
		if avoid[t.Server.Name] || !t.Available(now) {
			continue
		}
		l := t.RateLimit()
		if !l.Named || t.HasQuota(now, priority) {
			return 0, false
		}
		limited = true
		sum += l.PerSecond
		if own, ok := t.QuotaWait(now, priority); ok {
			wait, hasPart = min(wait, own), true
		}
	}
	if !hasPart && sum > 0 {
		wait = min(wait, time.Duration(float64(time.Second)/sum))
	}
	return wait, limited
}
