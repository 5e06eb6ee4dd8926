// Package server is a stand-in backend server for tests and trials.
//
// A Server runs at most Slots requests at once and queues further ones. Each run
// takes a random service time. After its start, and whenever Mode.Cold is set, the
// server is in cold start for ColdFor. Its capacity is then only ColdBearing requests
// in flight, and one more causes an overload failure: the server drops the requests
// in flight, fails each new request for FallOverFor and begins another cold start.
//
// The server announces itself to the instances and renews the announcement. A Mode,
// set by SetMode or over HTTP, makes it shed, drain, slow down, freeze, send broken
// answers or crash. A Report holds the counts of its requests and connections, and
// the idempotency keys that ran more than once.
package server

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrCrashed is returned by Run after a simulated crash of the process.
var ErrCrashed = errors.New("backend server crashed")

const (
	defaultDrainFor      = 2 * time.Second
	defaultStopTimeout   = 10 * time.Second
	defaultFallOverFor   = 500 * time.Millisecond
	readHeaderTimeout    = 10 * time.Second
	maxBodyBytes         = 1 << 20
	headerRequestID      = "X-Request-Id"
	headerTimeout        = "X-Request-Timeout"
	headerAttempt        = "X-Request-Attempt"
	headerDraining       = "X-Draining"
	headerIdempotencyKey = "Idempotency-Key"
	headerCrash          = "X-Stand-Crash"
	headerName           = "X-Stand-Name"
	failureDelay         = 100 * time.Millisecond
)

// Server is a stand-in backend server. Its exported fields are set before Run or
// ServeHTTP and not changed afterwards.
type Server struct {
	// Name is unique among the backend servers of the service in the data centre.
	Name string
	// Service is the service whose requests it answers.
	Service string
	// DataCentre is the data centre in which it announces that it runs.
	DataCentre string
	// Address is the host:port to listen on if Listener is nil.
	Address string
	// Listener is used instead of Address if it is set. Run closes it.
	Listener net.Listener
	// Incarnation identifies the start of the server in its announcements, so it must
	// differ after each start. Zero means the time of the start in nanoseconds since
	// the Unix epoch.
	Incarnation uint64
	// Slots is the maximum number of requests that run at once. Zero means 1.
	Slots int
	// ShedAbove is the maximum number of requests in flight, including waiting
	// ones; further ones are refused. Zero means no limit.
	ShedAbove int
	// Latency is the mean service time.
	Latency time.Duration
	// Fixed makes each service time equal to Latency. Otherwise it is
	// exponentially distributed.
	Fixed bool
	// Seed is the seed of the random service times.
	Seed uint64
	// Seeds are the host:port of the instances to announce to at first. If it is
	// empty, the server does not announce itself.
	Seeds []string
	// ColdFor is the duration of a cold start. Zero means no cold start.
	ColdFor time.Duration
	// ColdBearing is the capacity in cold start: the maximum number of requests in
	// flight, counting only those admitted since the cold start began. Zero means 1.
	ColdBearing int
	// ColdSlow multiplies the service times in cold start. Zero means 1.
	ColdSlow float64
	// FallOverFor is the time for which it fails requests after an overload failure.
	// Zero means half a second.
	FallOverFor time.Duration
	// ReportLag is the age of the load that the load endpoint reports.
	ReportLag time.Duration
	// ProbeLatency is the time that it takes to answer a probe.
	ProbeLatency time.Duration
	// ConnectLatency is the time that a new connection takes to become usable.
	ConnectLatency time.Duration
	// MostConnections is the maximum number of open connections; further ones are
	// closed. Zero means no limit.
	MostConnections int
	// DrainFor is the time for which a stopping server refuses requests before it
	// closes its listener. Zero means two seconds.
	DrainFor time.Duration
	// StopTimeout bounds the wait for the requests that are still in flight after
	// DrainFor. Zero means ten seconds.
	StopTimeout time.Duration
	// Log receives log messages. Nil discards them.
	Log *slog.Logger

	initOnce    sync.Once
	handler     http.Handler
	busySlots   chan struct{}
	crashed     chan struct{}
	crashOnce   sync.Once
	announceNow chan struct{}
	stopping    atomic.Bool
	runs        runCounts

	mu       sync.Mutex
	rng      *rand.Rand
	mode     Mode
	speed    float64
	unfrozen chan struct{}
	period   *period
	load     loadHistory
	counts   Report
	inFlight int
}

// Run serves and announces until ctx ends, and then stops gracefully: it announces
// that it is draining, refuses new requests for DrainFor, and waits for those in
// flight. It returns ErrCrashed after a simulated crash.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	l, err := s.listen(ctx)
	if err != nil {
		return err
	}
	s.Log.Info("backend server is serving", "name", s.Name, "service", s.Service, "address", l.Addr().String())
	tracked := &listener{Listener: l, server: s, open: make(map[*conn]struct{})}
	h := &http.Server{Handler: s.handleSilentOld(tracked), ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- h.Serve(tracked) }()
	announceCtx, stopAnnouncing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAnnouncing()
	announcerDone := s.startAnnouncing(announceCtx, l.Addr().String())
	select {
	case err = <-served:
		err = errors.Wrap(err, "serve")
	case <-s.crashed:
		err = ErrCrashed
	case <-ctx.Done():
		err = s.stop(context.WithoutCancel(ctx), h)
	}
	h.Close()
	stopAnnouncing()
	<-announcerDone
	s.Log.Info("backend server stopped", "name", s.Name)
	return err
}

// ServeHTTP handles one request. Use it instead of Run if the server needs no listener
// and no announcements.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.init()
	s.handler.ServeHTTP(w, r)
}

func (s *Server) init() {
	s.initOnce.Do(func() {
		s.Slots = max(s.Slots, 1)
		s.ColdBearing = max(s.ColdBearing, 1)
		s.FallOverFor = orDefault(s.FallOverFor, defaultFallOverFor)
		s.DrainFor = orDefault(s.DrainFor, defaultDrainFor)
		s.StopTimeout = orDefault(s.StopTimeout, defaultStopTimeout)
		if s.ColdSlow == 0 {
			s.ColdSlow = 1
		}
		if s.Incarnation == 0 {
			s.Incarnation = uint64(time.Now().UnixNano()) //nolint:forbidigo // stored nowhere, and grows with each start but for a clock step
		}
		if s.Log == nil {
			s.Log = slog.New(slog.DiscardHandler)
		}
		s.speed = 1
		s.rng = rand.New(rand.NewPCG(s.Seed, s.Seed))
		s.busySlots = make(chan struct{}, s.Slots)
		s.crashed = make(chan struct{})
		s.announceNow = make(chan struct{}, 1)
		s.unfrozen = make(chan struct{})
		close(s.unfrozen)
		s.period = s.newPeriod(time.Now())
		s.load.lag = s.ReportLag
		s.handler = s.routes()
	})
}

func (s *Server) listen(ctx context.Context) (net.Listener, error) {
	if s.Listener != nil {
		return s.Listener, nil
	}
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", s.Address)
	return l, errors.Wrap(err, "listen")
}

// stop refuses new requests for DrainFor, so that an instance that does not know yet
// that the server is draining gets a refusal rather than a closed connection. Then it
// waits for the requests in flight.
func (s *Server) stop(ctx context.Context, h *http.Server) error {
	s.Log.Info("backend server is draining", "name", s.Name)
	s.stopping.Store(true)
	s.announceSoon()
	ctx, cancel := context.WithTimeout(ctx, s.DrainFor+s.StopTimeout)
	defer cancel()
	select {
	case <-time.After(s.DrainFor):
	case <-s.crashed:
		return ErrCrashed
	}
	return errors.Wrap(h.Shutdown(ctx), "wait for requests in flight")
}

// simulateCrash ends Run and drops the requests in flight.
func (s *Server) simulateCrash() {
	s.crashOnce.Do(func() { close(s.crashed) })
}

func (s *Server) hasCrashed() bool {
	select {
	case <-s.crashed:
		return true
	default:
		return false
	}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}
