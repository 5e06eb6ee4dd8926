// Package keeper is a control instance's part in the upkeep of the fleet: it takes
// in what backend servers, instances and operators say, and proposes what changes
// the replicated state.
//
// A heartbeat that says nothing new is heard and goes no further. The keeper of a
// backend server or an instance is the control instance that hears it, and takes it
// out of the state after a silence. Where a keeper itself falls silent, the leader
// of the control quorum does so in its place.
package keeper

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

const (
	// orderTimeout bounds the wait for a change to be committed. Callers move on to
	// another instance after a second.
	orderTimeout = 900 * time.Millisecond
	// maxWait bounds the wait of one Watch.
	maxWait = time.Second
	// checkInterval is the time between looks whether a leader is still known.
	checkInterval = 250 * time.Millisecond
	// settleTime is the time after a change in which further ones join its answer.
	settleTime = 20 * time.Millisecond
)

// Log is the replicated log as a keeper reads it.
type Log interface {
	Leadership() snipefront.Leadership
	// Silent names the members that do not answer this instance, where it leads.
	Silent() []string
	Members() []string
}

// Submitter appends a command to the log wherever it is led from.
type Submitter interface {
	Submit(ctx context.Context, command []byte) ([]byte, error)
}

// Counter counts proposed changes by their kind.
type Counter interface {
	Proposed(kind string, committed bool, taken time.Duration)
}

// Keeper keeps the fleet. Set the exported fields before Run.
type Keeper struct {
	// Self is this instance. Its name is its peer address, its own keeper itself.
	Self   fleet.Instance
	State  *fleet.State
	Log    Log
	Submit Submitter
	// Counter counts proposed changes. Nil counts none.
	Counter Counter
	Logger  *slog.Logger

	once sync.Once
	// joining is signalled when joins has an entry.
	joining chan struct{}

	mu sync.Mutex
	// joins holds the registrations that are to be proposed, by instance.
	joins map[string]fleet.Instance
	// proposed holds those that were, for as long as State may not have them.
	proposed map[string]proposal
	servers  map[string]heard
	// instances holds when each instance last watched.
	instances map[string]time.Time
	// orphans holds since when the keeper of an entry has been silent.
	orphans map[string]time.Time
}

// proposal is a registration that was committed.
type proposal struct {
	instance fleet.Instance
	at       time.Time
}

// heard is the last heartbeat of a backend server.
type heard struct {
	at          time.Time
	incarnation uint64
	sequence    uint64
}

var (
	// ErrUnknownService means that a heartbeat names a service that the
	// configuration does not have.
	ErrUnknownService = errors.New("service is not configured")
	// ErrUncommitted means that a change may or may not come into force.
	ErrUncommitted = errors.New("no answer from the control quorum")
)

// Configure puts the configuration d into force, where its version is higher than
// the one in force.
func (k *Keeper) Configure(ctx context.Context, d fleet.Document) error {
	r, err := k.propose(ctx, fleet.Command{Configure: &d})
	if err == nil {
		k.Logger.Info("configuration accepted", "version", d.Version, "changed", r.Changed)
	}
	return err
}

// Configuration returns the configuration in force. It has all that was accepted
// anywhere before the call.
func (k *Keeper) Configuration(ctx context.Context) (fleet.Document, error) {
	r, err := k.propose(ctx, fleet.Command{Read: true})
	if err != nil {
		return fleet.Document{}, err
	}
	return *r.Document, nil
}

// Serve takes a data centre out of service or back.
func (k *Keeper) Serve(ctx context.Context, c fleet.Serve) error {
	r, err := k.propose(ctx, fleet.Command{Serve: &c})
	if err == nil {
		k.Logger.Info("data centre ordered", "dataCentre", c.DataCentre, "out", c.Out, "changed", r.Changed)
	}
	return err
}

// Heartbeat takes in what a backend server says of itself. Once it returns nil,
// a change in it is durable.
func (k *Keeper) Heartbeat(ctx context.Context, n fleet.Server) error {
	n.Keeper = k.Self.Name
	if !k.hear(time.Now(), n) {
		return nil
	}
	old, ok := k.State.Server(n.Name)
	if ok && isUnchanged(old, n) {
		return nil
	}
	r, err := k.propose(ctx, fleet.Command{Register: &n})
	if err == nil && r.Changed {
		k.Logger.Info("backend server registered", "server", n.Name, "service", n.Service, "address", n.Address,
			"incarnation", n.Incarnation, "draining", n.Draining, "coldMillis", n.ColdMillis, "sequence", n.Sequence)
	}
	return err
}

// Deregister takes a backend server out that says that it leaves.
func (k *Keeper) Deregister(ctx context.Context, n fleet.Server) error {
	r, err := k.propose(ctx, fleet.Command{Deregister: &n})
	if err == nil && r.Changed {
		k.Logger.Info("backend server deregistered", "server", n.Name, "expired", n.Expired)
	}
	return err
}

// Watch implements peers.Watcher.
func (k *Keeper) Watch(ctx context.Context, w peers.Watch) (peers.Update, error) {
	w.Instance.Keeper = k.Self.Name
	k.seen(w.Instance)
	if err := k.await(ctx, w); err != nil {
		k.dropped(w.Instance)
		return peers.Update{}, err
	}
	d := k.State.DeltaSince(w.Held)
	return peers.Update{Current: k.current() && d.Index >= w.Held, Delta: d}, nil
}

// await waits for a change after the one that w holds, for as long as w says and
// this instance is in touch with the control quorum.
func (k *Keeper) await(ctx context.Context, w peers.Watch) error {
	expired := time.NewTimer(min(w.Wait, maxWait))
	defer expired.Stop()
	checks := time.NewTicker(checkInterval)
	defer checks.Stop()
	for {
		changed := k.State.Changed()
		if k.State.Index() != w.Held || !k.current() {
			return nil
		}
		select {
		case <-changed:
			time.Sleep(settleTime)
		case <-checks.C:
		case <-expired.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// current returns whether this instance is in touch with the control quorum.
func (k *Keeper) current() bool { return k.Log.Leadership().Leader != "" }

// Entries returns the caller addresses of the instances of a data centre that take
// requests, where there are fewer than two those of its region, and where there
// are fewer than two again those of all regions.
func (k *Keeper) Entries(region, dataCentre string) []string {
	var near, within, all []string
	for _, n := range k.State.Instances() {
		if !n.Ready || n.Control {
			continue
		}
		all = append(all, n.CallerAddress)
		if n.Region == region {
			within = append(within, n.CallerAddress)
		}
		if n.DataCentre == dataCentre {
			near = append(near, n.CallerAddress)
		}
	}
	for _, list := range [][]string{near, within} {
		if len(list) >= minEntries {
			all = list
			break
		}
	}
	slices.Sort(all)
	return all
}

// ControlIn returns the operator address of a control instance in a data centre:
// this one where it is there, or empty where there is none.
func (k *Keeper) ControlIn(dataCentre string) string {
	if k.Self.DataCentre == dataCentre {
		return k.Self.CallerAddress
	}
	for _, n := range k.State.Instances() {
		if n.Control && n.DataCentre == dataCentre {
			return n.CallerAddress
		}
	}
	return ""
}

// minEntries is the least number of addresses that keep callers in their own data
// centre, so that the loss of one instance leaves them another.
const minEntries = 2

func (k *Keeper) propose(ctx context.Context, c fleet.Command) (fleet.Result, error) {
	b, err := c.Encode()
	if err != nil {
		return fleet.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	begun := time.Now()
	text, err := k.Submit.Submit(ctx, b)
	if k.Counter != nil {
		k.Counter.Proposed(c.Kind(), err == nil, time.Since(begun))
	}
	if err != nil {
		k.Logger.Warn("change not committed", "kind", c.Kind(), "taken", time.Since(begun), "leader", k.Log.Leadership().Leader, "error", err)
		return fleet.Result{}, errors.WithMessage(ErrUncommitted, err.Error())
	}
	return fleet.DecodeResult(text)
}

// isUnchanged returns whether n brings nothing new after old.
func isUnchanged(old, n fleet.Server) bool {
	n.Draining = n.Draining || old.Draining
	same := old.BackendServer == n.BackendServer && old.Version == n.Version && old.Keeper == n.Keeper
	return same && (old.ColdMillis > 0) == (n.ColdMillis > 0)
}
