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
	targetsFlag = flag.String("targets", "", "BenchmarkAdded: name=host:port, comma separated; the first is direct. Empty starts an instance in this process")
	ratesFlag   = flag.String("rates", "300,1500", "BenchmarkAdded: calls a second to each target, comma separated")
	lengthFlag  = flag.Duration("length", 5*time.Second, "BenchmarkAdded: time of one measurement")
	pidsFlag    = flag.String("pids", "", "BenchmarkAdded: name=process whose processor time is told per call, comma separated")
)

// named is an entry of a flag.
type named struct{ name, value string }

func namedOf(list string) []named {
	var all []named
	for _, s := range strings.FieldsFunc(list, func(r rune) bool { return r == ',' }) {
		n, v, _ := strings.Cut(s, "=")
		all = append(all, named{n, v})
	}
	return all
}

// BenchmarkAdded measures in an open loop what a call through an instance adds
// to a direct one. Run it with -benchtime 1x.
func BenchmarkAdded(b *testing.B) {
	list := namedOf(*targetsFlag)
	if len(list) == 0 {
		through, direct := fleet(b)
		list = []named{{"direct", hostOf(direct)}, {"owner", hostOf(through)}}
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

func measure(b *testing.B, list []named, m *timing.Measurement) {
	for _, n := range list {
		m.Addresses = append(m.Addresses, n.value)
	}
	processes := namedOf(*pidsFlag)
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

func processorTimes(b *testing.B, processes []named) []time.Duration {
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
