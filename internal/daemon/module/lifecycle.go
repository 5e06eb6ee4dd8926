package module

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/config/setup"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/dispatch/cells"
	"github.com/snipefront/snipefront/internal/entry/calls"
	"github.com/snipefront/snipefront/internal/request/claim"
)

const (
	// addressLifetime is how long a caller may cache an address.
	addressLifetime = 3 * time.Second
	// leaveTimeout bounds the wait until all other instances have stopped giving callers
	// the address of the stopping instance.
	leaveTimeout = 10 * time.Second
	// deliveryMargin is the time that an answer with an address may take to reach its
	// caller.
	deliveryMargin = 500 * time.Millisecond
	// pollInterval is how often a stop checks the condition that it waits for.
	pollInterval = 10 * time.Millisecond
	// stopMargin is the time that a planned stop takes after the last answer.
	stopMargin = 2 * time.Second
)

// Lifecycle starts and stops an instance.
type Lifecycle struct {
	settings setup.Settings
	sockets  Sockets
	logger   *slog.Logger
	member   *member.Member
	cells    *cells.Set
	claims   *claim.Filter
	servers  servers
	loops    backgroundLoops
	callers  *calls.Handler

	// cutOff cancels the requests of callers.
	cutOff context.CancelFunc
	// cancel stops the background loops. Each sends its error, or nil, to loopErrs when
	// it returns.
	cancel   context.CancelFunc
	loopErrs chan error
	// serverErrs receives the error of each server when it stops. serversStarted is
	// the number of servers.
	serverErrs     chan error
	serversStarted int
}

func newLifecycle(
	s setup.Settings, sock Sockets, logger *slog.Logger, m *member.Member, cellSet *cells.Set, claims *claim.Filter, httpServers servers, loops backgroundLoops, callers *calls.Handler,
) *Lifecycle {
	return &Lifecycle{
		settings:   s,
		sockets:    sock,
		logger:     logger,
		member:     m,
		cells:      cellSet,
		claims:     claims,
		servers:    httpServers,
		loops:      loops,
		callers:    callers,
		loopErrs:   make(chan error),
		serverErrs: make(chan error),
	}
}

// Start starts the servers and the background loops.
func (lc *Lifecycle) Start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	lc.cancel = cancel
	lc.serve(lc.servers.peer, lc.servers.meter.Listener(lc.sockets.Peer))
	lc.serve(lc.servers.operator, lc.sockets.Operator)
	for _, f := range lc.loops {
		lc.run(ctx, f)
	}
	requests, cutOff := context.WithCancel(context.WithoutCancel(ctx))
	lc.cutOff = cutOff
	lc.servers.caller.BaseContext = func(net.Listener) context.Context { return requests }
	lc.serve(lc.servers.caller, lc.sockets.Caller)
	lc.logger.Info("started", "instance", lc.settings.Instance, "callers", lc.sockets.Caller.Addr(), "operators", lc.sockets.Operator.Addr())
	return nil
}

// Stop stops the instance as planned. The instance leaves the fleet, so that its cells
// get other owners, serves callers until the addresses that they cache have expired,
// completes the requests in flight and then releases its lease. ctx bounds the waits for
// callers and requests; a request that may last longer is refused, and one that does is
// canceled and answered.
func (lc *Lifecycle) Stop(ctx context.Context) error {
	lc.logger.Info("stopping", "instance", lc.settings.Instance)
	defer lc.cutOff()
	if end, ok := ctx.Deadline(); ok {
		end = end.Add(-stopMargin)
		lc.callers.Stop(time.Now(), end)
		defer time.AfterFunc(time.Until(end), lc.cutOff).Stop()
	}
	lc.member.Leave()
	lc.awaitAddressExpiry(ctx)
	err := lc.servers.caller.Shutdown(ctx)
	lc.await(ctx, func() bool { return lc.cells.InFlight() == 0 && lc.claims.Pending() == 0 })
	lc.cancel()
	for range lc.loops {
		err = firstError(err, <-lc.loopErrs)
	}
	return lc.shutdownRest(ctx, err)
}

// awaitAddressExpiry waits until callers no longer cache the address of this instance:
// at most leaveTimeout for the other instances to stop giving it out, then
// addressLifetime + deliveryMargin. Other instances give it out until they have
// confirmed an epoch without this instance. The end of ctx ends both waits.
func (lc *Lifecycle) awaitAddressExpiry(ctx context.Context) {
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	lc.await(leaveCtx, lc.hasLeft)
	expiry := time.NewTimer(addressLifetime + deliveryMargin)
	defer expiry.Stop()
	select {
	case <-ctx.Done():
	case <-expiry.C:
	}
}

// hasLeft reports whether every lease holder has confirmed an epoch without this
// instance, or this instance has lost its lease and can no longer find out.
func (lc *Lifecycle) hasLeft() bool {
	v := lc.member.View()
	return !v.InEpoch() && !v.Waiting || !lc.member.Lease.Held(time.Now())
}

func (lc *Lifecycle) shutdownRest(ctx context.Context, err error) error {
	err = firstError(err, lc.servers.peer.Shutdown(ctx))
	err = firstError(err, lc.servers.operator.Shutdown(ctx))
	for range lc.serversStarted {
		err = firstError(err, <-lc.serverErrs)
	}
	lc.logger.Info("stopped", "instance", lc.settings.Instance)
	return errors.Wrap(err, "stop")
}

// await waits until done returns true or ctx ends.
func (lc *Lifecycle) await(ctx context.Context, done func() bool) {
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

func (lc *Lifecycle) run(ctx context.Context, f func(context.Context) error) {
	go func() {
		err := f(ctx)
		if err != nil {
			lc.logger.Error("background loop failed; the instance keeps running without it", "error", err)
		}
		lc.loopErrs <- err
	}()
}

func (lc *Lifecycle) serve(s *http.Server, l net.Listener) {
	lc.serversStarted++
	go func() {
		err := s.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		if err != nil {
			lc.logger.Error("server failed", "address", l.Addr(), "error", err)
		}
		lc.serverErrs <- err
	}()
}

// firstError returns a, or b if a is nil.
func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// incarnation returns a random number, which differs at each start of a process.
func incarnation() uint64 { return rand.Uint64() }
