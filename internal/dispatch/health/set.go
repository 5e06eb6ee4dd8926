package health

import (
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
	"github.com/snipefront/snipefront/internal/observe/status"
)

// Prober sends load probes.
type Prober interface {
	Probe(t *Target) (Report, error)
}

// Sharer shares what this instance hears from backend servers with all others. Its methods
// don't block.
type Sharer interface {
	// ShareLimit shares what an answer of the given kind from n says of its rate limit.
	ShareLimit(n fleet.Server, said snipefront.RateLimit, source quota.Source)
	// ShareCold shares that n is cold for the time left, though its registration says
	// that it is warm.
	ShareCold(n fleet.Server, left time.Duration)
	// ShareDraining shares that n drains, though its registration doesn't say so.
	ShareDraining(n fleet.Server)
}

// Set holds the targets of all services. Its zero value is empty. Update must be
// called from one goroutine at a time; the other methods are safe for concurrent use.
type Set struct {
	// Self is this instance.
	Self snipefront.Instance
	// Sharer shares what this instance hears from backend servers. It may be nil.
	Sharer Sharer
	// Rollouts bound what the versions of running rollouts receive.
	Rollouts snipefront.RolloutBounds
	// Logger logs changes of rate limits. It may be nil.
	Logger *slog.Logger

	current atomic.Pointer[targets]
	// parts is held while current is replaced, and while the part of a rate limit is set
	// by it, so that no part is set by an older one afterwards.
	parts sync.Mutex
	// draining counts the targets that were found to drain by their answers.
	draining atomic.Int64
	// withdrawn holds the states of withdrawn targets that have left the view. Only Update
	// uses it.
	withdrawn map[withdrawal]withdrawnState
}

// targets is the immutable content of a Set after an Update.
type targets struct {
	byName    map[string]*Target
	byService map[string][]*Target
	// ranks holds the ranks of the requests for each service, in ascending order.
	ranks map[string][]int
	// edges holds the ready edge instances, which accept requests.
	edges snipefront.Epoch
	// outOfService names the data centres out of service.
	outOfService map[string]bool
	// rollouts holds the last rollout of each service that ever had one.
	rollouts map[string]*rollout
}

// Update replaces the targets by those of v whose service r names. A backend server
// that is still registered with the same incarnation and address keeps its state.
func (s *Set) Update(now time.Time, v fleet.View, r *snipefront.Routing) {
	ranks := ranksByService(r)
	next := &targets{byName: map[string]*Target{}, byService: map[string][]*Target{}, ranks: ranks, outOfService: v.Out}
	old := s.current.Load()
	next.applyRollouts(now, old, v.Rollouts)
	for _, n := range v.Servers {
		profile, ok := r.Services[n.Service]
		if !ok {
			continue
		}
		t := s.target(now, old, n, profile)
		t.ranks = ranks[n.Service]
		next.byName[n.Name] = t
		if next.accepts(n) {
			next.byService[n.Service] = append(next.byService[n.Service], t)
		}
	}
	for _, i := range v.Instances {
		if i.Ready && !i.Control {
			next.edges.Instances = append(next.edges.Instances, i.Instance)
		}
	}
	next.finishRollouts()
	s.keepWithdrawn(now, old, next)
	slices.SortFunc(next.edges.Instances, func(a, b snipefront.Instance) int { return strings.Compare(a.Name, b.Name) })
	for _, list := range next.byService {
		s.prefer(next.edges, list)
	}
	s.parts.Lock()
	s.current.Store(next)
	s.parts.Unlock()
	old.closeChanged(next)
	s.updateLimits(now, old, next)
}

// Edges returns the ready edge instances, sorted by name. The caller must not modify the
// slice.
func (s *Set) Edges() []snipefront.Instance {
	c := s.current.Load()
	if c == nil {
		return nil
	}
	return c.edges.Instances
}

// updateLimits takes over the rate limits that other instances have shared since old, and
// divides all limits anew if the instances have changed.
func (s *Set) updateLimits(now time.Time, old, next *targets) {
	sameEdges := old != nil && slices.Equal(old.edges.Instances, next.edges.Instances)
	for name, t := range next.byName {
		known := uint64(0)
		if old != nil && old.byName[name] != nil && old.byName[name].state == t.state {
			known = old.byName[name].Server.LimitIndex
		}
		if t.Server.LimitIndex > known {
			t.learnLimit(now)
		}
		if !sameEdges {
			s.updatePart(now, t)
		}
	}
}

// BestRank returns the rank of the most important requests for a service, and false if
// there are none.
func (s *Set) BestRank(service string) (rank int, ok bool) {
	c := s.current.Load()
	if c == nil || len(c.ranks[service]) == 0 {
		return 0, false
	}
	return c.ranks[service][0], true
}

// ranksByService returns the ranks of the requests for each service, each once and in
// ascending order: those of its routes, and of the workspaces, which may use all routes.
func ranksByService(r *snipefront.Routing) map[string][]int {
	ranks := map[string][]int{}
	for _, route := range r.Routes {
		for _, to := range route.Split {
			ranks[to.Service] = append(ranks[to.Service], route.Rank)
		}
	}
	for service, list := range ranks {
		for _, w := range r.Workspaces {
			if w.HasRank {
				list = append(list, w.Rank)
			}
		}
		slices.Sort(list)
		ranks[service] = slices.Compact(list)
	}
	return ranks
}

// target returns the target of n, with the state from old if that has the same
// incarnation at the same address.
func (s *Set) target(now time.Time, old *targets, n fleet.Server, profile snipefront.ServiceProfile) *Target {
	t := &Target{Server: n, Profile: profile, Near: n.DataCentre == s.Self.DataCentre, set: s}
	var previous *Target
	if old != nil {
		previous = old.byName[n.Name]
	}
	if previous == nil || previous.Server.Incarnation != n.Incarnation || previous.Server.Address != n.Address {
		t.state = &state{coldUntil: coldUntil(now, n)}
		s.restoreNotice(t, previous)
		return t
	}
	t.state = previous.state
	if previous.Server.ColdMillis != n.ColdMillis {
		t.mu.Lock()
		t.coldUntil = coldUntil(now, n)
		t.mu.Unlock()
	}
	return t
}

// coldUntil returns the end of the warm-up of n, which is registered since now. An earlier
// build may have registered a longer one than snipefront.MaxWarmUp.
func coldUntil(now time.Time, n fleet.Server) time.Time {
	millis := min(n.ColdMillis, snipefront.MaxWarmUp.Milliseconds())
	return now.Add(time.Duration(millis) * time.Millisecond)
}

// Candidates returns the targets of a service that accept requests. The caller must
// not modify the slice.
func (s *Set) Candidates(service string) []*Target {
	c := s.current.Load()
	if c == nil {
		return nil
	}
	list := c.byService[service]
	if s.draining.Load() == 0 || !slices.ContainsFunc(list, (*Target).Draining) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), (*Target).Draining)
}

// Current returns the target of that name as it is registered now, or nil if there is
// none, and reports whether it accepts requests.
func (s *Set) Current(name string) (t *Target, accepts bool) {
	c := s.current.Load()
	if c == nil {
		return nil, false
	}
	t = c.byName[name]
	return t, t != nil && c.accepts(t.Server) && !t.Draining() && c.allowsNow(time.Now(), t.Server, s.Rollouts.NewsLifetime())
}

// accepts reports whether n accepts requests according to its registration and to the rollouts
// of its service.
func (c *targets) accepts(n fleet.Server) bool {
	s := RegisteredState(n, c.outOfService)
	return s != status.Draining && s != status.Out && c.allows(n)
}

// RegisteredState returns the state of n according to its registration alone. The map
// out names the data centres out of service.
func RegisteredState(n fleet.Server, out map[string]bool) status.State {
	switch {
	case n.Draining:
		return status.Draining
	case out[n.DataCentre]:
		return status.Out
	case n.ColdMillis > 0:
		return status.Cold
	}
	return status.Ready
}

// States returns all targets with their states. The state of a target that accepts
// requests is the one observed by this instance.
func (s *Set) States(now time.Time) []status.Server {
	c := s.current.Load()
	if c == nil {
		return nil
	}
	var list []status.Server
	for _, t := range c.byName {
		n := t.Server
		entry := status.Server{
			Name: n.Name, Service: n.Service, DataCentre: n.DataCentre, Address: n.Address, Incarnation: n.Incarnation,
			State: RegisteredState(n, c.outOfService),
		}
		if q := t.quota.State(); q.Named {
			entry.Limit = &status.Limit{PerSecond: q.PerSecond, Source: string(q.Source), Shared: q.Shared, Learned: q.Learned, Part: q.Part}
		}
		switch {
		case entry.State == status.Out:
		case t.Draining():
			entry.State = status.Draining
		default:
			entry.State = t.observedState(now)
		}
		list = append(list, entry)
	}
	return list
}

// WarmsUp reports whether this instance is the one that sends requests to t while it
// is cold. Instances with the same view of the fleet agree on one in the data centre
// of t, or on one of the whole fleet if that data centre has none. The name of t takes
// the place of a service in the choice of the instance, so that different instances
// warm up different targets.
func (s *Set) WarmsUp(t *Target) bool {
	c := s.current.Load()
	if c == nil {
		return false
	}
	return s.warmsUp(c.edges, t)
}

// ConnectionShare returns this instance's equal share of the connections that t accepts
// from all instances together, and false if that number is unlimited.
func (s *Set) ConnectionShare(t *Target) (share int, limited bool) {
	if s.current.Load() == nil || t.Profile.Connections <= 0 {
		return 0, false
	}
	return t.Profile.Connections / s.instances(), true
}

// instances returns the number of instances that accept requests, at least one.
func (s *Set) instances() int {
	c := s.current.Load()
	if c == nil {
		return 1
	}
	return max(1, len(c.edges.Instances))
}
