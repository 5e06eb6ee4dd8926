package module

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/config/setup"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/dispatch/cells"
	"github.com/snipefront/snipefront/internal/request/claim"
)

const (
	// addressLifetime is for how long a caller may keep an address.
	addressLifetime = 3 * time.Second
	// leaveTimeout bounds the wait until no new answer names a stopping instance.
	leaveTimeout = 10 * time.Second
	// answerMargin is the time that an address may take to reach its caller.
	answerMargin = 500 * time.Millisecond
	// pollInterval is the time between looks at what a stop waits for.
	pollInterval = 10 * time.Millisecond
)

// Lifecycle starts and stops an instance.
type Lifecycle struct {
	settings    setup.Settings
	sockets     Sockets
	logger      *slog.Logger
	member      *member.Member
	cells       *cells.Set
	claims      *claim.Filter
	servers     servers
	controllers controllers

	// cancel ends the controllers, each of which then reports on ended.
	cancel context.CancelFunc
	ended  chan error
	// closed is where each server reports its end, and open their number.
	closed chan error
	open   int
}

func newLifecycle(
	s setup.Settings, sock Sockets, logger *slog.Logger, m *member.Member, l *cells.Set, c *claim.Filter, h servers, r controllers,
) *Lifecycle {
	return &Lifecycle{
		settings:    s,
		sockets:     sock,
		logger:      logger,
		member:      m,
		cells:       l,
		claims:      c,
		servers:     h,
		controllers: r,
		ended:       make(chan error),
		closed:      make(chan error),
	}
}

// Start starts the servers and the controllers.
func (n *Lifecycle) Start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	n.cancel = cancel
	n.serve(n.servers.peer, n.servers.meter.Listener(n.sockets.Peer))
	n.serve(n.servers.operator, n.sockets.Operator)
	for _, f := range n.controllers {
		n.run(ctx, f)
	}
	n.serve(n.servers.caller, n.sockets.Caller)
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
	err := n.servers.caller.Shutdown(ctx)
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
	err = first(err, n.servers.peer.Shutdown(ctx))
	err = first(err, n.servers.operator.Shutdown(ctx))
	for range n.open {
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
	go func() {
		err := f(ctx)
		if err != nil {
			n.logger.Error("controller ended", "error", err)
		}
		n.ended <- err
	}()
}

func (n *Lifecycle) serve(s *http.Server, l net.Listener) {
	n.open++
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
