package keeper

import (
	"context"
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
)

const (
	// takeoverTime is the time for which the heartbeats of an incarnation must disagree with
	// a registration that is silent meanwhile, before they replace it. Heartbeats that a
	// network partition has delayed arrive within less.
	takeoverTime = 6 * time.Second
	// takeoverHeartbeats is the least number of these heartbeats.
	takeoverHeartbeats = 4
	// maxHeartbeatGap is the time between two of them after which they count anew.
	maxHeartbeatGap = 4 * time.Second
)

// contender is an incarnation of a backend server that goes on sending heartbeats with which
// the registrations in the state disagree.
type contender struct {
	incarnation uint64
	// sequence is that of the last heartbeat, received at last.
	sequence uint64
	last     time.Time
	// since is when the first of the heartbeats was received.
	since      time.Time
	heartbeats int
}

// isLate reports whether the registration old, or a heartbeat that its keeper, this
// instance, has received since, outranks n.
func (k *Keeper) isLate(old, n fleet.Server) bool {
	switch {
	case old.Incarnation != n.Incarnation:
		return old.Incarnation > n.Incarnation
	case old.Sequence > n.Sequence:
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	last := k.heartbeats[n.Name]
	return old.Keeper == k.Self.Name && last.incarnation == n.Incarnation && last.sequence > n.Sequence
}

// hearLate handles a heartbeat that the registration old outranks. That the registered
// incarnation drains counts in any order. The draining of another one isn't recorded, so
// it is not acknowledged.
func (k *Keeper) hearLate(ctx context.Context, now time.Time, old, n fleet.Server) error {
	same := n.Incarnation == old.Incarnation
	if same && n.Draining && !old.Draining {
		c := fleet.Draining{Server: n.Name, Incarnation: n.Incarnation, Heartbeat: true}
		if _, err := k.propose(ctx, fleet.Command{Draining: &c}); err != nil {
			return err
		}
		k.Logger.Info("backend server drains by a late heartbeat", "server", n.Name, "incarnation", n.Incarnation, "sequence", n.Sequence)
	}
	replaced, err := k.contend(ctx, now, n)
	if err == nil && !replaced && n.Draining && !same {
		return ErrOutranked
	}
	return err
}

// contend counts a heartbeat with which the state disagrees. If such heartbeats have gone on
// for long enough, it lets them replace the registrations that outrank them. It reports
// whether they did.
func (k *Keeper) contend(ctx context.Context, now time.Time, n fleet.Server) (replaced bool, err error) {
	if !k.countContender(now, n) {
		return false, nil
	}
	ranks, ok := k.outranking(now, n)
	if !ok {
		return false, nil
	}
	n.Takeover = &fleet.Takeover{Replaces: ranks}
	r, err := k.propose(ctx, fleet.Command{Register: &n})
	if err != nil {
		return false, err
	}
	k.dropContender(n.Name)
	if !r.Changed {
		return false, nil
	}
	k.recordHeartbeat(now, n)
	k.Logger.Warn("backend server that goes on sending heartbeats replaces what outranks it", "server", n.Name, "service", n.Service,
		"address", n.Address, "incarnation", n.Incarnation, "sequence", n.Sequence, "draining", n.Draining, "replaced", ranks)
	return true, nil
}

// countContender counts the heartbeat n, and reports whether those of its incarnation have
// gone on for takeoverTime. A heartbeat that is older than the last one doesn't count.
func (k *Keeper) countContender(now time.Time, n fleet.Server) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	c, ok := k.contenders[n.Name]
	if ok && c.incarnation == n.Incarnation && n.Sequence <= c.sequence {
		return false
	}
	if !ok || c.incarnation != n.Incarnation || now.Sub(c.last) > maxHeartbeatGap {
		c = contender{incarnation: n.Incarnation, since: now}
	}
	c.sequence, c.last = n.Sequence, now
	c.heartbeats++
	k.contenders[n.Name] = c
	return c.heartbeats >= takeoverHeartbeats && now.Sub(c.since) >= takeoverTime
}

// outranking returns the ranks of the registrations with the name or the address of n. It
// returns false if one of them must not be replaced by n: this instance isn't its keeper, and
// so doesn't know its heartbeats, or they have not been missing for takeoverTime. A keeper
// removes one whose heartbeats stay away (see serverTimeout).
func (k *Keeper) outranking(now time.Time, n fleet.Server) ([]fleet.Rank, bool) {
	list := k.State.ServersAt(n.Address)
	if old, ok := k.State.Server(n.Name); ok && old.Address != n.Address {
		list = append(list, old)
	}
	var ranks []fleet.Rank
	for _, v := range list {
		// An earlier heartbeat of n's own incarnation is replaced as usual, but for what it
		// said of draining.
		isOwn := v.Name == n.Name && v.Incarnation == n.Incarnation && v.Sequence < n.Sequence
		if !isOwn && (v.Keeper != k.Self.Name || now.Sub(k.lastHeartbeat(now, v.Name)) < takeoverTime) {
			return nil, false
		}
		ranks = append(ranks, v.Rank())
	}
	return ranks, true
}

// dropContender forgets the heartbeats of the named backend server with which the state
// disagrees.
func (k *Keeper) dropContender(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.contenders, name)
}

// deniesDraining reports whether n says that its incarnation, which is registered as
// draining, is ready, and an answer hasn't said that it drains.
func deniesDraining(old, n fleet.Server) bool {
	return old.Incarnation == n.Incarnation && old.Draining && !old.DrainingFinal && !n.Draining
}
