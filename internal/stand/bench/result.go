package bench

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what came of a run.
type Result struct {
	Size     string
	Policy   string
	Load     Load
	Services []ServiceResult
	// Hops is the number of times that a router handed a request to another.
	Hops int64
	// Moves is the number of times that a cell could not take a request.
	Moves int64
}

// ServiceResult is what came of the requests of one service.
type ServiceResult struct {
	Name  string
	Slots int
	// Taken holds the times in microseconds. A late request counts with the time
	// at which it was given up; refused and failed ones do not count.
	Taken *hdrhistogram.Histogram
	// Sent is the number of requests measured; each of them is in one of the
	// following.
	Sent, Answered, Late, Refused, Failed int
	// LastRefusal is the longest time that a refusal took.
	LastRefusal time.Duration
	// Most is the most requests that one backend server held at once.
	Most int
	// OverCold is the number of requests sent to a backend server in cold start
	// beyond what it bears.
	OverCold int
	// AfterOut is the number of requests sent to a data centre out of service.
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

func (r *Result) of(name string) *ServiceResult {
	for i := range r.Services {
		if r.Services[i].Name == name {
			return &r.Services[i]
		}
	}
	return nil
}

func (r *Result) add(e end) {
	s := r.of(e.call.service.Name)
	if !e.call.measured {
		return
	}
	s.Sent++
	switch e.status {
	case answered:
		s.Answered++
		_ = s.Taken.RecordValue(e.taken.Microseconds())
	case late:
		s.Late++
		_ = s.Taken.RecordValue(e.taken.Microseconds())
	case failed:
		s.Failed++
	case shed:
		s.Refused++
		s.LastRefusal = max(s.LastRefusal, e.taken)
	}
}

// close takes in what the backend servers saw.
func (r *Result) close(servers []*backend) {
	for _, b := range servers {
		s := r.of(b.announced.Service)
		s.Most = max(s.Most, b.most)
		s.OverCold += b.overCold
		s.AfterOut += b.afterOut
	}
}

// Header is the heading of the lines of String.
const Header = "size     load shift policy       service     p50 ms  p99 ms p99.9 ms    sent  late refused failed most/slots over-cold after-out"

// String returns one line for each service.
func (r Result) String() string {
	var b strings.Builder
	for _, s := range r.Services {
		q := func(p float64) float64 { return float64(s.Taken.ValueAtQuantile(p)) / 1000 }
		fmt.Fprintf(&b, "%-8s %3.0f%% %-5t %-12s %-10s %7.2f %7.2f %8.2f %7d %5d %7d %6d %6d/%d %9d %9d\n",
			r.Size, r.Load.Share*100, r.Load.Shifting, r.Policy, s.Name,
			q(50), q(99), q(99.9), s.Sent, s.Late, s.Refused, s.Failed, s.Most, s.Slots, s.OverCold, s.AfterOut)
	}
	if r.Hops > 0 {
		fmt.Fprintf(&b, "%-8s %3.0f%% %-5t %-12s %d hops, %d moves\n", r.Size, r.Load.Share*100, r.Load.Shifting, r.Policy, r.Hops, r.Moves)
	}
	return b.String()
}
