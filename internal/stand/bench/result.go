package bench

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the outcome of a run.
type Result struct {
	Size     string
	Policy   string
	Load     Load
	Services []ServiceResult
	// Hops is the number of times that a router forwarded a request to another router.
	Hops int64
	// Moves is the number of retries in another cell.
	Moves int64
	// Hedges is the number of hedges: second attempts sent beside the first.
	Hedges int64
}

// ServiceResult is the outcome of the requests to one service.
type ServiceResult struct {
	Name  string
	Slots int
	// Taken holds the latencies in microseconds of answered and late requests. The
	// latency of a late request is the time after which it timed out.
	Taken *hdrhistogram.Histogram
	// Sent is the number of measured requests. Each of them is counted in one of
	// Answered, Late, Refused and Failed.
	Sent, Answered, Late, Refused, Failed int
	// LastRefusal is the longest latency of a refusal.
	LastRefusal time.Duration
	// Most is the highest number of requests in flight at once at one backend server.
	Most int
	// OverCold is the number of requests sent to a cold backend server beyond its
	// cold limit.
	OverCold int
	// AfterOut is the number of requests sent to backend servers of a data centre that
	// was out of service.
	AfterOut int
}

func newResult(z Size, p Policy, l Load) Result {
	r := Result{Size: z.Name, Policy: p.Name, Load: l}
	for _, s := range z.Services {
		r.Services = append(r.Services, ServiceResult{
			Name:  s.Name,
			Slots: s.Slots,
			Taken: hdrhistogram.New(1, (10 * time.Second).Microseconds(), 3),
		})
	}
	return r
}

// service returns the result of the named service, or nil.
func (r *Result) service(name string) *ServiceResult {
	for i := range r.Services {
		if r.Services[i].Name == name {
			return &r.Services[i]
		}
	}
	return nil
}

func (r *Result) add(c completion) {
	s := r.service(c.call.service.Name)
	if !c.call.measured {
		return
	}
	s.Sent++
	switch c.status {
	case answered:
		s.Answered++
		_ = s.Taken.RecordValue(c.latency.Microseconds())
	case late:
		s.Late++
		_ = s.Taken.RecordValue(c.latency.Microseconds())
	case failed:
		s.Failed++
	case shed:
		s.Refused++
		s.LastRefusal = max(s.LastRefusal, c.latency)
	}
}

// addServers adds the counts of the backend servers.
func (r *Result) addServers(servers []*backend) {
	for _, b := range servers {
		s := r.service(b.announced.Service)
		s.Most = max(s.Most, b.mostInFlight)
		s.OverCold += b.refusedOverCold
		s.AfterOut += b.receivedWhileOut
	}
}

// Header is the table header for the lines that Result.String returns.
const Header = "size     load shift policy       service     p50 ms  p99 ms p99.9 ms    sent  late refused failed most/slots over-cold after-out"

// String returns a table line for each service, and one with the counts of the routers
// if any request was forwarded.
func (r Result) String() string {
	var b strings.Builder
	for _, s := range r.Services {
		q := func(p float64) float64 { return float64(s.Taken.ValueAtQuantile(p)) / 1000 }
		fmt.Fprintf(&b, "%-8s %3.0f%% %-5t %-12s %-10s %7.2f %7.2f %8.2f %7d %5d %7d %6d %6d/%d %9d %9d\n",
			r.Size, r.Load.Share*100, r.Load.Shifting, r.Policy, s.Name,
			q(50), q(99), q(99.9), s.Sent, s.Late, s.Refused, s.Failed, s.Most, s.Slots, s.OverCold, s.AfterOut)
	}
	if r.Hops > 0 {
		fmt.Fprintf(&b, "%-8s %3.0f%% %-5t %-12s %d hops, %d moves, %d hedges\n", r.Size, r.Load.Share*100, r.Load.Shifting, r.Policy, r.Hops, r.Moves, r.Hedges)
	}
	return b.String()
}
