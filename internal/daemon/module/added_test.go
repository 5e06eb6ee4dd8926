package module_test

import (
	"flag"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/stand/timing"
)

var (
	targetsFlag = flag.String("targets", "", "BenchmarkAddedLatency: name=host:port, comma separated; the first is the direct one. If empty, an instance is started in this process")
	ratesFlag   = flag.String("rates", "300,1500", "BenchmarkAddedLatency: calls per second to each target, comma separated")
	lengthFlag  = flag.Duration("length", 5*time.Second, "BenchmarkAddedLatency: duration of one measurement")
	pidsFlag    = flag.String("pids", "", "BenchmarkAddedLatency: name=PID of processes whose processor time per call is reported, comma separated")
)

// namedValue is one name=value entry of a flag.
type namedValue struct{ name, value string }

func parseNamed(list string) []namedValue {
	var all []namedValue
	for _, s := range strings.FieldsFunc(list, func(r rune) bool { return r == ',' }) {
		n, v, _ := strings.Cut(s, "=")
		all = append(all, namedValue{n, v})
	}
	return all
}

// BenchmarkAddedLatency measures in an open loop how much latency an instance adds to a
// direct call. Run it with -benchtime 1x.
func BenchmarkAddedLatency(b *testing.B) {
	list := parseNamed(*targetsFlag)
	if len(list) == 0 {
		through, direct := fleet(b)
		list = []namedValue{{"direct", hostOf(direct)}, {"owner", hostOf(through)}}
	}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, rate := range strings.Split(*ratesFlag, ",") {
			b.Run(method+"/rate="+rate, func(b *testing.B) {
				r, err := strconv.ParseFloat(rate, 64)
				if err != nil {
					b.Fatal(err)
				}
				for range b.N {
					measure(b, list, &timing.Measurement{Method: method, Rate: r, Length: *lengthFlag})
				}
			})
		}
	}
}

func hostOf(url string) string {
	h, _, _ := strings.Cut(strings.TrimPrefix(url, "http://"), "/")
	return h
}

func measure(b *testing.B, list []namedValue, m *timing.Measurement) {
	for _, n := range list {
		m.Addresses = append(m.Addresses, n.value)
	}
	processes := parseNamed(*pidsFlag)
	before := processorTimes(b, processes)
	targets, calls := m.Run(b.Context())
	after := processorTimes(b, processes)
	for i, t := range targets {
		report(b, list[i].name, t, targets[0])
	}
	for i, p := range processes {
		b.ReportMetric(float64((after[i]-before[i]).Microseconds())/float64(calls), p.name+"-cpu-us/call")
	}
}

func report(b *testing.B, name string, t, direct *timing.Target) {
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 50}, {"p99", 99}, {"p99.9", 99.9}} {
		v, d := t.Latencies.ValueAtQuantile(q.at), direct.Latencies.ValueAtQuantile(q.at)
		b.ReportMetric(float64(v), name+"-"+q.name+"-us")
		if t != direct {
			b.ReportMetric(float64(v-d), name+"-"+q.name+"-added-us")
			b.ReportMetric(float64(v)/float64(max(d, 1)), name+"-"+q.name+"-ratio")
		}
	}
	b.ReportMetric(float64(t.Failed), name+"-failed")
}

func processorTimes(b *testing.B, processes []namedValue) []time.Duration {
	var list []time.Duration
	for _, p := range processes {
		t, err := timing.ProcessorTime(p.value)
		if err != nil {
			b.Fatal(err)
		}
		list = append(list, t)
	}
	return list
}
