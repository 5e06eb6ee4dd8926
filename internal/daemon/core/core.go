// Package core builds a control instance of a fleet whose members are discovered at
// run time. A control instance has a replica of the log, a keeper of the fleet, and the
// servers for other instances, backend servers, operators and the directory of caller
// addresses.
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
	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/control/access"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/control/keeper"
	"github.com/snipefront/snipefront/internal/control/shift"
	"github.com/snipefront/snipefront/internal/daemon/serve"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/observe/stats"
	"github.com/snipefront/snipefront/internal/observe/status"
	"github.com/snipefront/snipefront/internal/quorum/disk"
	"github.com/snipefront/snipefront/internal/quorum/driver"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

const (
	// maxVoters bounds the voters of the control quorum, unless it must tolerate the loss of more
	// than two. Further members are learners.
	maxVoters = 5
	// lease is the time base of the log: the heartbeat interval is a 15th of it and the
	// election timeout a 5th. No instance of such a fleet holds a lease.
	lease = 4 * time.Second
	// snapshotEntries and snapshotBytes are the minimum growth of the log between two
	// snapshots: what a replica replays after a start while the whole fleet registers again.
	snapshotEntries = 1024
	snapshotBytes   = 256 << 10
	// leaveTimeout bounds the time for which an instance that stops waits until the control
	// quorum does without it. An election fits into it.
	leaveTimeout = lease
	// exitFailure is the exit status of a process whose replica of the log has failed.
	exitFailure = 1
	// checkInterval is the time between checks of the folder of a replica that has failed.
	checkInterval = 200 * time.Millisecond
	// tryTimeout bounds one call to one control instance.
	tryTimeout = 400 * time.Millisecond
)

// Settings are the settings of a control instance.
type Settings struct {
	// Self is this instance. Its name is its peer address.
	Self fleet.Instance
	// Seeds are peer addresses of control instances. When the fleet starts for the first
	// time, the list must be the same on each instance.
	Seeds []string
	// JoinOnly is true if the fleet has started before. The instance then joins the
	// control quorum, and starts one only to finish a first start that was interrupted.
	JoinOnly   bool
	DataFolder string
	// Tolerance is the number of control instances that may be lost at the same time.
	Tolerance int
	// MetricsAddress is the address (host:port) of the metrics and the status report.
	MetricsAddress string
	// Rollouts bound what versions that turn out to be bad may receive.
	Rollouts snipefront.RolloutBounds
	// Interfaces maps each further listen address (host:port) to a function that returns
	// its handler.
	Interfaces map[string]func(k *keeper.Keeper) http.Handler
}

// Options returns the fx options that build and run a control instance.
func Options(s Settings, logger *slog.Logger) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.Supply(s, logger),
		fx.Provide(newState, newClient, newFolder, newLog, newControlClient, newKeeper, newDriver, newPeerServer, stats.New),
		fx.Invoke(registerHooks),
	)
}

func newState() *fleet.State { return &fleet.State{} }

func newClient() *peers.Client { return &peers.Client{} }

func newFolder(s Settings) *disk.Folder {
	f := &disk.Folder{Path: s.DataFolder}
	if !s.JoinOnly {
		f.FirstStart = s.Seeds
	}
	return f
}

func newLog(s Settings, folder *disk.Folder, state *fleet.State, client *peers.Client, logger *slog.Logger) (*driver.Log, error) {
	saved, err := folder.Open()
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	return &driver.Log{
		Name:      s.Self.Name,
		Control:   access.InstancesAt(s.Seeds),
		MaxVoters: max(maxVoters, minVoters(s)),
		MinVoters: minVoters(s),
		Place: func(name string) string {
			n, _ := state.Instance(name)
			return n.DataCentre
		},
		JoinOnly:  s.JoinOnly,
		Leaseless: true,
		Machine:   state,

		SnapshotEntries: snapshotEntries,
		SnapshotBytes:   snapshotBytes,

		Storage: folder,
		Saved:   saved,
		Caller:  client,
		Lease:   lease,
		Random:  rand.Int64N,
		Logger:  logger,
	}, nil
}

// minVoters returns the number of voters of which as many may be lost as the settings say.
func minVoters(s Settings) int { return 2*s.Tolerance + 1 }

func newControlClient(s Settings, replica *driver.Log, client *peers.Client) *access.Client {
	return &access.Client{
		Control: func() []snipefront.Instance {
			if list := replica.Members(); len(list) > 0 {
				return access.InstancesAt(list)
			}
			return access.InstancesAt([]string{s.Self.Name})
		},
		Caller:     &controlCaller{self: s.Self.Name, log: replica, client: client},
		TryTimeout: tryTimeout,
	}
}

func newKeeper(s Settings, state *fleet.State, replica *driver.Log, control *access.Client, counters *stats.Stats, logger *slog.Logger) *keeper.Keeper {
	self := s.Self
	self.Keeper = self.Name
	return &keeper.Keeper{Self: self, State: state, Log: replica, Submit: control, Counter: counters, Logger: logger}
}

func newDriver(s Settings, state *fleet.State, replica *driver.Log, control *access.Client, counters *stats.Stats, logger *slog.Logger) *shift.Driver {
	return &shift.Driver{Self: s.Self.Name, State: state, Log: replica, Submit: control, Bounds: s.Rollouts, Metrics: counters, Logger: logger}
}

func newPeerServer(replica *driver.Log, d *shift.Driver, k *keeper.Keeper) *peers.Server {
	return &peers.Server{Log: &shift.Intake{Log: replica, Driver: d}, Steps: replica.Deliver, Watcher: k}
}

// endWithLog ends the process, as failed, if the replica of the log stops before ctx ends and
// once the folder takes writes again. A replica whose storage failed no longer knows what
// its disk contains; the next process reads it.
func endWithLog(ctx context.Context, replica *driver.Log, folder *disk.Folder, process fx.Shutdowner) error {
	select {
	case <-ctx.Done():
		return nil
	case <-replica.Stopped():
	}
	for timer.Sleep(ctx, checkInterval) {
		if folder.Check() == nil {
			return process.Shutdown(fx.ExitCode(exitFailure))
		}
	}
	return nil
}

// leave has the control quorum go on without this instance, if that takes no more than
// leaveTimeout and two thirds of the time until the end of stop.
func leave(stop context.Context, replica *driver.Log, logger *slog.Logger) {
	limit := leaveTimeout
	if end, ok := stop.Deadline(); ok {
		limit = min(limit, time.Until(end)*2/3)
	}
	ctx, cancel := context.WithTimeout(stop, limit)
	defer cancel()
	if err := replica.Leave(ctx); err != nil {
		logger.Warn("the control quorum goes on counting this instance", "error", err)
	}
}

// registerHooks starts and stops the control instance with the fx application.
func registerHooks(f fx.Lifecycle, process fx.Shutdowner, s Settings, folder *disk.Folder, replica *driver.Log, k *keeper.Keeper, rollouts *shift.Driver, server *peers.Server, client *peers.Client, counters *stats.Stats, logger *slog.Logger) {
	g := &serve.Group{Logger: logger}
	ctx, cancel := context.WithCancel(context.Background())
	f.Append(fx.Hook{
		OnStart: func(context.Context) error {
			peerRouter := mux.NewRouter()
			server.Route(peerRouter)
			if err := g.HTTP(ctx, "peers", s.Self.PeerAddress, peerRouter); err != nil {
				return err
			}
			// These servers share a name. The address in an error tells them apart.
			for address, h := range s.Interfaces {
				if err := g.HTTP(ctx, "interface", address, h(k)); err != nil {
					return err
				}
			}
			metrics := status.Handler(counters.Gatherer(), func() status.Report { return statusReport(s, replica, k.State) }, logger)
			if err := g.HTTP(ctx, "metrics", s.MetricsAddress, metrics); err != nil {
				return err
			}
			g.Go(ctx, "log", replica.Run)
			g.Go(ctx, "log end", func(ctx context.Context) error { return endWithLog(ctx, replica, folder, process) })
			g.Go(ctx, "keeper", k.Run)
			g.Go(ctx, "rollouts", rollouts.Run)
			g.Go(ctx, "client", client.Run)
			logger.Info("started", "instance", s.Self.Name, "dataCentre", s.Self.DataCentre, "seeds", s.Seeds, "joinOnly", s.JoinOnly)
			return nil
		},
		OnStop: func(stop context.Context) error {
			logger.Info("stopping", "instance", s.Self.Name)
			leave(stop, replica, logger)
			cancel()
			err := g.Wait()
			logger.Info("stopped", "instance", s.Self.Name)
			return err
		},
	})
}

// statusReport returns the state of the quorum and the fleet as this instance has
// applied it.
func statusReport(s Settings, replica *driver.Log, state *fleet.State) status.Report {
	leadership := replica.Leadership()
	v := state.View()
	r := status.Report{
		Instance: s.Self.Name, Role: "core", DataCentre: s.Self.DataCentre, Version: v.Document.Version, Index: v.Index,
		Source: leadership.Leader, Term: leadership.Term, Members: replica.Members(),
	}
	for _, n := range v.Servers {
		r.Servers = append(r.Servers, status.Server{
			Name: n.Name, Service: n.Service, DataCentre: n.DataCentre, Address: n.Address, Incarnation: n.Incarnation,
			State: health.RegisteredState(n, v.Out),
		})
	}
	return r
}

// controlCaller calls control instances. A Propose to this instance does not use the
// network.
type controlCaller struct {
	self   string
	log    *driver.Log
	client *peers.Client
}

// Propose implements access.Caller.
func (c *controlCaller) Propose(ctx context.Context, address string, command []byte) ([]byte, string, error) {
	if address != c.self {
		return c.client.Propose(ctx, address, command)
	}
	b, err := c.log.Propose(ctx, command)
	return b, c.log.Leadership().Leader, err
}

// Read implements access.Caller.
func (c *controlCaller) Read(ctx context.Context, address, what string, revision uint64) ([]byte, string, error) {
	return c.client.Read(ctx, address, what, revision)
}
