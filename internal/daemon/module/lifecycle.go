package module

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/config/sets"
	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/dispatch/cells"
	"github.com/snipefront/snipefront/internal/dispatch/probe"
	"github.com/snipefront/snipefront/internal/entry/admin"
	"github.com/snipefront/snipefront/internal/entry/front"
	"github.com/snipefront/snipefront/internal/entry/locate"
	"github.com/snipefront/snipefront/internal/entry/notice"
	"github.com/snipefront/snipefront/internal/request/claim"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

const (
	// addressLifetime is for how long a caller may keep an address.
	addressLifetime = 3 * time.Second
	// leaveTimeout bounds the wait until no new answer names a stopping instance.
	leaveTimeout = 10 * time.Second
	// answerMargin is the time that an address may take to reach its caller.
	answerMargin = 500 * time.Millisecond
	// headerTimeout bounds reading the header of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds how long a connection without a request stays open.
	idleTimeout = 2 * time.Minute
	// peerHeaderBytes bounds the header of a call between instances.
	peerHeaderBytes = 32 << 10
	// pollInterval is the time between looks at what a stop waits for.
	pollInterval = 10 * time.Millisecond
)

// Lifecycle starts and stops an instance.
type Lifecycle struct {
	settings sets.Settings
	sockets  Sockets
	logger   *slog.Logger
	member   *member.Member
	cells    *cells.Set
	leader   *leader.Leader
	claims   *claim.Filter
	prober   *probe.Prober

	caller   *http.Server
	peer     *http.Server
	operator *http.Server

	// cancel ends the controllers, each of which then reports on ended.
	cancel      context.CancelFunc
	ended       chan error
	controllers int
	// closed is where each server reports its end.
	closed  chan error
	servers int
}

func newLifecycle(
	s sets.Settings, sock Sockets, logger *slog.Logger, m *member.Member, l *cells.Set, d *leader.Leader, c *claim.Filter,
	b *probe.Prober, f *front.Front, at *locate.Handler, an *notice.Handler, ad *admin.Admin, p *peers.Server,
) *Lifecycle {
	own := mux.NewRouter()
	own.Handle("/.well-known/snipefront/addresses", at).Methods(http.MethodGet)
	own.Handle("/.well-known/snipefront/announce", an).Methods(http.MethodPost)
	callers := mux.NewRouter().SkipClean(true).UseEncodedPath()
	callers.PathPrefix("/.well-known/snipefront/").Handler(own)
	callers.PathPrefix("/").Handler(f)
	between := mux.NewRouter()
	p.Route(between)
	l.Lease = &m.Lease
	operators := mux.NewRouter()
	ad.Route(operators)
	return &Lifecycle{
		settings: s,
		sockets:  sock,
		logger:   logger,
		member:   m,
		cells:    l,
		leader:   d,
		claims:   c,
		prober:   b,
		caller:   newHTTP(closing(callers, m.Leaving), s.MaxHeaderBytes, logger),
		peer:     newHTTP(between, peerHeaderBytes, logger),
		operator: newHTTP(operators, s.MaxHeaderBytes, logger),
		ended:    make(chan error),
		closed:   make(chan error),
	}
}

func newHTTP(h http.Handler, headerBytes int, logger *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
}

// closing asks callers to close their connections, by their next answers, while
// the instance is leaving. An idle connection stays open, since a request may be
// under way on it.
func closing(next http.Handler, leaving func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		if leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, h)
	})
}

// Start starts the servers and the controllers.
func (n *Lifecycle) Start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	n.cancel = cancel
	n.serve(n.peer, n.sockets.Peer)
	n.serve(n.operator, n.sockets.Operator)
	if n.leader != nil {
		n.run(ctx, n.leader.Run)
	}
	n.run(ctx, n.cells.Run)
	n.run(ctx, n.prober.Run)
	n.run(ctx, n.member.Run)
	n.serve(n.caller, n.sockets.Caller)
	n.logger.Info("started", "instance", n.settings.Instance, "callers", n.sockets.Caller.Addr(), "operators", n.sockets.Operator.Addr())
	return nil
}

// Stop is a planned stop: the instance gives up its cells, serves callers until
// the answers that name it have lapsed, finishes what is in flight and then ends
// its lease.
func (n *Lifecycle) Stop(ctx context.Context) error {
	n.logger.Info("stopping", "instance", n.settings.Instance)
	n.member.Leave()
	n.awaitLapse(ctx)
	err := n.caller.Shutdown(ctx)
	n.await(ctx, func() bool { return n.cells.InFlight() == 0 && n.claims.Pending() == 0 })
	n.cancel()
	for range n.controllers {
		err = first(err, <-n.ended)
	}
	return n.closeRest(ctx, err)
}

// awaitLapse waits until the last answer that names this instance has lapsed.
// Other instances name it until they have confirmed an epoch without it.
func (n *Lifecycle) awaitLapse(ctx context.Context) {
	leaving, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	n.await(leaving, n.hasLeft)
	lapse := time.NewTimer(addressLifetime + answerMargin)
	defer lapse.Stop()
	select {
	case <-ctx.Done():
	case <-lapse.C:
	}
}

// hasLeft returns whether every holder of a lease has confirmed an epoch without
// this instance, or this instance can no longer learn of it.
func (n *Lifecycle) hasLeft() bool {
	v := n.member.View()
	return !v.In() && !v.Waiting || !n.member.Lease.Held(time.Now())
}

func (n *Lifecycle) closeRest(ctx context.Context, err error) error {
	err = first(err, n.peer.Shutdown(ctx))
	err = first(err, n.operator.Shutdown(ctx))
	for range n.servers {
		err = first(err, <-n.closed)
	}
	n.logger.Info("stopped", "instance", n.settings.Instance)
	return errors.Wrap(err, "stop")
}

// await waits until done or until ctx ends.
func (n *Lifecycle) await(ctx context.Context, done func() bool) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (n *Lifecycle) run(ctx context.Context, f func(context.Context) error) {
	n.controllers++
	go func() {
		err := f(ctx)
		if err != nil {
			n.logger.Error("controller ended", "error", err)
		}
		n.ended <- err
	}()
}

func (n *Lifecycle) serve(s *http.Server, l net.Listener) {
	n.servers++
	go func() {
		err := s.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		if err != nil {
			n.logger.Error("server ended", "address", l.Addr(), "error", err)
		}
		n.closed <- err
	}()
}

// first returns the earlier of two errors that is not nil.
func first(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// incarnation returns a number that differs between starts of a process.
func incarnation() uint64 { return uint64(time.Now().UnixNano()) }
