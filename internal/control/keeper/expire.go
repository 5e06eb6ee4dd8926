package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
)

const (
	// scanInterval is the time between scans for expired registrations.
	scanInterval = 300 * time.Millisecond
	// instanceTimeout is the time since its last watch after which an instance is
	// removed. An instance watches at least once in maxWait.
	instanceTimeout = maxWait + time.Second
	// disconnectTimeout is the time after which an instance is removed if its
	// connection broke and it has not watched again.
	disconnectTimeout = 500 * time.Millisecond
	// lostKeeperTimeout is the time for which the leader must find a keeper lost (see
	// lostSinceFunc) before it removes the instances of that keeper. It is short, so that
	// callers soon stop using a data centre that failed. An instance that still runs
	// registers again.
	lostKeeperTimeout = 400 * time.Millisecond
	// serverTimeout is the time since its last heartbeat after which a backend server
	// is removed. It is long, since one that can't reach its keeper may still serve
	// requests.
	serverTimeout = 20 * time.Second
	// applyTimeout is the time after which a committed registration is proposed again
	// if State still lacks it.
	applyTimeout = 300 * time.Millisecond
)

// Run proposes registrations and removals until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.init()
	stallsEnded := make(chan error, 1)
	go func() { stallsEnded <- k.stalls.Run(ctx) }()
	scans := time.NewTicker(scanInterval)
	defer scans.Stop()
	for {
		select {
		case <-ctx.Done():
			return <-stallsEnded
		case <-k.joinSignal:
			for _, n := range k.takePendingJoins() {
				k.join(ctx, n)
			}
		case now := <-scans.C:
			k.scan(ctx, now)
		}
	}
}

func (k *Keeper) init() {
	k.once.Do(func() {
		k.joinSignal = make(chan struct{}, 1)
		k.pendingJoins = map[string]fleet.Instance{}
		k.committedJoins = map[string]committedJoin{}
		k.heartbeats = map[string]heartbeat{}
		k.contenders = map[string]contender{}
		k.watches = map[string]time.Time{}
		k.lostKeepers = map[string]time.Time{}
	})
}

// recordHeartbeat records that the heartbeat n was received at the instant now.
func (k *Keeper) recordHeartbeat(now time.Time, n fleet.Server) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heartbeats[n.Name] = heartbeat{at: now, incarnation: n.Incarnation, sequence: n.Sequence}
}

// recordWatch records that an instance watches at the instant now, and queues its registration if State
// lacks it. While no leader is known, recordWatch queues nothing: the watching instance
// then moves to another control instance. It does nothing for an instance under whose
// name a higher incarnation is registered: that one must expire, unless the instance
// replaces it.
func (k *Keeper) recordWatch(now time.Time, n fleet.Instance) {
	k.init()
	old, known := k.State.Instance(n.Name)
	if known && old.Incarnation > n.Incarnation {
		return
	}
	n.Index = old.Index
	known = known && old == n
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watches[n.Name] = now
	if known || !k.hasLeader() {
		return
	}
	k.pendingJoins[n.Name] = n
	select {
	case k.joinSignal <- struct{}{}:
	default:
	}
}

// isRegistered reports whether State has the registration n, unchanged.
func (k *Keeper) isRegistered(n fleet.Instance) bool {
	old, ok := k.State.Instance(n.Name)
	n.Index = old.Index
	return ok && old == n
}

// takePendingJoins returns and clears the registrations that are to be proposed.
func (k *Keeper) takePendingJoins() map[string]fleet.Instance {
	k.mu.Lock()
	defer k.mu.Unlock()
	joins := k.pendingJoins
	k.pendingJoins = map[string]fleet.Instance{}
	return joins
}

// recordDisconnect records that the connection of an instance broke that has watched since
// begun, so that the instance expires after disconnectTimeout. It does nothing if the
// instance has watched again since, on another connection.
func (k *Keeper) recordDisconnect(begun time.Time, n fleet.Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.watches[n.Name].Equal(begun) {
		k.watches[n.Name] = time.Now().Add(disconnectTimeout - instanceTimeout)
	}
}

// join proposes the registration n unless State has it, or may not have applied it yet.
func (k *Keeper) join(ctx context.Context, n fleet.Instance) {
	if k.isRegistered(n) || k.isRecentlyCommitted(n) {
		return
	}
	r, err := k.propose(ctx, fleet.Command{Join: &n})
	if err != nil {
		return // propose has logged a failed commit, and the next Watch tries again
	}
	k.mu.Lock()
	k.committedJoins[n.Name] = committedJoin{instance: n, at: time.Now()}
	k.mu.Unlock()
	if r.Changed {
		k.Logger.Info("instance registered", "instance", n.Name, "dataCentre", n.DataCentre, "ready", n.Ready, "incarnation", n.Incarnation)
	}
}

// isRecentlyCommitted reports whether n was committed within applyTimeout, so that
// State may not have applied it yet.
func (k *Keeper) isRecentlyCommitted(n fleet.Instance) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	c, ok := k.committedJoins[n.Name]
	return ok && c.instance == n && time.Since(c.at) < applyTimeout
}

// scan registers this instance if State lacks it, and proposes the removal of expired
// instances and backend servers. Without a leader it does nothing.
func (k *Keeper) scan(ctx context.Context, now time.Time) {
	if !k.hasLeader() {
		return
	}
	k.join(ctx, k.self())
	v := k.State.View()
	lostSince := k.lostSinceFunc(now)
	for _, n := range v.Instances {
		if k.isInstanceExpired(now, n, lostSince) {
			r, err := k.propose(ctx, fleet.Command{Part: &n})
			k.Logger.Info("instance expired", "instance", n.Name, "keeper", n.Keeper, "removed", err == nil && r.Changed)
		}
	}
	for _, n := range v.Servers {
		if k.isServerExpired(now, n, lostSince) {
			n.Expired = true
			_ = k.Deregister(ctx, n) // propose has logged a failed commit, and the next scan tries again
		}
	}
	k.dropStale(v)
}

// self returns the registration of this instance. Its incarnation is above that of an
// earlier process that is registered under its name.
func (k *Keeper) self() fleet.Instance {
	n := k.Self
	n.Incarnation = max(n.Incarnation, k.raised)
	if old, ok := k.State.Instance(n.Name); ok && old.Incarnation > n.Incarnation {
		k.raised = old.Incarnation + 1
		n.Incarnation = k.raised
	}
	return n
}

// lostSinceFunc returns a function that reports whether this instance acts in place of
// the named keeper, because that keeper is lost (unresponsive, or no member of the
// quorum), and when a scan of this instance first found it lost. The function records
// that time in lostKeepers and deletes it when it finds the keeper healthy. Only the
// leader acts in place of others.
func (k *Keeper) lostSinceFunc(now time.Time) func(name string) (time.Time, bool) {
	if !k.Log.Leadership().Self {
		return func(string) (time.Time, bool) { return time.Time{}, false }
	}
	unresponsive, members := k.Log.Unresponsive(), k.Log.Members()
	return func(name string) (time.Time, bool) {
		if name == k.Self.Name || slices.Contains(members, name) && !slices.Contains(unresponsive, name) {
			delete(k.lostKeepers, name)
			return time.Time{}, false
		}
		if _, ok := k.lostKeepers[name]; !ok {
			k.lostKeepers[name] = now
		}
		return k.lostKeepers[name], true
	}
}

// isInstanceExpired reports whether this instance must remove n: as its keeper, if the
// last watch of n is older than instanceTimeout, or as the leader, if the keeper of n
// has been lost for longer than lostKeeperTimeout. An instance that is its own keeper
// never removes itself.
func (k *Keeper) isInstanceExpired(now time.Time, n fleet.Instance, lostSince func(string) (time.Time, bool)) bool {
	if n.Keeper == k.Self.Name {
		return n.Name != k.Self.Name && now.Sub(k.lastWatch(now, n.Name)) > instanceTimeout
	}
	since, ok := lostSince(n.Keeper)
	return ok && now.Sub(since) > lostKeeperTimeout
}

// isServerExpired is like isInstanceExpired, for the heartbeats of a backend server,
// with serverTimeout in both cases.
func (k *Keeper) isServerExpired(now time.Time, n fleet.Server, lostSince func(string) (time.Time, bool)) bool {
	if n.Keeper == k.Self.Name {
		return now.Sub(k.lastHeartbeat(now, n.Name)) > serverTimeout
	}
	since, ok := lostSince(n.Keeper)
	return ok && now.Sub(since) > serverTimeout
}

// lastWatch returns the time from which instanceTimeout counts: the last watch, or an
// earlier time after a disconnect (see recordDisconnect). If none is recorded, it
// records now, so that the timeout starts with the first check by this process.
func (k *Keeper) lastWatch(now time.Time, name string) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.watches[name]; !ok {
		k.watches[name] = now
	}
	return k.watches[name]
}

// lastHeartbeat is like lastWatch, for the heartbeats of a backend server.
func (k *Keeper) lastHeartbeat(now time.Time, name string) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.heartbeats[name]; !ok {
		k.heartbeats[name] = heartbeat{at: now}
	}
	return k.heartbeats[name].at
}

// dropStale drops recorded watches and heartbeats that are older than serverTimeout and
// whose instance or backend server is not in v, contenders that are silent, and committed
// registrations that are older than applyTimeout.
func (k *Keeper) dropStale(v fleet.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for n, h := range k.heartbeats {
		if _, ok := v.Servers[n]; !ok && time.Since(h.at) > serverTimeout {
			delete(k.heartbeats, n)
		}
	}
	for n, c := range k.contenders {
		if time.Since(c.last) > maxHeartbeatGap {
			delete(k.contenders, n)
		}
	}
	for n, c := range k.committedJoins {
		if time.Since(c.at) > applyTimeout {
			delete(k.committedJoins, n)
		}
	}
	for n, at := range k.watches {
		if _, ok := v.Instances[n]; !ok && time.Since(at) > serverTimeout {
			delete(k.watches, n)
		}
	}
}
