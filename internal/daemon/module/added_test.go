package module_test

import (
	"bytes"
	"cmp"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

var (
	targetsFlag = flag.String("targets", "", "BenchmarkAdded: name=host:port, comma separated; the first is direct. Empty starts an instance in this process")
	ratesFlag   = flag.String("rates", "300,1500", "BenchmarkAdded: calls a second to each target, comma separated")
	lengthFlag  = flag.Duration("length", 5*time.Second, "BenchmarkAdded: time of one measurement")
	pidsFlag    = flag.String("pids", "", "BenchmarkAdded: name=process whose processor time is told per call, comma separated")
)

const (
	// mostMicroseconds is the longest time that is told apart.
	mostMicroseconds = 60_000_000
	figures          = 3
	// warmUp is the time in which answers are not counted.
	warmUp = time.Second
	// ticksPerSecond is the unit of processor time in /proc.
	ticksPerSecond = 100
	connections    = 512
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

// target is where every so-many-th call goes.
type target struct {
	name, base string
	mu         sync.Mutex
	latencies  *hdrhistogram.Histogram
	failed     atomic.Int64
}

// BenchmarkAdded measures in an open loop what a call through an instance adds
// to a direct one. The arrivals go to the targets in turn, so that all meet the
// same backend server and the same noise. Run it with -benchtime 1x.
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
					measure(b, list, method, r)
				}
			})
		}
	}
}

func hostOf(url string) string {
	h, _, _ := strings.Cut(strings.TrimPrefix(url, "http://"), "/")
	return h
}

func measure(b *testing.B, list []named, method string, rate float64) {
	var targets []*target
	for _, n := range list {
		targets = append(targets, &target{name: n.name, base: "http://" + n.value, latencies: hdrhistogram.New(1, mostMicroseconds, figures)})
	}
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}}
	defer c.CloseIdleConnections()
	processes := namedOf(*pidsFlag)
	before := processorTimes(b, processes)
	calls := arrive(b, c, targets, method, rate*float64(len(targets)))
	after := processorTimes(b, processes)
	for _, t := range targets {
		report(b, t, targets[0])
	}
	for i, p := range processes {
		b.ReportMetric((after[i]-before[i])/float64(calls)*1e6, p.name+"-cpu-us/call")
	}
}

// arrive makes the calls and returns their number.
func arrive(b *testing.B, c *http.Client, targets []*target, method string, perSecond float64) int {
	random := rand.New(rand.NewPCG(1, 2))
	var all sync.WaitGroup
	start := time.Now()
	at := start
	n := 0
	for ; at.Sub(start) < warmUp+*lengthFlag; n++ {
		at = at.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(at))
		t := targets[n%len(targets)]
		key := fmt.Sprintf("%d-%d", start.UnixNano(), n)
		due := time.Now()
		all.Go(func() { t.call(b, c, method, key, due, due.Sub(start) > warmUp) })
	}
	all.Wait()
	return n
}

// call makes one call and counts its time from the instant due.
func (t *target) call(b *testing.B, c *http.Client, method, key string, due time.Time, counts bool) {
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte("charge of 17 pages"))
	}
	r, err := http.NewRequestWithContext(b.Context(), method, t.base+"/balance/17", body)
	if err != nil {
		b.Error(err)
		return
	}
	if method == http.MethodPost {
		r.Header.Set("Idempotency-Key", key)
	}
	w, err := c.Do(r)
	if err != nil {
		t.failed.Add(1)
		return
	}
	defer w.Body.Close()
	if _, err := io.Copy(io.Discard, w.Body); err != nil || w.StatusCode != http.StatusOK {
		t.failed.Add(1)
		return
	}
	taken := time.Since(due)
	if !counts {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.latencies.RecordValue(taken.Microseconds())
}

func report(b *testing.B, t, direct *target) {
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 50}, {"p99", 99}, {"p99.9", 99.9}} {
		v, d := t.latencies.ValueAtQuantile(q.at), direct.latencies.ValueAtQuantile(q.at)
		b.ReportMetric(float64(v), t.name+"-"+q.name+"-us")
		if t != direct {
			b.ReportMetric(float64(v-d), t.name+"-"+q.name+"-added-us")
			b.ReportMetric(float64(v)/float64(max(d, 1)), t.name+"-"+q.name+"-ratio")
		}
	}
	b.ReportMetric(float64(t.failed.Load()), t.name+"-failed")
}

// processorTimes returns the processor time of each process in seconds.
func processorTimes(b *testing.B, processes []named) []float64 {
	var list []float64
	for _, p := range processes {
		text, err := os.ReadFile("/proc/" + p.value + "/stat")
		if err != nil {
			b.Fatal(err)
		}
		fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
		user, errUser := strconv.ParseFloat(fields[11], 64)
		system, errSystem := strconv.ParseFloat(fields[12], 64)
		if err := cmp.Or(errUser, errSystem); err != nil {
			b.Fatal(err)
		}
		list = append(list, (user+system)/ticksPerSecond)
	}
	return list
}
