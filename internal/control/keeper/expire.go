package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
)

const (
	// scanInterval is the time between looks for what has fallen silent.
	scanInterval = 300 * time.Millisecond
	// instanceTimeout is the silence after which an instance is taken out. An
	// instance watches at least once in maxWait.
	instanceTimeout = maxWait + time.Second
	// dropTimeout is the same after its connection broke.
	dropTimeout = 500 * time.Millisecond
	// orphanTimeout is the time from which the keeper of an instance counts as silent to
	// that at which the instance is taken out. It is short, so that callers are soon
	// sent away from a lost data centre; an instance that is there registers again.
	orphanTimeout = 400 * time.Millisecond
	// serverTimeout is the silence after which a backend server is taken out. It is
	// long, since one that is cut off from here only may still serve.
	serverTimeout = 20 * time.Second
	// applyTimeout is the time after which a committed registration that State does
	// not have is proposed again.
	applyTimeout = 300 * time.Millisecond
)

// Run proposes registrations and removals until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.init()
	scans := time.NewTicker(scanInterval)
	defer scans.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.joining:
			for _, n := range k.takeJoins() {
				k.join(ctx, n)
			}
		case now := <-scans.C:
			k.scan(ctx, now)
		}
	}
}

func (k *Keeper) init() {
	k.once.Do(func() {
		k.joining = make(chan struct{}, 1)
		k.joins = map[string]fleet.Instance{}
		k.proposed = map[string]proposal{}
		k.servers = map[string]heard{}
		k.instances = map[string]time.Time{}
		k.orphans = map[string]time.Time{}
	})
}

// hear notes a heartbeat. It returns false for one that is older than another of
// the same incarnation.
func (k *Keeper) hear(now time.Time, n fleet.Server) bool {
	k.init()
	k.mu.Lock()
	defer k.mu.Unlock()
	old, ok := k.servers[n.Name]
	if ok && old.incarnation == n.Incarnation && old.sequence > n.Sequence {
		return false
	}
	k.servers[n.Name] = heard{at: now, incarnation: n.Incarnation, sequence: n.Sequence}
	return true
}

// seen notes that an instance watches, and registers it where that is news. Without
// a leader it does not: the instance goes on to another control instance.
func (k *Keeper) seen(n fleet.Instance) {
	k.init()
	known := k.knows(n)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.instances[n.Name] = time.Now()
	if known || !k.current() {
		return
	}
	k.joins[n.Name] = n
	select {
	case k.joining <- struct{}{}:
	default:
	}
}

// knows returns whether State has n as it is.
func (k *Keeper) knows(n fleet.Instance) bool {
	old, ok := k.State.Instance(n.Name)
	n.Index = old.Index
	return ok && old == n
}

// takeJoins returns the registrations that are to be proposed.
func (k *Keeper) takeJoins() map[string]fleet.Instance {
	k.mu.Lock()
	defer k.mu.Unlock()
	joins := k.joins
	k.joins = map[string]fleet.Instance{}
	return joins
}

// dropped notes that the connection of a watching instance broke.
func (k *Keeper) dropped(n fleet.Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.instances[n.Name] = time.Now().Add(dropTimeout - instanceTimeout)
}

func (k *Keeper) join(ctx context.Context, n fleet.Instance) {
	if k.knows(n) || k.isProposed(n) {
		return
	}
	r, err := k.propose(ctx, fleet.Command{Join: &n})
	if err != nil {
		return // logged there, and tried again at the next Watch
	}
	k.mu.Lock()
	k.proposed[n.Name] = proposal{instance: n, at: time.Now()}
	k.mu.Unlock()
	if r.Changed {
		k.Logger.Info("instance registered", "instance", n.Name, "dataCentre", n.DataCentre, "ready", n.Ready, "incarnation", n.Incarnation)
	}
}

// isProposed returns whether n was committed lately, so that State is about to have
// it.
func (k *Keeper) isProposed(n fleet.Instance) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	p, ok := k.proposed[n.Name]
	return ok && p.instance == n && time.Since(p.at) < applyTimeout
}

func (k *Keeper) scan(ctx context.Context, now time.Time) {
	if !k.current() {
		return
	}
	k.join(ctx, k.Self)
	v := k.State.View()
	lost := k.lostKeepers(now)
	for _, n := range v.Instances {
		if k.silentInstance(now, n, lost) {
			r, err := k.propose(ctx, fleet.Command{Part: &n})
			k.Logger.Info("instance fell silent", "instance", n.Name, "keeper", n.Keeper, "removed", err == nil && r.Changed)
		}
	}
	for _, n := range v.Servers {
		if k.silentServer(now, n, lost) {
			n.Expired = true
			_ = k.Deregister(ctx, n) // logged there, and tried again at the next scan
		}
	}
	k.forget(v)
}

// lostKeepers returns the control instances in whose place this one acts, with the
// time since when they have been silent. It is empty where this one does not lead.
func (k *Keeper) lostKeepers(now time.Time) func(name string) (time.Time, bool) {
	if !k.Log.Leadership().Self {
		return func(string) (time.Time, bool) { return time.Time{}, false }
	}
	silent, members := k.Log.Silent(), k.Log.Members()
	return func(name string) (time.Time, bool) {
		if name == k.Self.Name || slices.Contains(members, name) && !slices.Contains(silent, name) {
			delete(k.orphans, name)
			return time.Time{}, false
		}
		if _, ok := k.orphans[name]; !ok {
			k.orphans[name] = now
		}
		return k.orphans[name], true
	}
}

func (k *Keeper) silentInstance(now time.Time, n fleet.Instance, lost func(string) (time.Time, bool)) bool {
	if n.Keeper == k.Self.Name {
		return n.Name != k.Self.Name && now.Sub(k.lastSeen(now, n.Name)) > instanceTimeout
	}
	since, ok := lost(n.Keeper)
	return ok && now.Sub(since) > orphanTimeout
}

func (k *Keeper) silentServer(now time.Time, n fleet.Server, lost func(string) (time.Time, bool)) bool {
	if n.Keeper == k.Self.Name {
		return now.Sub(k.lastHeard(now, n.Name)) > serverTimeout
	}
	since, ok := lost(n.Keeper)
	return ok && now.Sub(since) > serverTimeout
}

// lastSeen returns when an instance last watched, at the earliest when this
// process first asked.
func (k *Keeper) lastSeen(now time.Time, name string) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.instances[name]; !ok {
		k.instances[name] = now
	}
	return k.instances[name]
}

// lastHeard is lastSeen for the heartbeats of a backend server.
func (k *Keeper) lastHeard(now time.Time, name string) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.servers[name]; !ok {
		k.servers[name] = heard{at: now}
	}
	return k.servers[name].at
}

// forget drops what was heard of entries that are gone.
func (k *Keeper) forget(v fleet.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for n, h := range k.servers {
		if _, ok := v.Servers[n]; !ok && time.Since(h.at) > serverTimeout {
			delete(k.servers, n)
		}
	}
	for n, p := range k.proposed {
		if time.Since(p.at) > applyTimeout {
			delete(k.proposed, n)
		}
	}
	for n, at := range k.instances {
		if _, ok := v.Instances[n]; !ok && time.Since(at) > serverTimeout {
			delete(k.instances, n)
		}
	}
}
