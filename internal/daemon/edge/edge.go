// Package edge builds an instance that takes requests of callers and has no disk:
// it follows the fleet, chooses backend servers by itself and sends to them.
package edge

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/control/access"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/control/follow"
	"github.com/snipefront/snipefront/internal/daemon/serve"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/dispatch/link"
	"github.com/snipefront/snipefront/internal/dispatch/pool"
	"github.com/snipefront/snipefront/internal/entry/pipe"
	"github.com/snipefront/snipefront/internal/entry/proxy"
	"github.com/snipefront/snipefront/internal/observe/stats"
	"github.com/snipefront/snipefront/internal/observe/status"
	"github.com/snipefront/snipefront/internal/request/paths"
	"github.com/snipefront/snipefront/internal/request/poison"
	"github.com/snipefront/snipefront/internal/request/submit"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

const (
	// retryBurst is the most repeats that can be saved up. All instances together
	// share one budget, which this is a small part of.
	retryBurst = 3
	// retryShare is what a request adds to the budget of repeats.
	retryShare = 0.15
	// expireInterval is the time between looks for unused connections.
	expireInterval = time.Second
	// drainShare and closeShare are the parts of the grace time after which no new
	// connection is taken, and after which the process ends in any case.
	drainShare = 0.7
	closeShare = 0.93
	// idlePoll is the time between looks whether all requests have ended.
	idlePoll = 20 * time.Millisecond
)

// Settings say what an edge instance is.
type Settings struct {
	// Self is this instance. Its name is its caller address.
	Self fleet.Instance
	// Seeds returns peer addresses of control instances.
	Seeds func() []string
	// MetricsAddress is host:port.
	MetricsAddress string
	// Interfaces are the servers for everyone but callers, by address.
	Interfaces map[string]func(ready func() bool) http.Handler
	Fields     snipefront.Fields
	// Decode reads the operator's configuration and checks it.
	Decode func(text []byte) (*paths.Table, error)
	// Grace is the time from the signal to stop to the end of the process.
	Grace time.Duration
}

// Edge is a running edge instance.
type Edge struct {
	settings Settings
	logger   *slog.Logger
	follower *follow.Follower
	informer *submit.Replicator
	targets  *health.Set
	pool     *pool.Pool
	gate     *proxy.Proxy
	server   *pipe.Server
	stats    *stats.Stats
	group    serve.Group
	// version is that of the configuration that was last tried.
	version uint64
	poison  *poison.Register
	// control holds the control instances.
	control atomic.Pointer[[]snipefront.Instance]
	// index is that of the last view.
	index atomic.Uint64
	// suspects is the index of the view whose suspects were taken in.
	suspects uint64
	// begun is true once requests are taken.
	begun bool
}

// Options returns what fx needs to build and run the instance.
func Options(s Settings, logger *slog.Logger) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.Supply(s, logger),
		fx.Provide(stats.New, newTargets, newPool, newPoison, newLink, newDispatcher, newGate, newServer, newEdge),
		fx.Invoke(run),
	)
}

func newTargets(s Settings) *health.Set { return &health.Set{Self: s.Self.Instance} }

func newPoison() *poison.Register { return &poison.Register{} }

func newPool() *pool.Pool { return &pool.Pool{} }

func newLink(s Settings, t *health.Set, p *pool.Pool, st *stats.Stats, logger *slog.Logger) *link.Link {
	return &link.Link{Pool: p, Targets: t, Fields: s.Fields, Counter: st, Logger: logger}
}

func newDispatcher(t *health.Set, l *link.Link, p *poison.Register, st *stats.Stats, logger *slog.Logger) *direct.Dispatcher {
	return &direct.Dispatcher{
		Targets: t, Link: l, Poison: p, Counter: st, Logger: logger,
		Budget: &budget.Share{Burst: retryBurst}, RetryShare: retryShare,
	}
}

func newGate(s Settings, d *direct.Dispatcher, st *stats.Stats, logger *slog.Logger) *proxy.Proxy {
	return &proxy.Proxy{Sender: d, Fields: s.Fields, Counter: st, Logger: logger}
}

func newServer(g *proxy.Proxy, logger *slog.Logger) *pipe.Server {
	return &pipe.Server{Handler: g, Limits: g.Limits, Logger: logger}
}

func newEdge(s Settings, t *health.Set, p *pool.Pool, q *poison.Register, g *proxy.Proxy, v *pipe.Server, st *stats.Stats, logger *slog.Logger) *Edge {
	e := &Edge{settings: s, logger: logger, targets: t, pool: p, poison: q, gate: g, server: v, stats: st}
	e.group.Logger = logger
	c := &peers.Client{}
	e.informer = &submit.Replicator{Submitter: &access.Access{Control: e.controlInstances, Caller: c}, Logger: logger}
	q.Spread = e.informer
	e.follower = &follow.Follower{Self: s.Self, Seeds: s.Seeds, Caller: c, Publish: e.publish, Logger: logger}
	return e
}

// run hooks the instance into the life of the process.
func run(f fx.Lifecycle, e *Edge) {
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

func (e *Edge) start(ctx context.Context) error {
	l, err := serve.Listen(ctx, e.settings.Self.CallerAddress)
	if err != nil {
		return err
	}
	for address, h := range e.settings.Interfaces {
		if err := e.group.HTTP(ctx, "interface", address, h(e.ready)); err != nil {
			return err
		}
	}
	metrics := status.Handler(e.stats.Gatherer(), e.report, e.logger)
	if err := e.group.HTTP(ctx, "metrics", e.settings.MetricsAddress, metrics); err != nil {
		return err
	}
	e.group.Go(ctx, "callers", func(ctx context.Context) error { return e.server.Serve(ctx, l) })
	e.group.Go(ctx, "follower", e.follower.Run)
	e.group.Go(ctx, "informer", e.informer.Run)
	e.group.Go(ctx, "pool", func(ctx context.Context) error { return timer.Every(ctx, expireInterval, e.pool.Expire) })
	e.logger.Info("started", "instance", e.settings.Self.Name, "dataCentre", e.settings.Self.DataCentre, "seeds", e.settings.Seeds())
	return nil
}

// ready returns whether the instance takes requests.
func (e *Edge) ready() bool { return e.gate.Table() != nil && !e.server.Draining() }

// publish takes in a view of the fleet.
func (e *Edge) publish(v fleet.View) {
	e.configure(v.Document)
	t := e.gate.Table()
	if t == nil {
		return
	}
	e.targets.Update(time.Now(), v, t.Routing)
	e.index.Store(v.Index)
	e.logger.Info("view taken", "index", v.Index, "version", v.Document.Version, "servers", len(v.Servers), "instances", len(v.Instances), "out", len(v.Out))
	e.shareSuspects(v)
	if !e.begun {
		e.begun = true
		e.follower.SetReady(true)
	}
}

// report returns what the instance believes.
func (e *Edge) report() status.Report {
	r := status.Report{
		Instance: e.settings.Self.Name, Role: "edge", DataCentre: e.settings.Self.DataCentre,
		Index: e.index.Load(), Servers: e.targets.States(time.Now()),
	}
	r.Source, r.Heard = e.follower.Heard()
	if t := e.gate.Table(); t != nil {
		r.Version = t.Routing.Version
	}
	return r
}

// shareSuspects takes in the requests under which backend servers fell elsewhere,
// and learns of starts that ended.
func (e *Edge) shareSuspects(v fleet.View) {
	now := time.Now()
	for _, n := range v.Servers {
		if n.Index > e.suspects {
			e.poison.Alive(now, direct.ServerOf(n))
		}
	}
	e.poison.Merge(now, submit.Records(v, e.suspects))
	e.suspects = v.Index
	var list []snipefront.Instance
	for _, n := range v.Instances {
		if n.Control {
			list = append(list, n.Instance)
		}
	}
	e.control.Store(&list)
}

// controlInstances returns the control instances, or the seeds where none is known.
func (e *Edge) controlInstances() []snipefront.Instance {
	if list := e.control.Load(); list != nil && len(*list) > 0 {
		return *list
	}
	return access.At(e.settings.Seeds())
}

// configure puts the routes of d into force.
func (e *Edge) configure(d fleet.Document) {
	if d.Version <= e.version {
		return
	}
	e.version = d.Version
	t, err := e.table(d)
	if err != nil {
		e.logger.Error("configuration not taken", "version", d.Version, "error", err)
		return
	}
	e.gate.SetTable(t)
	e.logger.Info("configuration in force", "version", d.Version, "routes", len(t.Routing.Routes))
}

func (e *Edge) table(d fleet.Document) (*paths.Table, error) {
	text, err := d.Text()
	if err != nil {
		return nil, err
	}
	return e.settings.Decode(text)
}

// drain is a planned stop: callers are sent elsewhere, and what is in flight ends.
func (e *Edge) drain() {
	e.logger.Info("stopping", "instance", e.settings.Self.Name, "grace", e.settings.Grace)
	e.server.Drain()
	e.follower.SetReady(false)
	begun := time.Now()
	time.Sleep(time.Duration(drainShare * float64(e.settings.Grace)))
	e.server.CloseListener()
	for e.server.CloseIdle() > 0 && time.Since(begun) < time.Duration(closeShare*float64(e.settings.Grace)) {
		time.Sleep(idlePoll)
	}
}
