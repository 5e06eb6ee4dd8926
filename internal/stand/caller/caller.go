// Package caller is an open-loop load generator for tests and experiments.
//
// Each service has its own Poisson schedule of arrivals, determined by a seed. A
// request arrives at its scheduled time, whether or not earlier ones have been
// answered, and its latency counts from that time. A bounded number of workers sends
// the requests. A request that no worker takes before its timeout counts as late and
// is not sent.
//
// The caller fetches from the instances a list of addresses to send to, caches it for
// its lifetime and connects to the addresses itself. It checks that each answer is complete
// and belongs to its request, and counts the refusals by reason.
package caller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/rpc/heads"
	"github.com/snipefront/snipefront/internal/rpc/resets"
)

const (
	defaultConnections    = 64
	maxWaiting            = 8192 // requests that wait for a worker
	dialTimeout           = 200 * time.Millisecond
	firstAddressesTimeout = 15 * time.Second
	distinctPaths         = 1000 // of each service
	maxRate               = 1e5  // arrivals per second
)

// Caller sends requests. Its exported fields are set before Run.
type Caller struct {
	// Seeds has the host:port of instances to fetch addresses from. At least one,
	// unless Direct is set.
	Seeds []string
	// Direct has the host:port of backend servers to send to. If set, the caller
	// fetches no addresses.
	Direct []string
	// Services is the mix of requests. At least one.
	Services []Service
	// Duration is the length of the schedule.
	Duration time.Duration
	// Connections is the number of workers, and so the maximum number of connections
	// in use at once; at most as many again are kept idle. A request waits while all
	// workers are busy, and its latency includes the wait. Zero means 64.
	Connections int
	// Resends is the maximum number of times that a request is resent, with the same
	// idempotency key and a new timeout, after it timed out or may have run: it was
	// refused with that verdict, or its connection broke. A request that was refused
	// as not run is not resent.
	Resends int
	// Seed determines the schedule.
	Seed uint64
	// Log receives log messages. If nil, they are discarded.
	Log *slog.Logger
}

// Service is a stream of requests to one service.
type Service struct {
	// Name is the first segment of the path.
	Name string
	// Rate is the mean number of arrivals per second. More than 0, at most
	// 100,000.
	Rate float64
	// Method is GET or POST. Empty means GET. A POST has an idempotency key and a
	// body.
	Method string
	// Timeout is the time from the arrival after which an answer is late. More
	// than 0.
	Timeout time.Duration
	// Weight is the weight of each request of the service in Result.MissedShare.
	Weight float64
	// CrashEvery is n if every nth request crashes the backend server that runs it.
	// Zero means that no request does.
	CrashEvery int
}

// job is a request that waits for a worker.
type job struct {
	service *stream
	number  int
	arrival time.Time
}

// stream is a Service with its state in a run.
type stream struct {
	Service
	resolver *resolver
	tally    tally
}

// run is the state of one call of Caller.Run.
type run struct {
	caller  *Caller
	streams []*stream
	client  *http.Client
	// addressClient fetches addresses. It is separate from client, so that requests
	// don't use up its connections.
	addressClient *http.Client
	log           *slog.Logger
	// id distinguishes the request IDs and idempotency keys of this run from those of
	// other runs.
	id   string
	jobs chan job
}

// Run sends requests until Duration has passed or ctx is done, waits until the requests
// in flight have ended, and returns the outcome. It returns an error if a field has a
// wrong value, or if it gets no addresses for a service within 15 seconds.
func (c *Caller) Run(ctx context.Context) (*Result, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	r := c.newRun()
	defer r.client.CloseIdleConnections()
	defer r.addressClient.CloseIdleConnections()
	resolverCtx, stopResolvers := context.WithCancel(context.WithoutCancel(ctx))
	resolversEnded := r.startResolvers(resolverCtx)
	defer func() {
		stopResolvers()
		await(resolversEnded, len(r.streams))
	}()
	if err := r.awaitAddresses(ctx); err != nil {
		return nil, err
	}
	start := time.Now()
	workers := r.startWorkers(context.WithoutCancel(ctx))
	await(r.startSchedules(ctx, start), len(r.streams))
	close(r.jobs)
	await(workers, c.connections())
	return r.result(time.Since(start)), nil
}

// Check returns an error that names every field with a wrong value.
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
	if !(s.Rate > 0 && s.Rate <= maxRate) {
		problems = append(problems, fmt.Sprintf("service %q: Rate %v: expected more than 0, at most %v", s.Name, s.Rate, maxRate))
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
		caller:        c,
		log:           c.Log,
		id:            fmt.Sprintf("%x", rand.Uint64()),
		jobs:          make(chan job, maxWaiting),
		addressClient: &http.Client{Transport: heads.Transport{Base: &http.Transport{MaxConnsPerHost: len(c.Services), MaxIdleConnsPerHost: 1}}},
		client: &http.Client{
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: heads.Transport{Base: &http.Transport{
				DialContext:         resets.Dialer(dialTimeout),
				MaxIdleConns:        n,
				MaxIdleConnsPerHost: n,
				MaxConnsPerHost:     n,
				DisableCompression:  true,
			}},
		},
	}
	if r.log == nil {
		r.log = slog.New(slog.DiscardHandler)
	}
	for _, s := range c.Services {
		if s.Method == "" {
			s.Method = http.MethodGet
		}
		st := &stream{Service: s, resolver: r.newResolver(s.Name)}
		st.tally.init()
		r.streams = append(r.streams, st)
	}
	return r
}

// startSchedules starts a goroutine for the schedule of each service. Each sends one
// value to the returned channel when it ends.
func (r *run) startSchedules(ctx context.Context, start time.Time) <-chan struct{} {
	ended := make(chan struct{}, len(r.streams))
	for i, s := range r.streams {
		random := rand.New(rand.NewPCG(r.caller.Seed, uint64(i)))
		go func() {
			r.runSchedule(ctx, s, start, random)
			ended <- struct{}{}
		}()
	}
	return ended
}

// runSchedule hands each request to the workers when it arrives. It counts a request as
// late and does not send it if maxWaiting requests already wait for a worker.
func (r *run) runSchedule(ctx context.Context, s *stream, start time.Time, random *rand.Rand) {
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
		s.tally.addArrival()
		select {
		case r.jobs <- job{service: s, number: n, arrival: at}:
		default:
			s.tally.addUnsent(time.Since(at))
		}
	}
}

// startWorkers starts the workers. Each sends one value to the returned channel when it
// ends.
func (r *run) startWorkers(ctx context.Context) <-chan struct{} {
	n := r.caller.connections()
	ended := make(chan struct{}, n)
	for i := range n {
		random := rand.New(rand.NewPCG(r.caller.Seed, ^uint64(i)))
		go func() {
			for j := range r.jobs {
				r.process(ctx, &j, random)
			}
			ended <- struct{}{}
		}()
	}
	return ended
}

// sleepUntil waits until the time at. It returns false if ctx is done earlier.
func sleepUntil(ctx context.Context, at time.Time) bool {
	return timer.Sleep(ctx, time.Until(at))
}

// await receives n values from ended.
func await(ended <-chan struct{}, n int) {
	for range n {
		<-ended
	}
}
