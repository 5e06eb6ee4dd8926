// Package core builds a control instance of a fleet whose members are found at run
// time: a replica of the log, the keeper of the fleet, and the servers that other
// instances, backend servers, operators and callers' look-ups reach.
package core

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"go.uber.org/fx"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/access"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/control/keeper"
	"github.com/snipefront/snipefront/internal/daemon/serve"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/observe/stats"
	"github.com/snipefront/snipefront/internal/observe/status"
	"github.com/snipefront/snipefront/internal/quorum/disk"
	"github.com/snipefront/snipefront/internal/quorum/driver"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

const (
	// maxVoters bounds the voters of the control quorum. Further members learn.
	maxVoters = 5
	// lease is the time from which heartbeats (a 15th) and elections (a 5th) follow.
	lease = 4 * time.Second
	// tryTimeout bounds one call to the leader.
	tryTimeout = 400 * time.Millisecond
)

// Settings say what a control instance is.
type Settings struct {
	// Self is this instance. Its name is its peer address.
	Self fleet.Instance
	// Seeds are peer addresses of control instances, the same list at each instance
	// when the fleet starts for the first time.
	Seeds []string
	// JoinOnly is true where the fleet has started before.
	JoinOnly   bool
	DataFolder string
	// MetricsAddress is host:port.
	MetricsAddress string
	// Interfaces are the servers for everyone but other instances, by address.
	Interfaces map[string]func(k *keeper.Keeper) http.Handler
}

// Options returns what fx needs to build and run the control instance.
func Options(s Settings, logger *slog.Logger) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.Supply(s, logger),
		fx.Provide(newState, newClient, newLog, newAccess, newKeeper, newPeerServer, stats.New),
		fx.Invoke(run),
	)
}

func newState() *fleet.State { return &fleet.State{} }

func newClient() *peers.Client { return &peers.Client{} }

func newLog(s Settings, st *fleet.State, c *peers.Client, logger *slog.Logger) (*driver.Log, error) {
	folder := &disk.Folder{Path: s.DataFolder}
	saved, err := folder.Open()
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	return &driver.Log{
		Name:      s.Self.Name,
		Control:   access.At(s.Seeds),
		MaxVoters: maxVoters,
		JoinOnly:  s.JoinOnly,
		Leaseless: true,
		Machine:   st,
		Storage:   folder,
		Saved:     saved,
		Caller:    c,
		Lease:     lease,
		Random:    rand.Int64N,
		Logger:    logger,
	}, nil
}

func newAccess(s Settings, l *driver.Log, c *peers.Client) *access.Access {
	return &access.Access{
		Control: func() []snipefront.Instance {
			if list := l.Members(); len(list) > 0 {
				return access.At(list)
			}
			return access.At([]string{s.Self.Name})
		},
		Caller:     &caller{self: s.Self.Name, log: l, client: c},
		TryTimeout: tryTimeout,
	}
}

func newKeeper(s Settings, st *fleet.State, l *driver.Log, a *access.Access, c *stats.Stats, logger *slog.Logger) *keeper.Keeper {
	self := s.Self
	self.Keeper = self.Name
	return &keeper.Keeper{Self: self, State: st, Log: l, Submit: a, Counter: c, Logger: logger}
}

func newPeerServer(l *driver.Log, k *keeper.Keeper) *peers.Server {
	return &peers.Server{Log: l, Steps: l.Deliver, Watcher: k}
}

// run hooks the control instance into the life of the process.
func run(f fx.Lifecycle, s Settings, l *driver.Log, k *keeper.Keeper, p *peers.Server, c *peers.Client, st *stats.Stats, logger *slog.Logger) {
	g := &serve.Group{Logger: logger}
	ctx, cancel := context.WithCancel(context.Background())
	f.Append(fx.Hook{
		OnStart: func(context.Context) error {
			between := mux.NewRouter()
			p.Route(between)
			if err := g.HTTP(ctx, "peers", s.Self.PeerAddress, between); err != nil {
				return err
			}
			for address, h := range s.Interfaces {
				if err := g.HTTP(ctx, "interface", address, h(k)); err != nil {
					return err
				}
			}
			metrics := status.Handler(st.Gatherer(), func() status.Report { return report(s, l, k.State) }, logger)
			if err := g.HTTP(ctx, "metrics", s.MetricsAddress, metrics); err != nil {
				return err
			}
			g.Go(ctx, "log", l.Run)
			g.Go(ctx, "keeper", k.Run)
			g.Go(ctx, "client", c.Run)
			logger.Info("started", "instance", s.Self.Name, "dataCentre", s.Self.DataCentre, "seeds", s.Seeds, "joinOnly", s.JoinOnly)
			return nil
		},
		OnStop: func(context.Context) error {
			logger.Info("stopping", "instance", s.Self.Name)
			cancel()
			err := g.Wait()
			logger.Info("stopped", "instance", s.Self.Name)
			return err
		},
	})
}

// report returns what the control instance believes.
func report(s Settings, l *driver.Log, st *fleet.State) status.Report {
	lead := l.Leadership()
	v := st.View()
	r := status.Report{
		Instance: s.Self.Name, Role: "core", DataCentre: s.Self.DataCentre, Version: v.Document.Version, Index: v.Index,
		Source: lead.Leader, Term: lead.Term, Members: l.Members(),
	}
	for _, n := range v.Servers {
		r.Servers = append(r.Servers, status.Server{
			Name: n.Name, Service: n.Service, DataCentre: n.DataCentre, Address: n.Address, Incarnation: n.Incarnation,
			State: health.Registered(n, v.Out),
		})
	}
	return r
}

// caller calls control instances, this one without the network.
type caller struct {
	self   string
	log    *driver.Log
	client *peers.Client
}

// Propose implements access.Caller.
func (c *caller) Propose(ctx context.Context, address string, command []byte) ([]byte, string, error) {
	if address != c.self {
		return c.client.Propose(ctx, address, command)
	}
	b, err := c.log.Propose(ctx, command)
	return b, c.log.Leadership().Leader, err
}

// Read implements access.Caller.
func (c *caller) Read(ctx context.Context, address, what string, revision uint64) ([]byte, string, error) {
	return c.client.Read(ctx, address, what, revision)
}
