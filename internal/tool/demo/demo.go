// Package demo shows a fleet at work within one process.
//
// It starts instances in four data centres and stand-in backend servers on
// loopback, sends open-loop load, takes a data centre out of service while the
// load goes on, lets a backend server shed, brings the data centre back, and prints
// what callers and backend servers saw.
package demo

import (
	"cmp"
	"context"
	"crypto/rand"
	"embed"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/config/client"
	"github.com/snipefront/snipefront/internal/stand/caller"
	"github.com/snipefront/snipefront/internal/stand/fleet"
	"github.com/snipefront/snipefront/internal/stand/server"
)

const (
	dataCentres   = 4
	instancesEach = 2
	slots         = 3
	// out is the data centre that is taken out of service.
	out = "dc2"
	// startTimeout bounds the time until the fleet is ready.
	startTimeout = 30 * time.Second
	// changeTimeout bounds the time until a change is in force.
	changeTimeout = 30 * time.Second
	// stopTimeout bounds a planned stop.
	stopTimeout = time.Minute
)

//go:embed intents/*.json
var intents embed.FS

// Demo is one run. Its exported fields are set before Run.
type Demo struct {
	// Output gets the tables.
	Output io.Writer
	// Phase is the length of each of the three phases of the load: before, with
	// a data centre out of service, and after. More than 0.
	Phase  time.Duration
	Logger *slog.Logger

	fleet     *fleet.Fleet
	operators *client.Client
	phases    []phase
}

// phase is a part of the load.
type phase struct {
	name string
	// change is the time until its change was in force everywhere.
	change time.Duration
	// seconds is the time from then to the end of the phase.
	seconds float64
	// inside and elsewhere count the runs that began in that time, in the data
	// centre that is taken out and in the others.
	inside, elsewhere int
}

// Run runs the demo and stops all that it started.
func (d *Demo) Run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "snipefront-demo-")
	if err != nil {
		return errors.Wrap(err, "data folder")
	}
	d.fleet = newFleet(folder, d.Logger)
	err = d.run(ctx)
	stopped := d.stop(ctx)
	removed := os.RemoveAll(folder)
	return cmp.Or(err, stopped, errors.Wrap(removed, "data folder"))
}

func newFleet(folder string, logger *slog.Logger) *fleet.Fleet {
	return &fleet.Fleet{
		Folder:        folder,
		DataCentres:   dataCentres,
		InstancesEach: instancesEach,
		Logger:        logger,
		Services: []fleet.Service{
			{Name: "balance", BackendServers: 12, Latency: 5 * time.Millisecond, Slots: slots},
			{Name: "charge", BackendServers: 8, Latency: 5 * time.Millisecond, Slots: slots},
			{Name: "ledger", BackendServers: 14, Latency: 20 * time.Millisecond, Slots: slots},
		},
	}
}

func (d *Demo) run(ctx context.Context) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	result, err := d.load(ctx)
	if err != nil {
		return err
	}
	return d.print(result)
}

func (d *Demo) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := d.fleet.Stop(ctx); err != nil {
		return err
	}
	fmt.Fprintln(d.Output, "\nAll instances and backend servers stopped as planned.")
	return nil
}

// start starts the fleet and applies the intents.
func (d *Demo) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.fleet.Start(ctx); err != nil {
		return err
	}
	d.operators = &client.Client{Addresses: d.fleet.Operators()}
	if err := d.fleet.AwaitAnnounced(ctx); err != nil {
		return err
	}
	if _, err := d.apply(ctx); err != nil {
		return err
	}
	fmt.Fprintf(d.Output, "%d instances in %d data centres, %d backend servers, on loopback.\n",
		dataCentres*instancesEach, dataCentres, len(d.fleet.BackendServers()))
	return nil
}

// load sends load through all phases.
func (d *Demo) load(ctx context.Context) (*caller.Result, error) {
	c := &caller.Caller{
		Seeds:    d.fleet.Callers(),
		Duration: time.Hour,
		Resends:  2,
		Log:      d.Logger,
		Services: []caller.Service{
			{Name: "balance", Rate: 300, Timeout: 500 * time.Millisecond, Weight: 3},
			{Name: "charge", Rate: 60, Timeout: 2 * time.Second, Weight: 3, Method: "POST"},
			{Name: "ledger", Rate: 40, Timeout: 5 * time.Second, Weight: 1},
		},
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var result *caller.Result
	ended := make(chan error, 1)
	go func() {
		var err error
		result, err = c.Run(ctx)
		ended <- err
	}()
	err := d.runPhases(ctx)
	cancel()
	if loaded := <-ended; err == nil {
		err = loaded
	}
	return result, err
}

func (d *Demo) runPhases(ctx context.Context) error {
	if err := d.runPhase(ctx, "all in service", 0); err != nil {
		return err
	}
	change, err := d.apply(ctx, client.File{Name: "50-out.json", Content: outIntent()})
	if err != nil {
		return err
	}
	shedding := d.fleet.BackendServers()[0]
	shedding.SetMode(server.Mode{Shed: true})
	err = d.runPhase(ctx, out+" out, "+shedding.Name+" sheds", change)
	shedding.SetMode(server.Mode{})
	if err != nil {
		return err
	}
	if change, err = d.apply(ctx); err != nil {
		return err
	}
	return d.runPhase(ctx, out+" back", change)
}

// runPhase waits for the length of a phase and records it.
func (d *Demo) runPhase(ctx context.Context, name string, change time.Duration) error {
	start := time.Now()
	inside, elsewhere := d.runs()
	if !timer.Sleep(ctx, d.Phase) {
		return ctx.Err()
	}
	p := phase{name: name, change: change, seconds: time.Since(start).Seconds()}
	p.inside, p.elsewhere = d.runs()
	p.inside -= inside
	p.elsewhere -= elsewhere
	d.phases = append(d.phases, p)
	return nil
}

// runs counts the runs that have begun.
func (d *Demo) runs() (inside, elsewhere int) {
	for _, s := range d.fleet.BackendServers() {
		n := s.Report().Runs
		if s.DataCentre == out {
			inside += n
		} else {
			elsewhere += n
		}
	}
	return inside, elsewhere
}

// apply replaces the accepted intents by the embedded ones and more, and
// returns the time until that is in force everywhere.
func (d *Demo) apply(ctx context.Context, more ...client.File) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	files, err := embedded()
	if err != nil {
		return 0, err
	}
	accepted, err := d.operators.Config(ctx)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	change := client.Change{ChangeID: rand.Text(), Version: accepted.Revision, Files: append(files, more...)}
	result, err := d.operators.Apply(ctx, change)
	if err != nil {
		return 0, err
	}
	err = d.operators.WaitInForce(ctx, result.Revision)
	return time.Since(start), err
}

func embedded() ([]client.File, error) {
	names, err := fs.Glob(intents, "intents/*.json")
	if err != nil {
		return nil, errors.Wrap(err, "embedded intents")
	}
	var files []client.File
	for _, n := range names {
		b, err := intents.ReadFile(n)
		if err != nil {
			return nil, errors.Wrap(err, "embedded intents")
		}
		files = append(files, client.File{Name: n[len("intents/"):], Content: b})
	}
	return files, nil
}

func outIntent() json.RawMessage {
	return json.RawMessage(`{"Kind": "DataCentreOut", "DataCentre": "` + out + `"}`)
}

// keys returns the runs of each request that may not be repeated.
func (d *Demo) keys() []server.KeyRuns {
	var all []server.KeyRuns
	for _, s := range d.fleet.BackendServers() {
		all = append(all, s.Keys()...)
	}
	return all
}
