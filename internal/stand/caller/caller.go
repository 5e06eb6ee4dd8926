// Package caller is an open-loop caller for tests and trials.
//
// Each service has its own Poisson schedule of arrivals, fixed by a seed. A
// request arrives when the schedule says so, whether or not earlier ones have
// been answered, and its latency counts from that instant. A bounded number of
// workers sends the requests; a request that finds no worker before its timeout
// is late and not sent.
//
// The caller asks the instances which addresses to use, keeps that answer for
// its lifetime and connects there itself. It checks that each answer is whole
// and its own, and counts the refusals by their reason.
package caller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/clock/timer"
)

const (
	defaultConnections = 64
	mostWaiting        = 8192
	dialTimeout        = 200 * time.Millisecond
	firstAnswerTimeout = 15 * time.Second
	targets            = 1000
	highestRate        = 1e5 // arrivals per second
)

// Caller sends requests. Its exported fields are set before Run.
type Caller struct {
	// Seeds are host:port of the instances to ask for addresses. At least one,
	// unless Direct is set.
	Seeds []string
	// Direct are host:port to send to instead of asking for addresses.
	Direct []string
	// Services is the mix of requests. At least one.
	Services []Service
	// Duration is the length of the schedule.
	Duration time.Duration
	// Connections is the most connections in use at once; at most as many again
	// are kept idle. A request waits where all are in use, and its latency
	// includes that. Zero means 64.
	Connections int
	// Resends is the most times that a request is sent again, with the same key
	// and a new timeout, after it timed out or may have run. Requests that were
	// refused as not run are not sent again.
	Resends int
	// Seed determines the schedule.
	Seed uint64
	// Log receives the events. Nil discards them.
	Log *slog.Logger
}

// Service is a stream of requests to one service.
type Service struct {
	// Name is the first segment of the path.
	Name string
	// Rate is the mean number of arrivals in a second. More than 0, at most
	// 100,000.
	Rate float64
	// Method is GET or POST. Empty means GET. A POST carries a key and a body.
	Method string
	// Timeout is the time from the arrival after which an answer is late. More
	// than 0.
	Timeout time.Duration
	// Weight is the importance of the service in the share of missed requests.
	Weight float64
	// CrashEvery marks each request whose number is a multiple of it, to crash
	// the backend server that runs it. Zero marks none.
	CrashEvery int
}

// job is a request that has arrived.
type job struct {
	service *stream
	number  int
	at      time.Time
}

// stream is a Service in a run.
type stream struct {
	Service
	addresses *directory
	tally     tally
}

// run is one call of Run.
type run struct {
	caller  *Caller
	streams []*stream
	client  *http.Client
	// asker is for addresses, so that requests don't take its connections.
	asker *http.Client
	log   *slog.Logger
	// id distinguishes the keys of this run from those of any other.
	id   string
	jobs chan job
}

// Run sends requests until Duration has passed or ctx ends, waits for the
// answers to those sent, and returns what came of them.
func (c *Caller) Run(ctx context.Context) (*Result, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	r := c.newRun()
	defer r.client.CloseIdleConnections()
	defer r.asker.CloseIdleConnections()
	asking, stopAsking := context.WithCancel(context.WithoutCancel(ctx))
	asked := r.startAsking(asking)
	defer func() {
		stopAsking()
		await(asked, len(r.streams))
	}()
	if err := r.awaitAddresses(ctx); err != nil {
		return nil, err
	}
	start := time.Now()
	workers := r.startWorkers(context.WithoutCancel(ctx))
	await(r.startArrivals(ctx, start), len(r.streams))
	close(r.jobs)
	await(workers, c.connections())
	return r.result(time.Since(start)), nil
}

// Check returns an error that names all that is wrong with the fields.
func (c *Caller) Check() error {
	var problems []string
	if len(c.Seeds) == 0 && len(c.Direct) == 0 {
		problems = append(problems, "Seeds: expected an address")
	}
	if len(c.Services) == 0 {
		problems = append(problems, "Services: expected at least one")
	}
	if c.Duration <= 0 {
		problems = append(problems, fmt.Sprintf("Duration %v: expected more than 0", c.Duration))
	}
	if c.Connections < 0 || c.Resends < 0 {
		problems = append(problems, "Connections and Resends: expected at least 0")
	}
	for _, s := range c.Services {
		problems = append(problems, s.problems()...)
	}
	if len(problems) == 0 {
		return nil
	}
	return errors.New(strings.Join(problems, "; "))
}

func (s *Service) problems() []string {
	var problems []string
	if s.Name == "" || strings.ContainsAny(s.Name, "/?#% ") {
		problems = append(problems, fmt.Sprintf("service %q: expected one path segment as its name", s.Name))
	}
	if !(s.Rate > 0 && s.Rate <= highestRate) {
		problems = append(problems, fmt.Sprintf("service %q: Rate %v: expected more than 0, at most %v", s.Name, s.Rate, highestRate))
	}
	if s.Timeout <= 0 {
		problems = append(problems, fmt.Sprintf("service %q: Timeout %v: expected more than 0", s.Name, s.Timeout))
	}
	if s.Method != "" && s.Method != http.MethodGet && s.Method != http.MethodPost {
		problems = append(problems, fmt.Sprintf("service %q: Method %q: expected GET or POST", s.Name, s.Method))
	}
	return problems
}

func (c *Caller) connections() int {
	if c.Connections == 0 {
		return defaultConnections
	}
	return c.Connections
}

func (c *Caller) newRun() *run {
	n := c.connections()
	r := &run{
		caller: c,
		log:    c.Log,
		id:     fmt.Sprintf("%x", time.Now().UnixNano()),
		jobs:   make(chan job, mostWaiting),
		asker:  &http.Client{Transport: &http.Transport{MaxConnsPerHost: len(c.Services), MaxIdleConnsPerHost: 1}},
		client: &http.Client{
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
				MaxIdleConns:        n,
				MaxIdleConnsPerHost: n,
				MaxConnsPerHost:     n,
				DisableCompression:  true,
			},
		},
	}
	if r.log == nil {
		r.log = slog.New(slog.DiscardHandler)
	}
	for _, s := range c.Services {
		if s.Method == "" {
			s.Method = http.MethodGet
		}
		t := &stream{Service: s, addresses: r.newDirectory(s.Name)}
		t.tally.init()
		r.streams = append(r.streams, t)
	}
	return r
}

// startArrivals runs the schedules. The returned channel gets one value from
// each at its end.
func (r *run) startArrivals(ctx context.Context, start time.Time) <-chan struct{} {
	ended := make(chan struct{}, len(r.streams))
	for i, s := range r.streams {
		random := rand.New(rand.NewPCG(r.caller.Seed, uint64(i)))
		go func() {
			r.arrive(ctx, s, start, random)
			ended <- struct{}{}
		}()
	}
	return ended
}

func (r *run) arrive(ctx context.Context, s *stream, start time.Time, random *rand.Rand) {
	var offset time.Duration
	for n := 1; ; n++ {
		offset += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		if offset > r.caller.Duration {
			return
		}
		at := start.Add(offset)
		if !sleepUntil(ctx, at) {
			return
		}
		s.tally.arrive()
		select {
		case r.jobs <- job{service: s, number: n, at: at}:
		default:
			s.tally.notSent(time.Since(at))
		}
	}
}

// startWorkers starts the senders. The returned channel gets one value from
// each at its end.
func (r *run) startWorkers(ctx context.Context) <-chan struct{} {
	n := r.caller.connections()
	ended := make(chan struct{}, n)
	for i := range n {
		random := rand.New(rand.NewPCG(r.caller.Seed, ^uint64(i)))
		go func() {
			for j := range r.jobs {
				r.serve(ctx, &j, random)
			}
			ended <- struct{}{}
		}()
	}
	return ended
}

// sleepUntil returns false where ctx ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	return timer.Sleep(ctx, time.Until(at))
}

func await(ended <-chan struct{}, n int) {
	for range n {
		<-ended
	}
}
