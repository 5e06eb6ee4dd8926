package health

import (
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/control/owner"
	"github.com/snipefront/snipefront/internal/observe/status"
)

// Prober asks a target for its load.
type Prober interface {
	Probe(t *Target) (Report, error)
}

// Set holds the targets of all services. Its zero value is empty. Update is called
// from one goroutine, the rest from any.
type Set struct {
	// Self is this instance.
	Self snipefront.Instance

	current atomic.Pointer[targets]
}

// targets is what a Set holds at one time.
type targets struct {
	byName    map[string]*Target
	byService map[string][]*Target
	// entries has the instances that take requests.
	entries snipefront.Epoch
	// out holds the data centres out of service.
	out map[string]bool
}

// Update makes the set that of v and r. A target that is still there keeps what is
// known of it.
func (s *Set) Update(now time.Time, v fleet.View, r *snipefront.Routing) {
	next := &targets{byName: map[string]*Target{}, byService: map[string][]*Target{}, out: v.Out}
	old := s.current.Load()
	for _, n := range v.Servers {
		p, ok := r.Services[n.Service]
		if !ok {
			continue
		}
		t := s.target(now, old, n, p)
		next.byName[n.Name] = t
		if next.takes(n) {
			next.byService[n.Service] = append(next.byService[n.Service], t)
		}
	}
	for _, n := range v.Instances {
		if n.Ready && !n.Control {
			next.entries.Instances = append(next.entries.Instances, n.Instance)
		}
	}
	s.current.Store(next)
}

// target returns the target of n, with what is known of the same incarnation.
func (s *Set) target(now time.Time, old *targets, n fleet.Server, p snipefront.Profile) *Target {
	t := &Target{Server: n, Profile: p, Near: n.DataCentre == s.Self.DataCentre}
	var o *Target
	if old != nil {
		o = old.byName[n.Name]
	}
	if o == nil || o.Server.Incarnation != n.Incarnation || o.Server.Address != n.Address {
		t.state = &state{coldUntil: coldUntil(now, n)}
		return t
	}
	t.state = o.state
	if o.Server.ColdMillis != n.ColdMillis {
		t.mu.Lock()
		t.coldUntil = coldUntil(now, n)
		t.mu.Unlock()
	}
	return t
}

func coldUntil(now time.Time, n fleet.Server) time.Time {
	return now.Add(time.Duration(n.ColdMillis) * time.Millisecond)
}

// Candidates returns the targets of a service that take requests.
func (s *Set) Candidates(service string) []*Target {
	c := s.current.Load()
	if c == nil {
		return nil
	}
	return c.byService[service]
}

// Current returns the target of that name as it is registered now, which may no
// longer take requests.
func (s *Set) Current(name string) (t *Target, takes bool) {
	c := s.current.Load()
	if c == nil {
		return nil, false
	}
	t = c.byName[name]
	return t, t != nil && c.takes(t.Server)
}

// takes returns whether n takes requests by its registration.
func (c *targets) takes(n fleet.Server) bool {
	s := Registered(n, c.out)
	return s != status.Draining && s != status.Out
}

// Registered returns what n gets by its registration, where out has the data centres
// out of service.
func Registered(n fleet.Server, out map[string]bool) status.State {
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

// States returns all targets with what they get.
func (s *Set) States(now time.Time) []status.Server {
	c := s.current.Load()
	if c == nil {
		return nil
	}
	var list []status.Server
	for _, t := range c.byName {
		n := t.Server
		v := status.Server{
			Name: n.Name, Service: n.Service, DataCentre: n.DataCentre, Address: n.Address, Incarnation: n.Incarnation,
			State: Registered(n, c.out),
		}
		if c.takes(n) {
			v.State = t.condition(now)
		}
		list = append(list, v)
	}
	return list
}

// WarmsUp returns whether this instance is the one that sends requests to t while
// it is cold. Instances with the same view agree on one in its data centre, or in
// the fleet where there is none.
func (s *Set) WarmsUp(t *Target) bool {
	c := s.current.Load()
	if c == nil {
		return false
	}
	n, ok := owner.Of(c.entries, snipefront.Cell{Service: t.Server.Name, DataCentre: t.Server.DataCentre})
	return ok && n.Name == s.Self.Name
}
