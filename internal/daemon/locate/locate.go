// Package locate builds an instance that tells callers which instances to use. It stores
// nothing: it follows the state of the fleet as an edge instance does, but isn't
// registered, and keeps answering from its last view while no control instance answers.
package locate

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/control/follow"
	"github.com/snipefront/snipefront/internal/control/lookup"
	"github.com/snipefront/snipefront/internal/daemon/serve"
	"github.com/snipefront/snipefront/internal/observe/stats"
	"github.com/snipefront/snipefront/internal/observe/status"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// updateInterval is the least time between two updates of the table, which take all
// changes until then together.
const updateInterval = 100 * time.Millisecond

// Settings are the settings of an instance.
type Settings struct {
	// Name identifies the instance in its log and its status report.
	Name       string
	DataCentre string
	// Seeds returns peer addresses of some control instances.
	Seeds func() []string
	// MetricsAddress is the address (host:port) of the metrics and the status report.
	MetricsAddress string
	// MaxAddresses bounds the addresses that a caller is given.
	MaxAddresses int
	// Interfaces maps each further listen address (host:port) to a function that returns
	// its handler, which answers callers from the table.
	Interfaces map[string]func(t *lookup.Table) http.Handler
}

// locator is a running instance.
type locator struct {
	settings Settings
	logger   *slog.Logger
	follower *follow.Follower
	table    *lookup.Table
	stats    *stats.Stats
	group    serve.Group
	// view is the last view that was received, and changed receives a value when it is
	// replaced.
	view    atomic.Pointer[fleet.View]
	changed chan struct{}
}

// Options returns the fx options that build and run an instance.
func Options(s Settings, logger *slog.Logger) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.Supply(s, logger),
		fx.Provide(stats.New, newLocator),
		fx.Invoke(registerHooks),
	)
}

func newLocator(s Settings, counters *stats.Stats, logger *slog.Logger) *locator {
	l := &locator{settings: s, logger: logger, stats: counters, table: &lookup.Table{Max: s.MaxAddresses}, changed: make(chan struct{}, 1)}
	l.group.Logger = logger
	l.follower = &follow.Follower{Seeds: s.Seeds, Caller: &peers.Client{}, Publish: l.publish, Logger: logger}
	l.follower.Self.DataCentre = s.DataCentre
	return l
}

// registerHooks starts and stops the instance with the fx application.
func registerHooks(f fx.Lifecycle, l *locator) {
	ctx, cancel := context.WithCancel(context.Background())
	f.Append(fx.Hook{
		OnStart: func(context.Context) error { return l.start(ctx) },
		OnStop: func(context.Context) error {
			l.logger.Info("stopping", "instance", l.settings.Name)
			cancel()
			err := l.group.Wait()
			l.logger.Info("stopped", "instance", l.settings.Name)
			return err
		},
	})
}

func (l *locator) start(ctx context.Context) error {
	// These servers share a name. The address in an error tells them apart.
	for address, h := range l.settings.Interfaces {
		if err := l.group.HTTP(ctx, "interface", address, h(l.table)); err != nil {
			return err
		}
	}
	metrics := status.Handler(l.stats.Gatherer(), l.report, l.logger)
	if err := l.group.HTTP(ctx, "metrics", l.settings.MetricsAddress, metrics); err != nil {
		return err
	}
	l.group.Go(ctx, "follower", l.follower.Run)
	l.group.Go(ctx, "table", l.updateTable)
	l.logger.Info("started", "instance", l.settings.Name, "dataCentre", l.settings.DataCentre, "seeds", l.settings.Seeds())
	return nil
}

// publish receives a new view.
func (l *locator) publish(v fleet.View, _ fleet.Delta) {
	l.view.Store(&v)
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// updateTable applies each new view to the table until ctx ends.
func (l *locator) updateTable(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.changed:
		}
		v := l.view.Load()
		l.table.Update(time.Now(), *v)
		l.logger.Info("applied a new fleet view", "index", v.Index, "instances", len(v.Instances), "out", len(v.Out))
		timer.Sleep(ctx, updateInterval)
	}
}

// report returns the state of the instance.
func (l *locator) report() status.Report {
	r := status.Report{Instance: l.settings.Name, Role: "locate", DataCentre: l.settings.DataCentre}
	r.Source, r.Heard = l.follower.LastContact()
	if v := l.view.Load(); v != nil {
		r.Index, r.Version = v.Index, v.Document.Version
	}
	return r
}
