// Package status shows what an instance of a deployment believes: the configuration
// in force, how far it has followed the fleet, who it heard that from, and which
// backend servers get no requests for what reason.
//
// A Report is served as JSON beside the metrics, and as metrics of its own.
package status

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// The paths that Handler serves.
const (
	MetricsPath = "/metrics"
	Path        = "/status"
)

// State says what a backend server gets.
type State string

// The states.
const (
	// Ready gets requests.
	Ready State = "ready"
	// Cold gets the few that it bears.
	Cold State = "cold"
	// Draining has said that it leaves.
	Draining State = "draining"
	// Out is in a data centre out of service.
	Out State = "out"
	// Unreachable did not answer a look lately.
	Unreachable State = "unreachable"
	// Faulty failed requests lately, and gets what others can't take.
	Faulty State = "faulty"
	// Unhealthy says so itself, and gets what others can't take.
	Unhealthy State = "ill"
)

// Report is what an instance believes.
type Report struct {
	Instance   string
	Role       string
	DataCentre string
	// Version is that of the configuration in force. Zero is none.
	Version uint64
	// Index is that of the last change of the fleet that the instance holds.
	Index uint64
	// Source is the control instance that an edge follows, or the leader that a
	// control instance knows. Empty is none.
	Source string
	// Heard is when Source last answered. It is zero at a control instance.
	Heard time.Time
	// Term is that of the leader. It is zero at an edge.
	Term uint64
	// Members are the replicas of the log. Empty at an edge.
	Members []string `json:",omitempty"`
	Servers []Server
}

// Server is a backend server as an instance sees it.
type Server struct {
	Name        string
	Service     string
	DataCentre  string
	Address     string
	Incarnation uint64
	State       State
}

// Handler serves the metrics of g, the report, and the report as metrics.
func Handler(g prometheus.Gatherer, report func() Report, logger *slog.Logger) http.Handler {
	own := prometheus.NewRegistry()
	own.MustRegister(&collector{report: report})
	r := mux.NewRouter()
	r.Handle(MetricsPath, promhttp.HandlerFor(prometheus.Gatherers{g, own}, promhttp.HandlerOpts{}))
	r.HandleFunc(Path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(report()); err != nil {
			logger.Warn("status not sent", "error", err)
		}
	})
	return r
}

// collector implements prometheus.Collector.
type collector struct{ report func() Report }

var (
	versionMetric = prometheus.NewDesc("snipefront_configuration_version", "The operator's version of the configuration in force.", nil, nil)
	indexMetric   = prometheus.NewDesc("snipefront_fleet_index", "The index of the last change of the fleet that is held.", nil, nil)
	termMetric    = prometheus.NewDesc("snipefront_leader_term", "The term of the leader, at a control instance.", nil, nil)
	sourceMetric  = prometheus.NewDesc("snipefront_source_known", "1 where a control instance is followed, or a leader known.", nil, nil)
	ageMetric     = prometheus.NewDesc("snipefront_source_age_seconds", "Time since the control instance that is followed last answered.", nil, nil)
	serversMetric = prometheus.NewDesc("snipefront_backend_servers", "Backend servers by service and state.", []string{"service", "state"}, nil)
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{versionMetric, indexMetric, termMetric, sourceMetric, ageMetric, serversMetric} {
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
}
