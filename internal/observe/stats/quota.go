package stats

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/snipefront/snipefront/internal/dispatch/grant"
)

// quotas holds the metrics of the quotas of workspaces. None has a label for the workspace,
// since there may be many.
type quotas struct {
	admitted *prometheus.CounterVec
	denied   *prometheus.CounterVec
	advance  prometheus.Counter
	calls    *prometheus.HistogramVec
}

func newQuotas() quotas {
	return quotas{
		admitted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipefront_quota_admitted_total",
			Help: "Requests that were admitted within the quota of their workspace, by what granted the token: owner, part or deputy.",
		}, []string{"source"}),
		denied: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipefront_quota_denied_total",
			Help: "Requests that were refused for the quota of their workspace, by cause: exhausted or unanswered.",
		}, []string{"cause"}),
		advance: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "snipefront_quota_advance_tokens_total",
			Help: "Tokens that this instance was granted in advance of requests.",
		}),
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "snipefront_quota_call_seconds",
			Help:    "Time of calls for tokens, by the instance asked (owner or deputy) and whether it answered.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 9),
		}, []string{"to", "answered"}),
	}
}

// QuotaAdmitted implements grant.Counter.
func (s *Stats) QuotaAdmitted(from grant.Source) {
	s.quotas.admitted.WithLabelValues(string(from)).Inc()
}

// QuotaDenied implements grant.Counter.
func (s *Stats) QuotaDenied(c grant.Cause) { s.quotas.denied.WithLabelValues(string(c)).Inc() }

// QuotaGranted implements grant.Counter.
func (s *Stats) QuotaGranted(tokens int) { s.quotas.advance.Add(float64(tokens)) }

// QuotaCalled implements grant.Counter.
func (s *Stats) QuotaCalled(deputy, answered bool, taken time.Duration) {
	to := "owner"
	if deputy {
		to = "deputy"
	}
	s.quotas.calls.WithLabelValues(to, strconv.FormatBool(answered)).Observe(taken.Seconds())
}

// ObserveQuotas exports the tokens that this instance holds in advance, and the number of
// workspaces whose buckets it holds.
func (s *Stats) ObserveQuotas(tokens, owned func() int) {
	s.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "snipefront_quota_tokens",
			Help: "Tokens that this instance holds in advance.",
		}, func() float64 { return float64(tokens()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "snipefront_quota_owned_workspaces",
			Help: "Workspaces whose token bucket this instance holds.",
		}, func() float64 { return float64(owned()) }),
	)
}
