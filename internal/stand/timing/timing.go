// Package timing measures the latency that an instance adds to a direct call of a
// backend server.
//
// Calls start on a Poisson schedule, whether or not earlier calls have ended, and go to
// the targets in turn. The instances forward to the backend server that is also called
// directly, so that all targets are measured with the same noise of the machine. A
// latency counts from the start of its call.
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

	"github.com/snipefront/snipefront/internal/rpc/heads"
	"github.com/snipefront/snipefront/internal/rpc/resets"
)

const (
	// maxMicroseconds is the longest latency that is recorded. Longer ones are dropped.
	maxMicroseconds = 60_000_000
	// significantFigures is the precision of a recorded latency, in decimal digits.
	significantFigures = 3
	// warmUp is the time at the start for which latencies are not recorded.
	warmUp = time.Second
	// ticksPerSecond is the number of ticks per second in which /proc/PID/stat counts
	// processor time.
	ticksPerSecond = 100
	// maxIdleConnections is the maximum number of idle connections to one target.
	maxIdleConnections = 512
)

// Measurement is the configuration of a run. Set the exported fields before Run.
type Measurement struct {
	// Addresses has the host:port of each target.
	Addresses []string
	// Method is GET or POST. A POST has an idempotency key.
	Method string
	// Rate is the mean number of calls per second to each target.
	Rate float64
	// Length is the length of the schedule, without the warm-up.
	Length time.Duration
}

// Target is an instance or a backend server, with the outcome of the calls to it.
type Target struct {
	// Latencies has the latencies of successful calls in microseconds.
	Latencies *hdrhistogram.Histogram
	// Failed is the number of failed calls, including those during the warm-up.
	Failed int

	address string
	mu      sync.Mutex
}

// Run makes the calls and waits for them. It returns the targets in the order of
// Addresses, and the number of calls, including those during the warm-up.
func (m *Measurement) Run(ctx context.Context) ([]*Target, int) {
	var list []*Target
	for _, a := range m.Addresses {
		list = append(list, &Target{Latencies: hdrhistogram.New(1, maxMicroseconds, significantFigures), address: a})
	}
	client := &http.Client{Transport: heads.Transport{Base: &http.Transport{
		DialContext:         resets.Dialer(0),
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableCompression:  true,
	}}}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(1, 2))
	var calls sync.WaitGroup
	session := rand.Uint64()
	start := time.Now()
	at := start
	n := 0
	for ; at.Sub(start) < warmUp+m.Length; n++ {
		gap := random.ExpFloat64() / (m.Rate * float64(len(list)))
		at = at.Add(time.Duration(gap * float64(time.Second)))
		time.Sleep(time.Until(at))
		t := list[n%len(list)]
		key := fmt.Sprintf("%x-%d", session, n)
		began := time.Now()
		calls.Go(func() { t.call(ctx, client, m.Method, key, began, began.Sub(start) > warmUp) })
	}
	calls.Wait()
	return list, n
}

// call makes one call and counts its latency from began. It records the latency if
// measured is true.
func (t *Target) call(ctx context.Context, c *http.Client, method, key string, began time.Time, measured bool) {
	err := t.send(ctx, c, method, key)
	latency := time.Since(began)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil:
		t.Failed++
	case measured:
		_ = t.Latencies.RecordValue(latency.Microseconds())
	}
}

func (t *Target) send(ctx context.Context, c *http.Client, method, key string) error {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("charge of 17 pages")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.address+"/balance/17", body)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	if method == http.MethodPost {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.Do(req)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errors.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: expected 200", resp.StatusCode)
	}
	return nil
}

// ProcessorTime returns the processor time that the process pid has used, in user and
// system mode (utime and stime in /proc/PID/stat).
func ProcessorTime(pid string) (time.Duration, error) {
	text, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	var ticks float64
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	for _, f := range fields[11:13] {
		n, err := strconv.ParseFloat(f, 64)
		if err != nil {
			return 0, errors.Wrap(err, "parse processor time")
		}
		ticks += n
	}
	return time.Duration(ticks / ticksPerSecond * float64(time.Second)), nil
}
