// Package timing measures what a call through an instance adds to a direct one.
//
// Calls arrive in an open loop by a Poisson schedule and go to the targets in turn,
// so that all meet the same backend server and the same noise of the machine. A
// latency counts from the instant at which its call is started, which waits for no
// other call.
package timing

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

const (
	// mostMicroseconds is the longest time that is told apart.
	mostMicroseconds = 60_000_000
	// figures is the number of significant figures of a latency.
	figures = 3
	// warmUp is the time in which answers are not counted.
	warmUp = time.Second
	// ticksPerSecond is the unit of processor time in /proc.
	ticksPerSecond = 100
	// connections is the most idle connections to one target.
	connections = 512
)

// Measurement is a run of calls. Set the exported fields before Run.
type Measurement struct {
	// Addresses are host:port of the targets.
	Addresses []string
	// Method is GET, or POST with a key.
	Method string
	// Rate is the calls a second to each target.
	Rate float64
	// Length is the time of the schedule, without the time to warm up.
	Length time.Duration
}

// Target is what came of the calls to one address.
type Target struct {
	// Latencies are in microseconds.
	Latencies *hdrhistogram.Histogram
	Failed    int

	address string
	mu      sync.Mutex
}

// Run makes the calls and returns the targets in the order of their addresses, and
// the number of calls.
func (m *Measurement) Run(ctx context.Context) ([]*Target, int) {
	var list []*Target
	for _, a := range m.Addresses {
		list = append(list, &Target{Latencies: hdrhistogram.New(1, mostMicroseconds, figures), address: a})
	}
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}}
	defer c.CloseIdleConnections()
	random := rand.New(rand.NewPCG(1, 2))
	var all sync.WaitGroup
	start := time.Now()
	at := start
	n := 0
	for ; at.Sub(start) < warmUp+m.Length; n++ {
		gap := random.ExpFloat64() / (m.Rate * float64(len(list)))
		at = at.Add(time.Duration(gap * float64(time.Second)))
		time.Sleep(time.Until(at))
		t := list[n%len(list)]
		key := fmt.Sprintf("%d-%d", start.UnixNano(), n)
		due := time.Now()
		all.Go(func() { t.call(ctx, c, m.Method, key, due, due.Sub(start) > warmUp) })
	}
	all.Wait()
	return list, n
}

// call makes one call and counts its time from the instant due.
func (t *Target) call(ctx context.Context, c *http.Client, method, key string, due time.Time, counts bool) {
	err := t.send(ctx, c, method, key)
	taken := time.Since(due)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil:
		t.Failed++
	case counts:
		_ = t.Latencies.RecordValue(taken.Microseconds())
	}
}

func (t *Target) send(ctx context.Context, c *http.Client, method, key string) error {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("charge of 17 pages")
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+t.address+"/balance/17", body)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	if method == http.MethodPost {
		r.Header.Set("Idempotency-Key", key)
	}
	w, err := c.Do(r)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	defer w.Body.Close()
	if _, err := io.Copy(io.Discard, w.Body); err != nil {
		return errors.Wrap(err, "read")
	}
	if w.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", w.StatusCode)
	}
	return nil
}

// ProcessorTime returns the processor time that the process pid has used.
func ProcessorTime(pid string) (time.Duration, error) {
	text, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return 0, errors.Wrap(err, "processor time")
	}
	var ticks float64
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	for _, f := range fields[11:13] {
		n, err := strconv.ParseFloat(f, 64)
		if err != nil {
			return 0, errors.Wrap(err, "processor time")
		}
		ticks += n
	}
	return time.Duration(ticks / ticksPerSecond * float64(time.Second)), nil
}
