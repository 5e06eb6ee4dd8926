// Package stats holds the Prometheus metrics of an instance.
package stats

import (
	"cmp"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/request/poison"
)

// Stats holds the metrics of requests, probes, suspects, control calls, quotas and rollouts.
type Stats struct {
	registry *prometheus.Registry
	answers  *prometheus.CounterVec
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	denied   *prometheus.CounterVec
	probes   *prometheus.CounterVec
	crossed  *prometheus.CounterVec
	crossing *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	cut      *prometheus.CounterVec
	unshared prometheus.Counter
	suspects *prometheus.CounterVec
	control  *prometheus.CounterVec
	changes  *prometheus.HistogramVec
	quotas   quotas
	// share is the share of the version of each rollout, and versions counts answers by version.
	share    *prometheus.GaugeVec
	versions *prometheus.CounterVec
}

// New returns metrics in a registry of their own, with those of the Go runtime and
// the process.
func New() *Stats {
	s := &Stats{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipefront_answers_total",
			Help: "Answers of backend servers by service and status.",
		}, []string{"service", "status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipefront_refusals_total",
			Help: "Final answers without a backend server's answer, by service, reason and verdict.",
		}, []string{"service", "reason", "verdict"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipefront_retries_total",
			Help: "Attempts that were repeated at another backend server or cell, by service and reason.",
		}, []string{"service", "reason"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipefront_requests_total",
			Help: "Requests of callers, by service.",
		}, []string{"service"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipefront_attempts_total",
			Help: "Attempts at backend servers, by service and cause.",
		}, []string{"service", "cause"}),
		denied: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipefront_retries_denied_total",
			Help: "Retries and hedges that the retry budget did not allow, by service.",
		}, []string{"service"}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipefront_probes_total",
			Help: "Probes of backend servers, by service and whether they were answered.",
		}, []string{"service", "answered"}),
		crossed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipefront_attempts_by_data_centre_total",
			Help: "Attempts at backend servers, by service and the data centre of the backend server: near, or its name.",
		}, []string{"service", "data_centre"}),
		crossing: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipefront_crossing_bytes_total",
			Help: "Bytes of the bodies of requests and answers between data centres, by service.",
		}, []string{"service"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "snipefront_request_seconds",
			Help:    "Time from the request's arrival to its answer, by service.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"service"}),
		cut: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipefront_unanswered_total",
			Help: "Requests that were read and whose connection ended before their answer, by cause: connection or stop.",
		}, []string{"cause"}),
		unshared: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "snipefront_suspects_unshared_total",
			Help: "Requests in flight on a crashed backend server that were not shared with an instance.",
		}),
		suspects: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipefront_suspects_total",
			Help: "Changes of what is known of requests that were in flight on crashed backend servers, by event.",
		}, []string{"event"}),
		control: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipefront_control_bytes_total",
			Help: "Bytes of the connections that carry the control service, by direction.",
		}, []string{"direction"}),
	}
	s.changes = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "snipefront_change_seconds",
		Help:    "Time to commit a change of the fleet, by kind and whether it was.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
	}, []string{"kind", "committed"})
	s.share = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "snipefront_version_share",
		Help: "Part of the requests that the version of the last rollout gets, by service and version.",
	}, []string{"service", "version"})
	s.versions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "snipefront_version_answers_total",
		Help: "Answers of backend servers while a rollout runs, by service, version and whether they were bad.",
	}, []string{"service", "version", "bad"})
	s.registry.MustRegister(s.changes, s.share, s.versions)
	s.registry.MustRegister(s.answers, s.refusals, s.retries, s.requests, s.attempts, s.denied, s.probes, s.crossed, s.crossing, s.latency, s.cut, s.unshared, s.suspects, s.control)
	s.quotas = newQuotas()
	s.registry.MustRegister(s.quotas.admitted, s.quotas.denied, s.quotas.advance, s.quotas.calls)
	s.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return s
}

// Gatherer returns all metrics for export.
func (s *Stats) Gatherer() prometheus.Gatherer {
	return s.registry
}

// ControlBytes returns the counters of the bytes that the control service receives
// and sends.
func (s *Stats) ControlBytes() (received, sent prometheus.Counter) {
	return s.control.WithLabelValues("received"), s.control.WithLabelValues("sent")
}

// Answered counts an answer of a backend server and records taken, the time from the
// arrival of the request to this answer.
func (s *Stats) Answered(service string, status int, taken time.Duration) {
	s.answers.WithLabelValues(service, strconv.Itoa(status)).Inc()
	s.latency.WithLabelValues(service).Observe(taken.Seconds())
}

// Refused counts a request that is answered with e instead of an answer from a
// backend server.
func (s *Stats) Refused(service string, e *snipefront.Error) {
	s.refusals.WithLabelValues(service, string(e.Reason), e.Verdict.String()).Inc()
}

// Kinds of bodies, for ObserveBodies.
const (
	RequestBodies = "request"
	AnswerBodies  = "answer"
)

// ObserveBodies exports held, the bytes that bodies of the kind take now.
func (s *Stats) ObserveBodies(kind string, held func() int64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        "snipefront_body_bytes",
		Help:        "Memory that is held for requests, and for answers until they are written, by kind: request or answer.",
		ConstLabels: prometheus.Labels{"kind": kind},
	}, func() float64 { return float64(held()) }))
}

// Unanswered counts a request that was read and whose connection ended before its answer.
func (s *Stats) Unanswered(cause string) { s.cut.WithLabelValues(cause).Inc() }

// Probed counts a probe of a backend server.
func (s *Stats) Probed(service string, answered bool) {
	s.probes.WithLabelValues(service, strconv.FormatBool(answered)).Inc()
}

// Crossed counts an attempt by the data centre of its backend server, which is empty if it
// is the one of this instance.
func (s *Stats) Crossed(service, dataCentre string) {
	s.crossed.WithLabelValues(service, cmp.Or(dataCentre, "near")).Inc()
}

// CrossedBytes counts bytes between data centres.
func (s *Stats) CrossedBytes(service string, bytes int) {
	s.crossing.WithLabelValues(service).Add(float64(bytes))
}

// Proposed records the time that a proposed change of the fleet took, and whether it
// was committed.
func (s *Stats) Proposed(kind string, committed bool, taken time.Duration) {
	s.changes.WithLabelValues(kind, strconv.FormatBool(committed)).Observe(taken.Seconds())
}

// VersionShare implements shift.Metrics. Only the version of the last rollout is exported.
func (s *Stats) VersionShare(service, version string, share float64) {
	s.share.DeletePartialMatch(prometheus.Labels{"service": service})
	s.share.WithLabelValues(service, version).Set(share)
}

// AnsweredBy implements canary.Metrics.
func (s *Stats) AnsweredBy(service, version string, bad bool) {
	s.versions.WithLabelValues(service, version, strconv.FormatBool(bad)).Inc()
}

// Retried counts an attempt that is retried at another backend server or cell.
func (s *Stats) Retried(service string, reason snipefront.Reason) {
	s.retries.WithLabelValues(service, string(reason)).Inc()
}

// Received implements snipefront.AttemptCounter.
func (s *Stats) Received(service string) {
	s.requests.WithLabelValues(service).Inc()
}

// Attempted implements snipefront.AttemptCounter.
func (s *Stats) Attempted(service string, c snipefront.Cause) {
	s.attempts.WithLabelValues(service, string(c)).Inc()
}

// Denied implements snipefront.AttemptCounter.
func (s *Stats) Denied(service string) {
	s.denied.WithLabelValues(service).Inc()
}

// Suspect implements poison.Counter.
func (s *Stats) Suspect(e poison.Event) {
	s.suspects.WithLabelValues(string(e)).Inc()
}

// SuspectsUnshared counts suspects that were dropped before all instances received
// them.
func (s *Stats) SuspectsUnshared(records int) {
	s.unshared.Add(float64(records))
}
