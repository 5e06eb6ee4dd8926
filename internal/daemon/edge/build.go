package edge

import (
	"context"
	"log/slog"
	"time"

	"go.uber.org/fx"

	"github.com/snipefront/snipefront/internal/control/access"
	"github.com/snipefront/snipefront/internal/control/follow"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
	"github.com/snipefront/snipefront/internal/dispatch/canary"
	"github.com/snipefront/snipefront/internal/dispatch/cross"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/grant"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/dispatch/link"
	"github.com/snipefront/snipefront/internal/dispatch/pool"
	"github.com/snipefront/snipefront/internal/entry/pipe"
	"github.com/snipefront/snipefront/internal/entry/proxy"
	"github.com/snipefront/snipefront/internal/observe/stats"
	"github.com/snipefront/snipefront/internal/observe/tally"
	"github.com/snipefront/snipefront/internal/request/poison"
	"github.com/snipefront/snipefront/internal/request/submit"
	"github.com/snipefront/snipefront/internal/rpc/bound"
	"github.com/snipefront/snipefront/internal/rpc/pace"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// countsTryTimeout bounds one call that submits counts, so that a control instance which does
// not answer delays the judgement of a version little.
const countsTryTimeout = 300 * time.Millisecond

// Options returns the fx options that build and run an edge instance.
func Options(s Settings, logger *slog.Logger) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.Supply(s, logger),
		fx.Provide(stats.New, newTally, newVersions, newBodies, newRetries, newProbes, newQuotas, newTargets, newPool, newSuspects, newLink, newChecks, newCrossing, newDispatcher, newProxy, newServer, newEdge),
		fx.Invoke(registerHooks),
	)
}

func newTally(counters *stats.Stats, logger *slog.Logger) *tally.Tally {
	return &tally.Tally{Next: counters, Logger: logger}
}

func newRetries(s Settings) *budget.Retries { return &budget.Retries{Limit: s.Retries} }

func newProbes(s Settings) *budget.Probes { return &budget.Probes{PerSecond: s.ProbeRate} }

func newQuotas(s Settings, counters *stats.Stats, logger *slog.Logger) *grant.Service {
	return &grant.Service{Self: s.Self.Name, Limit: s.Quotas, Counter: counters, Logger: logger}
}

func newTargets(s Settings, logger *slog.Logger) *health.Set {
	return &health.Set{Self: s.Self.Instance, Rollouts: s.Rollouts, Logger: logger}
}

func newVersions(s Settings, counters *stats.Stats) *canary.Counter {
	return &canary.Counter{Instance: s.Self.Name, Metrics: counters}
}

func newSuspects(counters *stats.Stats, logger *slog.Logger) *poison.Register {
	return &poison.Register{Trials: true, Counter: counters, Logger: logger}
}

func newBodies(s Settings) bound.Bodies { return bound.Share(s.MemoryBytes, link.MaxAnswerBytes) }

func newPool() *pool.Pool { return &pool.Pool{} }

func newLink(s Settings, bodies bound.Bodies, targets *health.Set, connections *pool.Pool, counters *stats.Stats, logger *slog.Logger) *link.Link {
	shaper := &pace.Shaper{BytesPerSecond: s.LinkBytesPerSecond}
	return &link.Link{Pool: connections, Memory: bodies.Answers, Shaper: shaper, Targets: targets, Fields: s.Fields, Counter: counters, Logger: logger}
}

func newChecks(targets *health.Set, l *link.Link, probes *budget.Probes, suspects *poison.Register, logger *slog.Logger) *direct.Checks {
	return &direct.Checks{Targets: targets, Link: l, Probes: probes, Poison: suspects, Logger: logger}
}

func newCrossing(s Settings, counters *stats.Stats, logger *slog.Logger) *cross.Decider {
	return &cross.Decider{BytesPerInTime: s.CrossingBytes, Counter: counters, Logger: logger}
}

func newDispatcher(bodies bound.Bodies, targets *health.Set, l *link.Link, checks *direct.Checks, retries *budget.Retries, probes *budget.Probes, suspects *poison.Register, versions *canary.Counter, counters *stats.Stats, attempts *tally.Tally, crossing *cross.Decider, logger *slog.Logger) *direct.Dispatcher {
	d := &direct.Dispatcher{
		Targets: targets, Link: l, Poison: suspects, Counter: counters, Attempts: attempts, Logger: logger,
		Retries: retries, Probes: probes, Checks: checks, Answers: bodies.Answers, Rollouts: versions,
	}
	if crossing.BytesPerInTime > 0 {
		d.Crossing = crossing
	}
	return d
}

func newProxy(s Settings, bodies bound.Bodies, d *direct.Dispatcher, quotas *grant.Service, counters *stats.Stats, logger *slog.Logger) *proxy.Proxy {
	return &proxy.Proxy{Sender: d, Fields: s.Fields, Counter: counters, Answers: bodies.Answers, Quota: quotas, Logger: logger}
}

func newServer(s Settings, bodies bound.Bodies, px *proxy.Proxy, logger *slog.Logger) *pipe.Server {
	shaper := &pace.Shaper{BytesPerSecond: s.LinkBytesPerSecond}
	return &pipe.Server{Handler: px, Observer: px, Bodies: bodies.Requests, Answers: bodies.Answers, Shaper: shaper, Limits: px.Limits, Logger: logger}
}

// parts are the components of an Edge that fx builds.
type parts struct {
	fx.In

	Settings Settings
	Logger   *slog.Logger
	Targets  *health.Set
	Pool     *pool.Pool
	Suspects *poison.Register
	// Dispatcher gets its Trials from newEdge, which knows the control instances.
	Dispatcher *direct.Dispatcher
	Proxy      *proxy.Proxy
	Server     *pipe.Server
	Retries    *budget.Retries
	Probes     *budget.Probes
	Quotas     *grant.Service
	Stats      *stats.Stats
	Bodies     bound.Bodies
	Tally      *tally.Tally
	Versions   *canary.Counter
}

func newEdge(p parts) *Edge {
	e := &Edge{
		settings: p.Settings, logger: p.Logger, targets: p.Targets, pool: p.Pool, suspects: &submit.Receiver{Register: p.Suspects},
		proxy: p.Proxy, server: p.Server, checks: p.Dispatcher.Checks, retries: p.Retries, probes: p.Probes, quotas: p.Quotas, stats: p.Stats, tally: p.Tally, versions: p.Versions,
	}
	e.group.Logger = p.Logger
	p.Stats.ObserveBodies(stats.RequestBodies, p.Bodies.Requests.Used)
	p.Stats.ObserveBodies(stats.AnswerBodies, p.Bodies.Answers.Used)
	client := &peers.Client{}
	e.replicator = &submit.Replicator{Submitter: &access.Client{Control: e.controlInstances, Caller: client}, Logger: p.Logger}
	p.Suspects.Spread = e.replicator
	p.Dispatcher.Trials = &submit.Trials{Submitter: e.replicator.Submitter, Logger: p.Logger}
	e.reports = &submit.Reports{Submitter: e.replicator.Submitter, Logger: p.Logger}
	p.Targets.Sharer = e.reports
	e.counts = &submit.Counts{
		Submitter: &access.Client{Control: e.controlInstances, Caller: client, TryTimeout: countsTryTimeout},
		Counter:   p.Versions, OldInFlight: p.Targets.OldInFlight, Logger: p.Logger,
	}
	e.follower = &follow.Follower{Self: p.Settings.Self, Seeds: p.Settings.Seeds, Caller: client, Publish: e.apply, Logger: p.Logger}
	p.Quotas.LastContact = func() time.Time {
		_, at := e.follower.LastContact()
		return at
	}
	p.Stats.ObserveQuotas(p.Quotas.Tokens, p.Quotas.Owned)
	return e
}

// registerHooks starts and stops the instance with the fx application.
func registerHooks(f fx.Lifecycle, e *Edge) {
	ctx, cancel := context.WithCancel(context.Background())
	f.Append(fx.Hook{
		OnStart: func(context.Context) error { return e.start(ctx) },
		OnStop: func(context.Context) error {
			e.drain()
			cancel()
			err := e.group.Wait()
			e.logger.Info("stopped", "instance", e.settings.Self.Name)
			return err
		},
	})
}
