// Package fleet runs a whole fleet within one process: instances with their own
// sockets on loopback, and stand-in backend servers that announce themselves.
//
// Nothing is shared between the instances but the process. They speak with each
// other, with backend servers and with callers over TCP, on free ports, as they
// would as separate processes.
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
	// drainFor is how long a stopping backend server refuses requests.
	drainFor = 200 * time.Millisecond
	// coldFor is the length of a cold start of a backend server.
	coldFor = 1500 * time.Millisecond
	// pollPause is the time between two looks at the fleet.
	pollPause = 50 * time.Millisecond
	// stopTimeout bounds a planned stop.
	stopTimeout = time.Minute
)

// Service is a service and its backend servers, spread over the data centres.
type Service struct {
	Name string
	// BackendServers is their number.
	BackendServers int
	// Latency is the mean service time.
	Latency time.Duration
	// Slots is the most requests that one backend server runs at once.
	Slots int
}

// Fleet is a fleet. Its exported fields are set before Start.
type Fleet struct {
	// Folder holds the data folders of instances. It must exist.
	Folder string
	// DataCentres is their number, at least 3. They are named dc1 and so on.
	DataCentres int
	// InstancesEach is the number of instances in each data centre, at least 1.
	InstancesEach int
	Services      []Service
	Logger        *slog.Logger

	instances []*instance
	servers   []*server.Server
	// cancel stops the backend servers, each of which then reports on ended.
	cancel context.CancelFunc
	ended  chan error
}

// instance is one instance of the fleet.
type instance struct {
	settings setup.Settings
	sockets  module.Sockets
	app      *fx.App
	stats    *stats.Stats
	started  bool
}

// Start starts the instances and the backend servers. Stop must be called also
// after an error.
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

// Stop stops all of the fleet as planned, the backend servers last.
func (f *Fleet) Stop(ctx context.Context) error {
	ended := make(chan error, len(f.instances))
	for _, n := range f.instances {
		go func() { ended <- n.stop(ctx) }()
	}
	var err error
	for range f.instances {
		err = first(err, <-ended)
	}
	if f.cancel == nil {
		return err
	}
	f.cancel()
	for range f.servers {
		err = first(err, <-f.ended)
	}
	return err
}

// Callers returns the addresses of the instances for callers.
func (f *Fleet) Callers() []string {
	var list []string
	for _, n := range f.instances {
		list = append(list, n.sockets.Caller.Addr().String())
	}
	return list
}

// Operators returns the addresses of the instances for operators.
func (f *Fleet) Operators() []string {
	var list []string
	for _, n := range f.instances {
		list = append(list, n.sockets.Operator.Addr().String())
	}
	return list
}

// Metrics returns the sources of the metrics of each instance.
func (f *Fleet) Metrics() []prometheus.Gatherer {
	var list []prometheus.Gatherer
	for _, n := range f.instances {
		list = append(list, n.stats.Gatherer())
	}
	return list
}

// BackendServers returns the backend servers.
func (f *Fleet) BackendServers() []*server.Server {
	return f.servers
}

// AwaitAnnounced returns once the owners know all backend servers.
func (f *Fleet) AwaitAnnounced(ctx context.Context) error {
	for {
		known, err := f.announced(ctx)
		if err != nil || known == len(f.servers) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%d of %d backend servers are known to their owners", known, len(f.servers))
		case <-time.After(pollPause):
		}
	}
}

func (f *Fleet) announced(ctx context.Context) (int, error) {
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

// listen opens all sockets, so that the settings can name their ports.
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
		sock, err := module.Listen(ctx, s)
		if err != nil {
			return err
		}
		s.PeerAddress = sock.Peer.Addr().String()
		f.instances = append(f.instances, &instance{settings: s, sockets: sock})
	}
	f.elect()
	return nil
}

// elect makes the first instances the control quorum.
func (f *Fleet) elect() {
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

// first returns the earlier of two errors that is not nil.
func first(a, b error) error {
	if a != nil {
		return a
	}
	return b
}
