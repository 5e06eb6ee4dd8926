// Package keeper maintains the registrations of the fleet at a control instance: it
// handles the heartbeats of backend servers, the watches of instances and the orders
// of operators, and proposes the changes that follow from them to the replicated
// state.
//
// A heartbeat that changes nothing is recorded locally and not proposed. The keeper of
// a backend server or an instance is the control instance that receives its heartbeats
// or watches, and removes it from the state after a timeout. If a keeper is itself
// unresponsive, the leader of the control quorum does so in its place.
package keeper

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/stall"
	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

const (
	// proposeTimeout bounds the wait for a change to be committed. It is below the
	// second after which callers try another instance.
	proposeTimeout = 900 * time.Millisecond
	// leaderWait bounds the wait for a leader before a change is proposed. It covers an
	// election, and leaves two thirds of proposeTimeout for the proposal.
	leaderWait = 300 * time.Millisecond
	// leaderWaitInterval is the time between checks in that wait.
	leaderWaitInterval = 20 * time.Millisecond
	// maxWait bounds the wait of one Watch.
	maxWait = time.Second
	// leaderCheckInterval is the time between checks that a leader is still known.
	leaderCheckInterval = 250 * time.Millisecond
	// batchInterval is the least time between a Watch and its answer with changes, so that
	// one answer includes all changes that follow one another immediately.
	batchInterval = 50 * time.Millisecond
)

// Log reports the state of the replicated log.
type Log interface {
	Leadership() snipefront.Leadership
	// Unresponsive returns the names of the unresponsive members, if this instance leads.
	Unresponsive() []string
	// Members returns the names of all members.
	Members() []string
}

// Submitter appends a command to the log through its leader.
type Submitter interface {
	Submit(ctx context.Context, command []byte) ([]byte, error)
}

// Counter counts proposed changes by their kind.
type Counter interface {
	// Proposed counts one change that took the time taken to be committed or to fail.
	Proposed(kind string, committed bool, taken time.Duration)
}

// Keeper maintains the registrations of the fleet. Set the exported fields before Run.
type Keeper struct {
	// Self is this instance. Its name is its peer address, and it is its own keeper.
	Self   fleet.Instance
	State  *fleet.State
	Log    Log
	Submit Submitter
	// Counter may be nil.
	Counter Counter
	Logger  *slog.Logger

	stalls stall.Detector
	once   sync.Once
	// joinSignal receives a value when pendingJoins gets an entry.
	joinSignal chan struct{}

	mu sync.Mutex
	// pendingJoins holds the registrations that are to be proposed, by instance.
	pendingJoins map[string]fleet.Instance
	// committedJoins holds the last committed registrations, by instance, for as long
	// as State may not have applied them.
	committedJoins map[string]committedJoin
	// heartbeats holds the last heartbeat of each backend server that nothing outranks.
	heartbeats map[string]heartbeat
	contenders map[string]contender
	// watches holds the time at which each instance last watched.
	watches map[string]time.Time
	// raised is the incarnation of this instance if the one in Self is too low, or zero.
	// Only Run uses it.
	raised uint64
	// lostKeepers holds, by name, the time at which a scan first found a keeper
	// unresponsive or no member of the quorum. Only Run uses it.
	lostKeepers map[string]time.Time
}

// committedJoin is the registration of an instance with the time of its commit.
type committedJoin struct {
	instance fleet.Instance
	at       time.Time
}

// heartbeat is the last heartbeat of a backend server.
type heartbeat struct {
	at          time.Time
	incarnation uint64
	sequence    uint64
}

var (
	// ErrUnknownService means that a heartbeat names a service that the configuration
	// lacks.
	ErrUnknownService = errors.New("service is not configured")
	// ErrOutranked means that a backend server leaves under whose name a later incarnation
	// is registered, so that its leaving can't be recorded.
	ErrOutranked = errors.New("a later incarnation is registered")
	// ErrCallerLeft means that an order has waited, or may have waited, for longer than its
	// caller does, who has sent it to another instance since.
	ErrCallerLeft = errors.New("the caller of the order has left")
	// ErrUncommitted means that the commit of a change was not confirmed. The change
	// may still be applied.
	ErrUncommitted = errors.New("no answer from the control quorum")
)

// Configure puts the configuration d in force if its version is higher than the version
// in force. It returns ErrUncommitted if the quorum does not confirm it.
func (k *Keeper) Configure(ctx context.Context, d fleet.Document) error {
	r, err := k.propose(ctx, fleet.Command{Configure: &d})
	if err == nil {
		k.Logger.Info("configuration accepted", "version", d.Version, "changed", r.Changed)
	}
	return err
}

// Configuration returns the configuration in force. It reflects every change that any
// control instance has accepted before the call.
func (k *Keeper) Configuration(ctx context.Context) (fleet.Document, error) {
	r, err := k.propose(ctx, fleet.Command{Read: true})
	if err != nil {
		return fleet.Document{}, err
	}
	return *r.Document, nil
}

// Heartbeat records the heartbeat n of a backend server. It proposes n as the
// registration unless a later heartbeat is known or n changes nothing that must be
// replicated. Once it returns nil, the change is durable.
func (k *Keeper) Heartbeat(ctx context.Context, n fleet.Server) error {
	n.Keeper = k.Self.Name
	now := time.Now()
	k.init()
	old, ok := k.State.Server(n.Name)
	if ok && k.isLate(old, n) {
		return k.hearLate(ctx, now, old, n)
	}
	k.recordHeartbeat(now, n)
	agreed := true
	if !ok || !isUnchanged(old, n) {
		var err error
		if agreed, err = k.register(ctx, n); err != nil {
			return err
		}
	}
	if !agreed || ok && deniesDraining(old, n) {
		_, err := k.contend(ctx, now, n)
		return err
	}
	k.dropContender(n.Name)
	return nil
}

// register proposes n as the registration. It reports whether the state took it.
func (k *Keeper) register(ctx context.Context, n fleet.Server) (bool, error) {
	r, err := k.propose(ctx, fleet.Command{Register: &n})
	if err != nil || !r.Changed {
		return false, err
	}
	k.Logger.Info("backend server registered", "server", n.Name, "service", n.Service, "address", n.Address,
		"incarnation", n.Incarnation, "draining", n.Draining, "coldMillis", n.ColdMillis, "sequence", n.Sequence)
	return true, nil
}

// Deregister removes a backend server that has deregistered itself or expired. It returns
// ErrOutranked if a later incarnation is registered.
func (k *Keeper) Deregister(ctx context.Context, n fleet.Server) error {
	old, ok := k.State.Server(n.Name)
	if ok && n.Incarnation != 0 && n.Incarnation < old.Incarnation {
		return ErrOutranked
	}
	r, err := k.propose(ctx, fleet.Command{Deregister: &n})
	if err == nil && r.Changed {
		k.Logger.Info("backend server deregistered", "server", n.Name, "expired", n.Expired)
	}
	return err
}

// Watch implements peers.Watcher. It waits for a change for maxWait at most.
func (k *Keeper) Watch(ctx context.Context, w peers.Watch) (peers.Update, error) {
	w.Instance.Keeper = k.Self.Name
	begun := time.Now()
	if !w.Unregistered() {
		k.recordWatch(begun, w.Instance)
	}
	if err := k.awaitChange(ctx, w); err != nil {
		k.recordDisconnect(begun, w.Instance)
		return peers.Update{}, err
	}
	d := k.State.DeltaSince(w.Held)
	return peers.Update{Current: k.hasLeader() && d.Index >= w.Held, Delta: d}, nil
}

// awaitChange waits until the index of State differs from the one that the watching
// instance has applied. It returns early after w.Wait or maxWait, or if no leader is
// known. An instance that has applied a state gets the next one after batchInterval at
// the earliest, but for a change that is urgent; later changes are answered at once.
func (k *Keeper) awaitChange(ctx context.Context, w peers.Watch) error {
	gathered := time.NewTimer(batchInterval)
	defer gathered.Stop()
	expired := time.NewTimer(min(w.Wait, maxWait))
	defer expired.Stop()
	checks := time.NewTicker(leaderCheckInterval)
	defer checks.Stop()
	gathering := w.Held > 0
	for {
		changed := k.State.Changed()
		index := k.State.Index()
		if !k.hasLeader() || index < w.Held {
			return nil
		}
		if index > w.Held && (!gathering || k.State.UrgentIndex() > w.Held) {
			return nil
		}
		select {
		case <-changed:
		case <-gathered.C:
			gathering = false
		case <-checks.C:
		case <-expired.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// hasLeader reports whether this instance knows a leader of the control quorum.
func (k *Keeper) hasLeader() bool { return k.Log.Leadership().Leader != "" }

// awaitLeader waits until this instance knows a leader, for leaderWait at most. After the start
// of a whole fleet, every backend server registers while the leader is being elected. Without
// the wait, each registration would call all members in turn, again and again.
func (k *Keeper) awaitLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	for !k.hasLeader() && timer.Sleep(ctx, leaderWaitInterval) {
	}
}

// ControlAddressIn returns the address at which a control instance in a data centre
// serves backend servers and operators. The field CallerAddress of a control
// instance holds this address. ControlAddressIn prefers this instance, and returns an
// empty address if there is none.
func (k *Keeper) ControlAddressIn(dataCentre string) string {
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

// propose proposes c and returns its result. It returns ErrUncommitted if the control
// quorum does not confirm the commit.
func (k *Keeper) propose(ctx context.Context, c fleet.Command) (fleet.Result, error) {
	b, err := c.Encode()
	if err != nil {
		return fleet.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	start := time.Now()
	k.awaitLeader(ctx)
	encoded, err := k.Submit.Submit(ctx, b)
	if k.Counter != nil {
		k.Counter.Proposed(c.Kind(), err == nil, time.Since(start))
	}
	if err != nil {
		k.Logger.Warn("commit of a change was not confirmed; it may still be applied", "kind", c.Kind(), "taken", time.Since(start), "leader", k.Log.Leadership().Leader, "error", err)
		return fleet.Result{}, errors.WithMessage(ErrUncommitted, err.Error())
	}
	return fleet.DecodeResult(encoded)
}

// isUnchanged reports whether n differs from the registration old in nothing that must
// be replicated. Of the remaining warm-up only whether there is any counts.
func isUnchanged(old, n fleet.Server) bool {
	n.Draining = n.Draining || old.Draining
	same := old.BackendServer == n.BackendServer && old.Version == n.Version && old.Keeper == n.Keeper
	return same && (old.ColdMillis > 0) == (n.ColdMillis > 0)
}
