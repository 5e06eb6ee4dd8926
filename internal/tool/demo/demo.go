// Package demo runs a whole fleet within one process as a demonstration.
//
// It starts instances in four data centres and stand-in backend servers on
// loopback, and sends open-loop load. Under load it takes a data centre out of
// service, lets a backend server shed requests, and brings the data centre back.
// Then it prints the results of the callers, the counters of the instances and the
// counts of the backend servers.
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
	dataCentres            = 4
	instancesPerDataCentre = 2
	slotsPerServer         = 3
	// outDataCentre is the data centre that the demo takes out of service.
	outDataCentre = "dc2"
	// startTimeout bounds the time until the fleet is ready.
	startTimeout = 30 * time.Second
	// changeTimeout bounds the time until a change is in force.
	changeTimeout = 30 * time.Second
	// stopTimeout bounds the planned stop of the fleet.
	stopTimeout = time.Minute
)

//go:embed intents/*.json
var intents embed.FS

// Demo is one run of the demonstration. Its exported fields must be set before Run.
type Demo struct {
	// Output receives the printed results.
	Output io.Writer
	// Phase is the length of each of the three phases of the load: before a data
	// centre is taken out of service, while it is out of service, and after it is
	// back in service. It must be positive.
	Phase time.Duration
	// Logger receives the log messages of the fleet and of the load generator.
	Logger *slog.Logger

	fleet          *fleet.Fleet
	operatorClient *client.Client
	phases         []phase
}

// phase is the result of one phase of the load.
type phase struct {
	name string
	// inForceAfter is the time that the change of intents before the phase took to
	// be in force everywhere, or 0 if there was no change.
	inForceAfter time.Duration
	// seconds is the length of the phase, which begins when the change is in force.
	seconds float64
	// outRuns and otherRuns count the requests that backend servers began to run in
	// the phase, in outDataCentre and in the other data centres.
	outRuns, otherRuns int
}

// Run runs the demonstration, prints its results, and stops everything that it
// started.
func (d *Demo) Run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "snipefront-demo-")
	if err != nil {
		return errors.Wrap(err, "create data folder")
	}
	d.fleet = newFleet(folder, d.Logger)
	err = d.run(ctx)
	stopErr := d.stop(ctx)
	removeErr := os.RemoveAll(folder)
	return cmp.Or(err, stopErr, errors.Wrap(removeErr, "remove data folder"))
}

func newFleet(folder string, logger *slog.Logger) *fleet.Fleet {
	return &fleet.Fleet{
		Folder:        folder,
		DataCentres:   dataCentres,
		InstancesEach: instancesPerDataCentre,
		Logger:        logger,
		Services: []fleet.Service{
			{Name: "balance", BackendServers: 12, Latency: 5 * time.Millisecond, Slots: slotsPerServer},
			{Name: "charge", BackendServers: 8, Latency: 5 * time.Millisecond, Slots: slotsPerServer},
			{Name: "ledger", BackendServers: 14, Latency: 20 * time.Millisecond, Slots: slotsPerServer},
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

// start starts the fleet, waits until the backend servers are announced, and applies
// the intents.
func (d *Demo) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.fleet.Start(ctx); err != nil {
		return err
	}
	d.operatorClient = &client.Client{Addresses: d.fleet.Operators()}
	if err := d.fleet.AwaitAnnounced(ctx); err != nil {
		return err
	}
	if _, err := d.apply(ctx); err != nil {
		return err
	}
	fmt.Fprintf(d.Output, "%d instances in %d data centres, %d backend servers, on loopback.\n",
		dataCentres*instancesPerDataCentre, dataCentres, len(d.fleet.BackendServers()))
	return nil
}

// load sends load until all phases have passed and returns the result for the callers.
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
	done := make(chan error, 1)
	go func() {
		var err error
		result, err = c.Run(ctx)
		done <- err
	}()
	err := d.runPhases(ctx)
	cancel()
	if loadErr := <-done; err == nil {
		err = loadErr
	}
	return result, err
}

// runPhases runs the three phases, and takes outDataCentre out of service and brings it
// back between them.
func (d *Demo) runPhases(ctx context.Context) error {
	if err := d.runPhase(ctx, "all in service", 0); err != nil {
		return err
	}
	inForceAfter, err := d.apply(ctx, client.File{Name: "50-out.json", Content: outOfServiceIntent()})
	if err != nil {
		return err
	}
	shedding := d.fleet.BackendServers()[0]
	shedding.SetMode(server.Mode{Shed: true})
	err = d.runPhase(ctx, outDataCentre+" out, "+shedding.Name+" sheds", inForceAfter)
	shedding.SetMode(server.Mode{})
	if err != nil {
		return err
	}
	if inForceAfter, err = d.apply(ctx); err != nil {
		return err
	}
	return d.runPhase(ctx, outDataCentre+" back", inForceAfter)
}

// runPhase waits for the length of a phase and records the runs at the backend servers.
func (d *Demo) runPhase(ctx context.Context, name string, inForceAfter time.Duration) error {
	start := time.Now()
	outBefore, otherBefore := d.countRuns()
	if !timer.Sleep(ctx, d.Phase) {
		return ctx.Err()
	}
	p := phase{name: name, inForceAfter: inForceAfter, seconds: time.Since(start).Seconds()}
	p.outRuns, p.otherRuns = d.countRuns()
	p.outRuns -= outBefore
	p.otherRuns -= otherBefore
	d.phases = append(d.phases, p)
	return nil
}

// countRuns counts the requests that backend servers have begun to run, in
// outDataCentre and in the other data centres.
func (d *Demo) countRuns() (outRuns, otherRuns int) {
	for _, s := range d.fleet.BackendServers() {
		n := s.Report().Runs
		if s.DataCentre == outDataCentre {
			outRuns += n
		} else {
			otherRuns += n
		}
	}
	return outRuns, otherRuns
}

// apply replaces the accepted intents by the embedded ones and those of more, and waits
// until the change is in force everywhere. It returns the time that this took.
func (d *Demo) apply(ctx context.Context, more ...client.File) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	files, err := embeddedIntents()
	if err != nil {
		return 0, err
	}
	accepted, err := d.operatorClient.Config(ctx)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	change := client.Change{ChangeID: rand.Text(), Version: accepted.Revision, Files: append(files, more...)}
	result, err := d.operatorClient.Apply(ctx, change)
	if err != nil {
		return 0, err
	}
	err = d.operatorClient.WaitInForce(ctx, result.Revision)
	return time.Since(start), err
}

func embeddedIntents() ([]client.File, error) {
	names, err := fs.Glob(intents, "intents/*.json")
	if err != nil {
		return nil, errors.Wrap(err, "list embedded intents")
	}
	var files []client.File
	for _, n := range names {
		b, err := intents.ReadFile(n)
		if err != nil {
			return nil, errors.Wrap(err, "read embedded intent")
		}
		files = append(files, client.File{Name: n[len("intents/"):], Content: b})
	}
	return files, nil
}

// outOfServiceIntent returns the intent that takes outDataCentre out of service.
func outOfServiceIntent() json.RawMessage {
	return json.RawMessage(`{"Kind": "DataCentreOut", "DataCentre": "` + outDataCentre + `"}`)
}

// keyRuns returns the number of runs of each non-idempotent request at each backend
// server.
func (d *Demo) keyRuns() []server.KeyRuns {
	var all []server.KeyRuns
	for _, s := range d.fleet.BackendServers() {
		all = append(all, s.Keys()...)
	}
	return all
}
