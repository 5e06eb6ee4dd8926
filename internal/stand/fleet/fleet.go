// Package fleet runs a whole fleet in one process, for tests and demonstrations:
// instances that listen on loopback, and stand-in backend servers that announce
// themselves to them.
//
// The instances share nothing but the process. They communicate with each other, with
// backend servers and with callers over TCP, on free ports, as separate processes
// would.
package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/snipefront/snipefront/internal/config/client"
	"github.com/snipefront/snipefront/internal/config/setup"
	"github.com/snipefront/snipefront/internal/daemon/module"
	"github.com/snipefront/snipefront/internal/observe/stats"
	"github.com/snipefront/snipefront/internal/stand/server"
)

const (
	loopback = "127.0.0.1:0"
	// controlInstances is the number of instances with a data folder.
	controlInstances = 3
	// drainFor is the time for which a stopping backend server refuses requests.
	drainFor = 200 * time.Millisecond
	// coldFor is the time for which a backend server is cold after its start.
	coldFor = 1500 * time.Millisecond
	// pollInterval is the time between two requests for the status of the instances.
	pollInterval = 50 * time.Millisecond
	// stopTimeout is the timeout of the planned stop of an instance.
	stopTimeout = time.Minute
)

// Service is a service and its backend servers, which are spread evenly over the data
// centres.
type Service struct {
	Name string
	// BackendServers is the number of backend servers.
	BackendServers int
	// Latency is the mean service time.
	Latency time.Duration
	// Slots is the maximum number of requests that one backend server runs at once.
	Slots int
}

// Fleet is a fleet in one process. Its exported fields are set before Start.
type Fleet struct {
	// Folder is the directory for the data folders of the control instances. It must
	// exist.
	Folder string
	// DataCentres is the number of data centres, at least 3. They are named dc1 and
	// so on.
	DataCentres int
	// InstancesEach is the number of instances in each data centre, at least 1.
	InstancesEach int
	Services      []Service
	Logger        *slog.Logger

	instances []*instance
	servers   []*server.Server
	// cancel stops the backend servers. Each then sends its error to ended.
	cancel context.CancelFunc
	ended  chan error
}

// instance is an instance with its settings and sockets.
type instance struct {
	settings setup.Settings
	sockets  module.Sockets
	app      *fx.App
	stats    *stats.Stats
	started  bool
}

// Start starts the instances and the backend servers. Call Stop even if it returns an
// error.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.listen(ctx); err != nil {
		return err
	}
	for _, n := range f.instances {
		n.app = fx.New(module.Options(n.settings, n.sockets, f.Logger), fx.Populate(&n.stats), fx.StopTimeout(stopTimeout))
		if err := n.app.Start(ctx); err != nil {
			return errors.Wrap(err, n.settings.Instance)
		}
		n.started = true
	}
	f.startServers(ctx)
	return nil
}

// Stop stops the instances and then the backend servers, each by a planned stop. It
// returns the first error.
func (f *Fleet) Stop(ctx context.Context) error {
	ended := make(chan error, len(f.instances))
	for _, n := range f.instances {
		go func() { ended <- n.stop(ctx) }()
	}
	var err error
	for range f.instances {
		err = firstError(err, <-ended)
	}
	if f.cancel == nil {
		return err
	}
	f.cancel()
	for range f.servers {
		err = firstError(err, <-f.ended)
	}
	return err
}

// Callers returns the addresses at which the instances serve callers.
func (f *Fleet) Callers() []string {
	var list []string
	for _, n := range f.instances {
		list = append(list, n.sockets.Caller.Addr().String())
	}
	return list
}

// Operators returns the addresses at which the instances serve operators.
func (f *Fleet) Operators() []string {
	var list []string
	for _, n := range f.instances {
		list = append(list, n.sockets.Operator.Addr().String())
	}
	return list
}

// Metrics returns the gatherer of the metrics of each instance.
func (f *Fleet) Metrics() []prometheus.Gatherer {
	var list []prometheus.Gatherer
	for _, n := range f.instances {
		list = append(list, n.stats.Gatherer())
	}
	return list
}

// BackendServers returns the stand-in backend servers.
func (f *Fleet) BackendServers() []*server.Server {
	return f.servers
}

// AwaitAnnounced waits until every backend server is known to the owner of its cell. It
// returns an error if an instance returns no status or if ctx ends first.
func (f *Fleet) AwaitAnnounced(ctx context.Context) error {
	for {
		known, err := f.countAnnounced(ctx)
		if err != nil || known == len(f.servers) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("stopped waiting for announcements: %d of %d backend servers are known to the owners of their cells", known, len(f.servers))
		case <-time.After(pollInterval):
		}
	}
}

// countAnnounced returns the number of backend servers that the owners of their cells
// know.
func (f *Fleet) countAnnounced(ctx context.Context) (int, error) {
	known := 0
	for _, n := range f.instances {
		operators := client.Client{Addresses: []string{n.sockets.Operator.Addr().String()}}
		s, err := operators.Status(ctx)
		if err != nil {
			return 0, errors.Wrap(err, n.settings.Instance)
		}
		for _, c := range s.Cells {
			if c.Owner == s.Instance {
				known += len(c.BackendServers)
			}
		}
	}
	return known, nil
}

// listen opens the sockets of all instances before any instance starts, since the
// settings contain the ports.
func (f *Fleet) listen(ctx context.Context) error {
	for k := range f.DataCentres * f.InstancesEach {
		s := setup.Settings{
			Instance:        fmt.Sprintf("i%d", k+1),
			DataCentre:      dataCentre(k % f.DataCentres),
			CallerAddress:   loopback,
			PeerAddress:     loopback,
			OperatorAddress: loopback,
			MaxBodyBytes:    setup.DefaultMaxBodyBytes,
			MaxHeaderBytes:  setup.DefaultMaxHeaderBytes,
			Lease:           setup.DefaultLease,
			Renew:           setup.DefaultRenew,
		}
		sockets, err := module.Listen(ctx, s)
		if err != nil {
			return err
		}
		s.PeerAddress = sockets.Peer.Addr().String()
		f.instances = append(f.instances, &instance{settings: s, sockets: sockets})
	}
	f.configureControl()
	return nil
}

// configureControl sets the control quorum in the settings of all instances. Its members
// are the first controlInstances instances.
func (f *Fleet) configureControl() {
	var control []setup.ControlMember
	for _, n := range f.instances[:controlInstances] {
		n.settings.DataFolder = filepath.Join(f.Folder, n.settings.Instance)
		control = append(control, setup.ControlMember{Instance: n.settings.Instance, PeerAddress: n.settings.PeerAddress})
	}
	for _, n := range f.instances {
		n.settings.Control = control
	}
}

func (f *Fleet) startServers(ctx context.Context) {
	for _, s := range f.Services {
		for k := range s.BackendServers {
			f.servers = append(f.servers, f.newServer(s, k))
		}
	}
	ctx, f.cancel = context.WithCancel(context.WithoutCancel(ctx))
	f.ended = make(chan error, len(f.servers))
	for _, s := range f.servers {
		go func() { f.ended <- errors.Wrap(s.Run(ctx), s.Name) }()
	}
}

func (f *Fleet) newServer(s Service, k int) *server.Server {
	return &server.Server{
		Name:        fmt.Sprintf("%s%d", s.Name, k+1),
		Service:     s.Name,
		DataCentre:  dataCentre(k % f.DataCentres),
		Address:     loopback,
		Slots:       s.Slots,
		Latency:     s.Latency,
		Seed:        uint64(k),
		Seeds:       f.Callers(),
		ColdFor:     coldFor,
		ColdBearing: 1,
		DrainFor:    drainFor,
		Log:         f.Logger,
	}
}

func (n *instance) stop(ctx context.Context) error {
	if !n.started {
		n.sockets.Close()
		return nil
	}
	return errors.Wrap(n.app.Stop(ctx), n.settings.Instance)
}

func dataCentre(k int) string { return fmt.Sprintf("dc%d", k+1) }

// firstError returns a, or b if a is nil.
func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}
