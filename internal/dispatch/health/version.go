package health

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
)

const (
	// minCanary is the least number of backend servers in each data centre that the share of a
	// version goes to. With fewer, a fault of one of them would look like one of the version.
	minCanary = 4
	// canaryFactor is the part of the backend servers that the share goes to, as a multiple of
	// the share. Each of them has nearly the usual load then, which shows a version that is bad
	// only under load, and still has free slots when requests arrive unevenly.
	canaryFactor = 2
)

// Side says to which versions of a service a request goes.
type Side uint8

// Sides of a rollout.
const (
	// AnyVersion is the side where no rollout runs: all versions that may receive requests.
	AnyVersion Side = iota
	// OldSide is the versions that requests move away from.
	OldSide
	// NewSide is the version of the rollout.
	NewSide
)

// rollout is a rollout as this instance has applied it.
type rollout struct {
	fleet.Rollout
	// heard is when this instance learned of the last step. It is zero if that was in its first
	// view, whose age it doesn't know.
	heard time.Time
	// canary names the backend servers of the version that its share goes to.
	canary map[string]bool
	// hasOld and hasNew report whether backend servers of a side accept requests.
	hasOld, hasNew bool
	// changed is closed when the state of the rollout changes.
	changed chan struct{}
}

// applyRollouts sets the rollouts of c, which follows old, from a view.
func (c *targets) applyRollouts(now time.Time, old *targets, list map[string]fleet.Rollout) {
	if len(list) == 0 {
		return
	}
	c.rollouts = make(map[string]*rollout, len(list))
	for service, v := range list {
		r := &rollout{Rollout: v, changed: make(chan struct{})}
		if old != nil {
			r.heard = now
			if last := old.rollouts[service]; last != nil && last.Index == v.Index {
				r.heard = last.heard
			}
			if last := old.rollouts[service]; last.isSame(v) {
				r.changed = last.changed
			}
		}
		c.rollouts[service] = r
	}
}

// finishRollouts sets the fields of the rollouts of c that depend on its targets.
func (c *targets) finishRollouts() {
	for service, r := range c.rollouts {
		byDataCentre := map[string][]*Target{}
		for _, t := range c.byService[service] {
			if r.IsOld(t.Server.Version) {
				r.hasOld = true
				continue
			}
			r.hasNew = true
			byDataCentre[t.Server.DataCentre] = append(byDataCentre[t.Server.DataCentre], t)
		}
		r.canary = map[string]bool{}
		for _, list := range byDataCentre {
			r.addCanary(list)
		}
	}
}

// addCanary adds the backend servers that the share goes to, of a list of one data centre.
// Instances with the same view choose the same ones, warm ones first.
func (r *rollout) addCanary(list []*Target) {
	n := max(minCanary, int(math.Ceil(canaryFactor*r.Share*float64(len(list)))))
	slices.SortFunc(list, func(a, b *Target) int {
		return cmp.Or(cmp.Compare(min(a.Server.ColdMillis, 1), min(b.Server.ColdMillis, 1)), cmp.Compare(hashOf(a), hashOf(b)))
	})
	for _, t := range list[:min(n, len(list))] {
		r.canary[t.Server.Name] = true
	}
}

// hashOf returns a hash of the name of t, which is the same at all instances.
func hashOf(t *Target) uint64 {
	h := fnv.New64a()
	h.Write([]byte(t.Server.Name))
	return h.Sum64()
}

// isSame reports whether v is a step of the same rollout in the same state.
func (r *rollout) isSame(v fleet.Rollout) bool {
	return r != nil && r.State == v.State && r.Order == v.Order
}

// closeChanged closes the channels of the rollouts of c whose state differs in next, which has
// the channels of the others.
func (c *targets) closeChanged(next *targets) {
	if c == nil {
		return
	}
	for service, r := range c.rollouts {
		if n := next.rollouts[service]; n == nil || !r.isSame(n.Rollout) {
			close(r.changed)
		}
	}
}

// side returns the side of a request that is sent now. The number draw, from 0 to 1, decides
// whether it belongs to the share. mayUse reports whether the share can be used now.
func (r *rollout) side(now time.Time, lifetime time.Duration, draw float64, mayUse func() bool) Side {
	switch {
	case r.State.HasEnded() || r.State == fleet.RolloutWithdrawing:
		return AnyVersion
	case !r.hasNew:
		return OldSide
	case !r.hasOld || r.State == fleet.RolloutFinishing:
		return NewSide
	case draw >= r.Share || now.Sub(r.heard) > lifetime || !mayUse():
		return OldSide
	}
	return NewSide
}

// Side returns the side of a request of a service that is sent now, and a channel that is
// closed when the rollout changes its state, which is nil if there is none. The number draw,
// from 0 to 1, decides whether the request belongs to the share of the version.
func (s *Set) Side(now time.Time, service string, draw float64) (side Side, changed <-chan struct{}) {
	c := s.current.Load()
	if c == nil || c.rollouts[service] == nil {
		return AnyVersion, nil
	}
	r := c.rollouts[service]
	side = r.side(now, s.Rollouts.NewsLifetime(), draw, func() bool { return s.canUseCanary(now, c, r) })
	return side, r.changed
}

// canUseCanary reports whether a backend server that the share goes to may get a request now.
func (s *Set) canUseCanary(now time.Time, c *targets, r *rollout) bool {
	for name := range r.canary {
		t := c.byName[name]
		if t != nil && t.Available(now) && (!t.Snapshot(now).Cold || s.WarmsUp(t) && t.CanWarmUp(now, t.Profile.WarmUpRate)) {
			return true
		}
	}
	return false
}

// IsBarred reports whether a request of the side may not be sent to t. While the version gets
// only a share, a request of it goes to few backend servers of the version.
func (s *Set) IsBarred(t *Target, side Side) bool {
	c := s.current.Load()
	if c == nil || side == AnyVersion || c.rollouts[t.Server.Service] == nil {
		return false
	}
	r := c.rollouts[t.Server.Service]
	if r.IsOld(t.Server.Version) {
		return side == NewSide
	}
	return side == OldSide || r.State == fleet.RolloutRunning && r.hasOld && !r.canary[t.Server.Name]
}

// allows reports whether a rollout lets n receive requests.
func (c *targets) allows(n fleet.Server) bool {
	r := c.rollouts[n.Service]
	return r == nil || r.Allows(n.Version)
}

// allowsNow reports whether n may be sent a request at now, according to the step of a rollout
// and the age of the news of it.
func (c *targets) allowsNow(now time.Time, n fleet.Server, lifetime time.Duration) bool {
	r := c.rollouts[n.Service]
	switch {
	case r == nil || r.State.HasEnded():
		return true
	case r.IsOld(n.Version):
		return r.State != fleet.RolloutFinishing || !r.hasNew
	}
	return r.State != fleet.RolloutRunning || !r.hasOld || r.Share > 0 && now.Sub(r.heard) <= lifetime
}

// OldInFlight returns the number of requests of this instance in flight at the backend servers of
// the service that don't run the version of its rollout.
func (s *Set) OldInFlight(service string) int {
	c := s.current.Load()
	if c == nil || c.rollouts[service] == nil {
		return 0
	}
	old := 0
	r := c.rollouts[service]
	for t := range maps.Values(c.byName) {
		if t.Server.Service != service || t.Server.Version == r.Version {
			continue
		}
		t.mu.Lock()
		old += t.inFlight
		t.mu.Unlock()
	}
	return old
}
