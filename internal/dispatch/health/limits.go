package health

import (
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
)

// HearLimit records what an answer of t says of its rate limit. The request or load
// probe was sent at the given time.
func (t *Target) HearLimit(sent time.Time, said quota.Statement, source quota.Source) {
	if !said.Readable {
		return
	}
	before, changed := t.quota.Hear(time.Now(), said.RateLimit, source)
	if changed && t.logger != nil {
		t.logger.Info("rate limit of backend server changed", "server", t.Server.Name, "service", t.Server.Service, "incarnation", t.Server.Incarnation,
			"named", said.Named, "limit", said.PerSecond, "source", source, "answerAfter", time.Since(sent), "wasNamed", before.Named, "previous", before.PerSecond)
	}
}

// RateLimit returns the rate limit of t as this instance knows it.
func (t *Target) RateLimit() snipefront.RateLimit { return t.quota.State().RateLimit }

// LogLimits logs, for each backend server that names a rate limit, what this instance
// has sent there since the last call, and how often it has passed over it for the limit.
// It logs nothing where both are zero.
func (s *Set) LogLimits() {
	c := s.current.Load()
	if c == nil || s.Logger == nil {
		return
	}
	for name, t := range c.byName {
		q := t.quota.TakeCounts()
		if !q.Named || q.Counts == (quota.Counts{}) {
			continue
		}
		s.Logger.Info("requests at a rate limit", "server", name, "service", t.Server.Service, "limit", q.PerSecond, "source", q.Source,
			"age", time.Since(q.Learned).Round(time.Millisecond), "requests", q.Counts.Requests, "probes", q.Counts.Probes, "skipped", q.Counts.Skipped)
	}
}
