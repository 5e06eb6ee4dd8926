// Package server is a stand-in backend server for tests and trials.
//
// A Server runs at most Slots requests at once; further ones wait inside it.
// Each run takes a random service time. After its start, and whenever it is
// told to, the server is in cold start: it then bears only ColdBearing requests
// at once, and one more makes it fall over. A server that has fallen over loses
// what it was running, fails each request for a time and then starts cold.
//
// The server announces itself to the instances and renews the announcement.
// Switches, set by method or over HTTP, make it shed, drain, slow down, freeze,
// break its answers or crash. A Report tells what it was made to bear and which
// idempotency keys ran more than once.
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

// ErrCrashed is returned by Run after a simulated process death.
var ErrCrashed = errors.New("backend server crashed")

const (
	defaultDrainFor     = 2 * time.Second
	defaultStopTimeout  = 10 * time.Second
	defaultFallOverFor  = 500 * time.Millisecond
	readHeaderTimeout   = 10 * time.Second
	mostBodyBytes       = 1 << 20
	retryAfterSeconds   = "1"
	headerRequestID     = "X-Request-Id"
	headerTimeout       = "X-Request-Timeout"
	headerAttempt       = "X-Request-Attempt"
	headerKey           = "Idempotency-Key"
	headerCrash         = "X-Stand-Crash"
	headerName          = "X-Stand-Name"
	slowFailureDuration = 100 * time.Millisecond
)

// Server is a backend server. Its exported fields are set before Run or
// ServeHTTP and not changed afterwards.
type Server struct {
	// Name is unique in the cell.
	Name string
	// Service is the one service that it announces.
	Service string
	// DataCentre is where it runs.
	DataCentre string
	// Address is host:port to listen on. Unused where Listener is set.
	Address string
	// Listener takes the place of Address where set. Run closes it.
	Listener net.Listener
	// Incarnation differs after each start. Zero takes the time of the start.
	Incarnation uint64
	// Slots is the most requests that run at once. Zero means 1.
	Slots int
	// ShedAbove is the most requests inside, waiting ones included, above which
	// further ones are refused. Zero never refuses.
	ShedAbove int
	// Latency is the mean service time.
	Latency time.Duration
	// Fixed makes each service time equal to Latency. Otherwise it is
	// exponentially distributed.
	Fixed bool
	// Seed determines the service times.
	Seed uint64
	// Seeds are host:port of the instances to announce to at first. Empty
	// announces to none.
	Seeds []string
	// ColdFor is the length of a cold start. Zero has no cold start.
	ColdFor time.Duration
	// ColdBearing is the most requests at once that it bears in cold start,
	// counted since the cold start began. Zero means 1.
	ColdBearing int
	// ColdSlow multiplies the service times in cold start. Zero means 1.
	ColdSlow float64
	// FallOverFor is how long it fails requests after it fell over. Zero means
	// half a second.
	FallOverFor time.Duration
	// ReportLag is the age of the load that the load endpoint reports.
	ReportLag time.Duration
	// ProbeLatency is the time that an answer to a probe takes.
	ProbeLatency time.Duration
	// ConnectLatency is the time that a new connection takes to become usable.
	ConnectLatency time.Duration
	// MostConnections is the most connections open at once; it closes further
	// ones. Zero sets no bound.
	MostConnections int
	// DrainFor is how long a stopping server goes on refusing requests politely
	// before it closes its listener. Zero means two seconds.
	DrainFor time.Duration
	// StopTimeout bounds the wait for requests in flight when stopping. Zero
	// means ten seconds.
	StopTimeout time.Duration
	// Log receives the events. Nil discards them.
	Log *slog.Logger

	once     sync.Once
	handler  http.Handler
	slots    chan struct{}
	crashed  chan struct{}
	crash    sync.Once
	announce chan struct{}
	stopping atomic.Bool
	runs     ledger

	mu     sync.Mutex
	random *rand.Rand
	mode   Mode
	speed  float64
	thawed chan struct{}
	period *period
	load   history
	counts Report
	inside int
}

// Run serves and announces until ctx ends, and then stops gracefully: it
// announces that it is draining, refuses new requests, and waits for those in
// flight. It returns ErrCrashed after a crash.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	l, err := s.listen(ctx)
	if err != nil {
		return err
	}
	s.Log.Info("serving", "name", s.Name, "service", s.Service, "address", l.Addr().String())
	sockets := &sockets{Listener: l, server: s, open: make(map[*socket]struct{})}
	h := &http.Server{Handler: s.silencing(sockets), ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- h.Serve(sockets) }()
	announcing, stopAnnouncing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAnnouncing()
	announced := s.startAnnouncing(announcing, l.Addr().String())
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
	<-announced
	s.Log.Info("stopped", "name", s.Name)
	return err
}

// ServeHTTP answers a request as a running server would, for use without a
// listener.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.init()
	s.handler.ServeHTTP(w, r)
}

func (s *Server) init() {
	s.once.Do(func() {
		s.Slots = max(s.Slots, 1)
		s.ColdBearing = max(s.ColdBearing, 1)
		s.FallOverFor = orDefault(s.FallOverFor, defaultFallOverFor)
		s.DrainFor = orDefault(s.DrainFor, defaultDrainFor)
		s.StopTimeout = orDefault(s.StopTimeout, defaultStopTimeout)
		if s.ColdSlow == 0 {
			s.ColdSlow = 1
		}
		if s.Incarnation == 0 {
			s.Incarnation = uint64(time.Now().UnixNano())
		}
		if s.Log == nil {
			s.Log = slog.New(slog.DiscardHandler)
		}
		s.speed = 1
		s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
		s.slots = make(chan struct{}, s.Slots)
		s.crashed = make(chan struct{})
		s.announce = make(chan struct{}, 1)
		s.thawed = make(chan struct{})
		close(s.thawed)
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

// stop refuses new requests for DrainFor, so that instances that have not yet
// learned of the drain get a refusal rather than a closed connection.
func (s *Server) stop(ctx context.Context, h *http.Server) error {
	s.Log.Info("draining", "name", s.Name)
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

// die simulates the death of the process.
func (s *Server) die() {
	s.crash.Do(func() { close(s.crashed) })
}

func (s *Server) hasCrashed() bool {
	select {
	case <-s.crashed:
		return true
	default:
		return false
	}
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}
