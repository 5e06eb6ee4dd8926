package caller

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/snipefront/snipefront"
)

const (
	maxMicroseconds    = 600_000_000
	significantFigures = 3
	maxOutcomes        = 1 << 20
	p50                = 50
	p99                = 99
	p999               = 99.9
)

// Result is the outcome of a run.
type Result struct {
	// Seconds is the time from the start until the last request ended.
	Seconds float64
	// MissedShare is the share of arrived requests without a complete answer in time,
	// each counted with the weight of its service.
	MissedShare float64
	// Services has the result of each service, in the order of Caller.Services.
	Services []ServiceResult
}

// ServiceResult is the outcome of the requests to one service. Arrived is the sum
// of OK, Late, the refusals, Crossed and CutShort.
type ServiceResult struct {
	Name   string
	Weight float64
	// Arrived counts the requests whose scheduled time came.
	Arrived int
	// Sent counts the requests that a worker sent, or tried to send.
	Sent int
	// OK counts the requests with a complete answer in time.
	OK int
	// Late counts the requests that were not answered in time, or not sent in time.
	Late int
	// AnsweredLate counts the late requests that received a complete answer after their
	// timeout.
	AnsweredLate int
	// Refused counts by reason the requests that were refused or whose connection
	// failed.
	Refused []ReasonCount
	// NotRun, MayHaveRun and Ran count the refusals by verdict.
	NotRun, MayHaveRun, Ran int
	// Advised counts the refusals with a Retry-After header.
	Advised int
	// Crossed counts the successful responses with the answer to another request.
	Crossed int
	// CutShort counts the responses that ended early, the successful ones with a damaged answer
	// and those whose head is that of none.
	CutShort int
	// Resent counts the resends.
	Resent int
	// P50Milliseconds, P99Milliseconds and P999Milliseconds are percentiles of the
	// latencies from the scheduled arrival, of the requests in OK and Late. The latency
	// of a late request without an answer is the time after which the caller stopped
	// waiting.
	P50Milliseconds, P99Milliseconds, P999Milliseconds float64
	// Histogram has the latencies of the requests in OK and Late, in microseconds.
	Histogram *hdrhistogram.Histogram `json:"-"`
	// Outcomes has an entry for each POST, up to a bound of about a million.
	Outcomes []Outcome `json:",omitempty"`
}

// ReasonCount is the number of refusals for one reason.
type ReasonCount struct {
	Reason snipefront.Reason
	Count  int
}

// Outcome is the outcome of a request with an idempotency key, as the caller sees it.
type Outcome struct {
	Key string
	// Answered is true if the caller received a complete answer.
	Answered bool
	// NotRun is true if each attempt was refused with the verdict that it was not
	// run, or could not connect.
	NotRun bool
}

// completion is a finished request with the outcome of its last attempt.
type completion struct {
	outcome
	key string
	// notRun is Outcome.NotRun.
	notRun  bool
	resends int
	latency time.Duration
	timeout time.Duration
}

// tally counts the outcomes of the requests to one service.
type tally struct {
	mu      sync.Mutex
	result  ServiceResult
	reasons map[snipefront.Reason]int
}

func (t *tally) init() {
	t.reasons = make(map[snipefront.Reason]int)
	t.result.Histogram = hdrhistogram.New(1, maxMicroseconds, significantFigures)
}

func (t *tally) addArrival() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Arrived++
}

// addUnsent counts a late request that was not sent.
func (t *tally) addUnsent(latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Late++
	t.record(latency)
}

// addCompletion counts a finished request that was sent.
func (t *tally) addCompletion(c *completion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := &t.result
	result.Sent++
	result.Resent += c.resends
	if c.key != "" && len(result.Outcomes) < maxOutcomes {
		result.Outcomes = append(result.Outcomes, Outcome{Key: c.key, Answered: c.kind == answered, NotRun: c.notRun})
	}
	switch c.kind {
	case answered:
		t.addAnswer(c)
	case late:
		result.Late++
		t.record(c.latency)
	case crossed:
		result.Crossed++
	case cutShort:
		result.CutShort++
	case refused:
		t.addRefusal(c)
	}
}

// addAnswer counts a request with a complete answer, in time or late.
func (t *tally) addAnswer(c *completion) {
	t.record(c.latency)
	if c.latency <= c.timeout {
		t.result.OK++
		return
	}
	t.result.Late++
	t.result.AnsweredLate++
}

func (t *tally) addRefusal(c *completion) {
	result := &t.result
	t.reasons[c.reason]++
	if c.hasRetryAfter {
		result.Advised++
	}
	switch c.verdict {
	case snipefront.NotRun:
		result.NotRun++
	case snipefront.Ran:
		result.Ran++
	default:
		result.MayHaveRun++
	}
}

func (t *tally) record(latency time.Duration) {
	us := min(max(latency.Microseconds(), 1), maxMicroseconds)
	// The value is within the histogram's range, so RecordValue returns no error.
	_ = t.result.Histogram.RecordValue(us)
}

// result returns the result of the run, which took elapsed.
func (r *run) result(elapsed time.Duration) *Result {
	all := &Result{Seconds: elapsed.Seconds()}
	weight, missed := 0.0, 0.0
	for _, s := range r.streams {
		c := s.tally.serviceResult(&s.Service)
		all.Services = append(all.Services, c)
		weight += s.Weight * float64(c.Arrived)
		missed += s.Weight * float64(c.Arrived-c.OK)
	}
	if weight > 0 {
		all.MissedShare = missed / weight
	}
	return all
}

// serviceResult returns the counts with the percentiles and reasons filled in.
func (t *tally) serviceResult(s *Service) ServiceResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.result
	c.Name, c.Weight = s.Name, s.Weight
	c.P50Milliseconds = milliseconds(c.Histogram.ValueAtQuantile(p50))
	c.P99Milliseconds = milliseconds(c.Histogram.ValueAtQuantile(p99))
	c.P999Milliseconds = milliseconds(c.Histogram.ValueAtQuantile(p999))
	c.Refused = []ReasonCount{}
	for reason, n := range t.reasons {
		c.Refused = append(c.Refused, ReasonCount{Reason: reason, Count: n})
	}
	slices.SortFunc(c.Refused, func(a, b ReasonCount) int { return cmp.Compare(a.Reason, b.Reason) })
	return c
}

// Faulty returns the number of responses that were crossed or cut short.
func (r *Result) Faulty() int {
	n := 0
	for i := range r.Services {
		n += r.Services[i].Crossed + r.Services[i].CutShort
	}
	return n
}

// Print writes a human-readable table.
func (r *Result) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "service\tarrived\tok\tlate\trefused\tnot run\tmay have run\tcrossed\tcut short\tresent\tp50 ms\tp99 ms\tp99.9 ms\t")
	for i := range r.Services {
		s := &r.Services[i]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t\n", s.Name, s.Arrived, s.OK, s.Late,
			s.refusals(), s.NotRun, s.MayHaveRun, s.Crossed, s.CutShort, s.Resent,
			s.P50Milliseconds, s.P99Milliseconds, s.P999Milliseconds)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for i := range r.Services {
		for _, c := range r.Services[i].Refused {
			fmt.Fprintf(w, "refused: %s %s %d\n", r.Services[i].Name, c.Reason, c.Count)
		}
	}
	_, err := fmt.Fprintf(w, "missed, by weight: %.2f%% in %.1f s\n", 100*r.MissedShare, r.Seconds)
	return err
}

func (s *ServiceResult) refusals() int {
	return s.NotRun + s.MayHaveRun + s.Ran
}

func milliseconds(us int64) float64 {
	return float64(us) / 1000
}
