// Package status serves the state of an instance as the instance knows it: the version
// of its configuration, the last change of the fleet that it has applied, the control
// instance that it gets changes from, and the state of each backend server.
//
// A Report is served as JSON and as metrics, beside the other metrics.
package status

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"
)

// The paths that Handler serves.
const (
	MetricsPath = "/metrics"
	Path        = "/status"
)

// State says whether a backend server receives requests, and if not, why.
type State string

// The states.
const (
	// Ready means that it receives requests.
	Ready State = "ready"
	// Cold means that it is warming up and receives only as many requests as its
	// warm-up allows.
	Cold State = "cold"
	// Draining means that it has announced its stop and accepts no new requests.
	Draining State = "draining"
	// Out means that its data centre is out of service.
	Out State = "out"
	// Unreachable means that it could not be reached recently, and that no request is
	// sent to it for now.
	Unreachable State = "unreachable"
	// Paused means that it has asked this instance to send nothing for a time.
	Paused State = "paused"
	// Faulty means that many of its recent requests failed. Others are preferred, so
	// it receives only what they have no capacity for.
	Faulty State = "faulty"
	// Unhealthy means that it reports itself as unhealthy. Others are preferred, as
	// with Faulty.
	Unhealthy State = "ill"
)

// Report is the state of an instance and of the fleet as the instance knows it.
type Report struct {
	Instance   string
	Role       string
	DataCentre string
	// Version is the version of the configuration that the instance has applied, or 0
	// if there is none.
	Version uint64
	// Index is the index of the last change of the fleet that the instance has applied.
	Index uint64
	// Source is the address of the control instance that an edge instance follows, or
	// the name of the leader that a control instance knows. It is empty if unknown.
	Source string
	// Heard is the time of the last answer from Source. It is zero at a control
	// instance.
	Heard time.Time
	// Term is the term of the leader. It is zero at an edge instance.
	Term uint64
	// Members are the replicas of the log. It is empty at an edge instance.
	Members []string `json:",omitempty"`
	Servers []Server
}

// Server is a backend server with its state as the instance knows it.
type Server struct {
	Name        string
	Service     string
	DataCentre  string
	Address     string
	Incarnation uint64
	State       State
	// Limit is the rate limit that it names, or nil if it names none.
	Limit *Limit `json:",omitempty"`
}

// Limit is the rate limit that a backend server names for all instances together.
type Limit struct {
	// PerSecond is in requests per second.
	PerSecond float64
	// Source is the kind of answer from which it is known, and Shared is true if another
	// instance received that answer.
	Source string
	Shared bool `json:",omitempty"`
	// Learned is when the instance learned it.
	Learned time.Time
	// Part is what the instance may send there, in requests per second.
	Part float64
}

// Handler serves the report at Path, and at MetricsPath the metrics of g together with
// those made from the report.
func Handler(g prometheus.Gatherer, report func() Report, logger *slog.Logger) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{report: report})
	r := mux.NewRouter()
	r.Handle(MetricsPath, promhttp.HandlerFor(inOrder(prometheus.Gatherers{g, registry}), promhttp.HandlerOpts{}))
	r.HandleFunc(Path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(report()); err != nil {
			logger.Warn("cannot send status", "error", err)
		}
	})
	return r
}

// inOrder returns a gatherer of the metrics of g that starts with those of this
// program and ends with those of the runtime and the process: a reader that cuts long
// pages off keeps the former.
func inOrder(g prometheus.Gatherer) prometheus.Gatherer {
	return prometheus.GathererFunc(func() ([]*dto.MetricFamily, error) {
		families, err := g.Gather()
		slices.SortStableFunc(families, func(a, b *dto.MetricFamily) int { return order(a) - order(b) })
		return families, err
	})
}

// order returns the rank of f on the page: first the counters and gauges of this
// program, then its histograms, which are long, then all others.
func order(f *dto.MetricFamily) int {
	switch {
	case !strings.HasPrefix(f.GetName(), "snipefront_"):
		return 2
	case f.GetType() == dto.MetricType_HISTOGRAM:
		return 1
	}
	return 0
}

// collector implements prometheus.Collector.
type collector struct{ report func() Report }

var (
	versionMetric = prometheus.NewDesc("snipefront_configuration_version", "The operator's version of the configuration in force.", nil, nil)
	indexMetric   = prometheus.NewDesc("snipefront_fleet_index", "The index of the last change of the fleet that is held.", nil, nil)
	termMetric    = prometheus.NewDesc("snipefront_leader_term", "The term of the leader, at a control instance.", nil, nil)
	sourceMetric  = prometheus.NewDesc("snipefront_source_known", "1 where a control instance is followed, or a leader known.", nil, nil)
	ageMetric     = prometheus.NewDesc("snipefront_source_age_seconds", "Time since the control instance that is followed last answered.", nil, nil)
	limitMetric   = prometheus.NewDesc("snipefront_rate_limit", "Requests per second that a backend server takes from all instances, where it names a limit. The lowest 20 only.", []string{"service", "server"}, nil)
	serversMetric = prometheus.NewDesc("snipefront_backend_servers", "Backend servers by service and state.", []string{"service", "state"}, nil)
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{versionMetric, indexMetric, termMetric, sourceMetric, ageMetric, serversMetric, limitMetric} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	r := c.report()
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	gauge(versionMetric, float64(r.Version))
	gauge(indexMetric, float64(r.Index))
	gauge(termMetric, float64(r.Term))
	known := 0.0
	if r.Source != "" {
		known = 1
	}
	gauge(sourceMetric, known)
	if !r.Heard.IsZero() {
		gauge(ageMetric, time.Since(r.Heard).Seconds())
	}
	type key struct {
		service string
		state   State
	}
	counts := map[key]int{}
	for _, s := range r.Servers {
		counts[key{s.Service, s.State}]++
	}
	for k, n := range counts {
		gauge(serversMetric, float64(n), k.service, string(k.state))
	}
	for _, s := range lowestLimits(r.Servers) {
		gauge(limitMetric, s.Limit.PerSecond, s.Service, s.Name)
	}
}

// maxLimitMetrics bounds the backend servers whose limits are exported as metrics, so
// that the page stays short. The report has all.
const maxLimitMetrics = 20

// lowestLimits returns the backend servers of list with the lowest limits,
// maxLimitMetrics at most.
func lowestLimits(list []Server) []Server {
	var limited []Server
	for _, s := range list {
		if s.Limit != nil {
			limited = append(limited, s)
		}
	}
	slices.SortFunc(limited, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Limit.PerSecond, b.Limit.PerSecond), cmp.Compare(a.Name, b.Name))
	})
	return limited[:min(len(limited), maxLimitMetrics)]
}
