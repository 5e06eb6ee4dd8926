package status_test

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/observe/stats"
	"github.com/snipefront/snipefront/internal/observe/status"
)

// TestServesReportAndMetrics guards against a report that loses fields on the way, and
// against metrics that differ from it.
func TestServesReportAndMetrics(t *testing.T) {
	want := status.Report{
		Instance: "e1", Role: "edge", DataCentre: "dc1", Version: 7, Index: 12, Source: "c1:1", Heard: time.Now().UTC(),
		Servers: []status.Server{
			{Name: "a", Service: "balance", State: status.Ready},
			{Name: "b", Service: "balance", State: status.Ready},
			{Name: "c", Service: "balance", State: status.Draining},
			{Name: "d", Service: "charge", State: status.Ready, Limit: &status.Limit{PerSecond: 1.2, Source: "answer", Learned: time.Now().UTC()}},
		},
	}
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	s := httptest.NewServer(status.Handler(prometheus.NewRegistry(), func() status.Report { return want }, logger))
	defer s.Close()
	var got status.Report
	if err := json.Unmarshal([]byte(get(t, s.URL+status.Path)), &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("the report is %+v, want %+v", got, want)
	}
	text := get(t, s.URL+status.MetricsPath)
	for _, line := range []string{
		"snipefront_configuration_version 7",
		"snipefront_fleet_index 12",
		"snipefront_source_known 1",
		`snipefront_backend_servers{service="balance",state="ready"} 2`,
		`snipefront_backend_servers{service="balance",state="draining"} 1`,
		"snipefront_source_age_seconds ",
		`snipefront_rate_limit{server="d",service="charge"} 1.2`,
	} {
		if !strings.Contains(text, line) {
			t.Errorf("no %q in the metrics:\n%s", line, text)
		}
	}
}

// TestOwnMetricsComeFirst guards against a page whose first part, which is all that some
// monitoring keeps, has only metrics of the runtime.
func TestOwnMetricsComeFirst(t *testing.T) {
	counters := stats.New()
	counters.Attempted("balance", snipefront.CauseRetry)
	counters.Answered("balance", http.StatusOK, time.Second)
	s := httptest.NewServer(status.Handler(counters.Gatherer(), func() status.Report { return status.Report{} }, slog.New(slog.NewTextHandler(io.Discard, nil))))
	defer s.Close()
	text := get(t, s.URL+status.MetricsPath)
	last := -1
	for _, name := range []string{"snipefront_attempts_total{", "snipefront_fleet_index ", "snipefront_request_seconds_bucket{", "\ngo_info{"} {
		at := strings.Index(text, name)
		if at <= last {
			t.Errorf("%q stands at %d of the page, want it after %d", name, at, last)
		}
		last = at
	}
}

func get(t *testing.T, url string) string {
	t.Helper()
	r, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}
