package health

import (
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
)

// sameLimitShare is the share by which a limit may differ from the one that was shared
// last without being shared anew.
const sameLimitShare = 0.05

// HearLimit records what an answer of t says of its rate limit, and shares it unless the
// registration of t says the same. The request or load probe was sent at the given time.
func (t *Target) HearLimit(sent time.Time, said quota.Statement, source quota.Source) {
	if !said.Readable {
		return
	}
	now := time.Now()
	before, changed := t.quota.Hear(now, sent, said.RateLimit, source)
	if changed {
		t.set.updatePart(now, t)
		t.logLimit(said.RateLimit, source, before, now.Sub(sent))
	}
	if known := t.quota.State(); t.set.Sharer != nil && !known.Shared && !isSameLimit(known.RateLimit, t.Server.Limit) {
		t.set.Sharer.ShareLimit(t.Server, known.RateLimit, known.Source)
	}
}

// learnLimit records the limit in the registration of t, which another instance may have
// shared.
func (t *Target) learnLimit(now time.Time) {
	before := t.quota.State()
	if !t.quota.Learn(now, t.Server.Limit, quota.Source(t.Server.LimitSource)) {
		return
	}
	t.set.updatePart(now, t)
	t.logLimit(t.Server.Limit, quota.Source(t.Server.LimitSource), before, 0)
}

func (t *Target) logLimit(l snipefront.RateLimit, source quota.Source, before quota.State, answerAfter time.Duration) {
	if t.set.Logger == nil {
		return
	}
	known := t.quota.State()
	t.set.Logger.Info("rate limit of backend server changed", "server", t.Server.Name, "service", t.Server.Service, "incarnation", t.Server.Incarnation,
		"named", l.Named, "limit", l.PerSecond, "source", source, "shared", known.Shared, "part", known.Part, "answerAfter", answerAfter,
		"wasNamed", before.Named, "previous", before.PerSecond)
}

// isSameLimit reports whether a and b differ too little to share one after the other.
func isSameLimit(a, b snipefront.RateLimit) bool {
	return a.Named == b.Named && max(a.PerSecond, b.PerSecond)-min(a.PerSecond, b.PerSecond) <= sameLimitShare*min(a.PerSecond, b.PerSecond)
}

// updatePart sets the part of the rate limit of t that this instance may use.
func (s *Set) updatePart(now time.Time, t *Target) {
	s.parts.Lock()
	defer s.parts.Unlock()
	c := s.current.Load()
	l := t.quota.State().RateLimit
	if c == nil || !l.Named {
		return
	}
	t.quota.SetPart(now, quota.Part(l.PerSecond, c.edges, s.Self, snipefront.Cell{Service: t.Server.Name, DataCentre: t.Server.DataCentre}))
}

// RateLimit returns the rate limit of t as this instance knows it.
func (t *Target) RateLimit() snipefront.RateLimit { return t.quota.State().RateLimit }

// Priority is the place of a request among those that want the same target.
type Priority struct {
	// Rank is the rank of the route. 0 is the most important.
	Rank int
	// Late is true if the request can't meet its latency goal any more.
	Late bool
}

// HasQuota reports whether Reserve would admit a request by the rate limit.
func (t *Target) HasQuota(now time.Time, p Priority) bool { return t.quota.Allows(now, t.urgency(p)) }

// QuotaWait returns the time until HasQuota is true, and false if that is never.
func (t *Target) QuotaWait(now time.Time, p Priority) (time.Duration, bool) {
	return t.quota.Wait(now, t.urgency(p))
}

// SkipForQuota counts a choice that passed over t because of its rate limit.
func (t *Target) SkipForQuota() { t.quota.Skip() }

// ChargeProbe counts a probe of t that can't wait for the rate limit.
func (t *Target) ChargeProbe(now time.Time) { t.quota.ChargeProbe(now) }

// urgency returns the urgency of a request among those for the service. A late request is
// among the least urgent, since its answer has lost most of its value.
func (t *Target) urgency(p Priority) quota.Urgency {
	if p.Late {
		return 1
	}
	lower := 0
	for _, r := range t.ranks {
		if r < p.Rank {
			lower++
		}
	}
	return quota.Urgency(float64(lower) / float64(max(1, len(t.ranks)-1)))
}

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
		s.Logger.Info("requests at a rate limit", "server", name, "service", t.Server.Service, "limit", q.PerSecond, "source", q.Source, "shared", q.Shared,
			"age", time.Since(q.Learned).Round(time.Millisecond), "part", q.Part,
			"requests", q.Counts.Requests, "probes", q.Counts.Probes, "skipped", q.Counts.Skipped)
	}
}
