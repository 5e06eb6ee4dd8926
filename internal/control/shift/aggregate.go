package shift

import "github.com/snipefront/snipefront/internal/control/fleet"

// Sum is the sum of the counts of all instances.
type Sum struct {
	fleet.Totals
	// Routes holds the answers by route.
	Routes map[string]fleet.RouteCounts
	// ByServer holds the bad and late answers of the version by backend server.
	ByServer map[string]int64
}

// minus returns what s has beyond o.
func (s Sum) minus(o Sum) Sum {
	d := Sum{Totals: s.Totals, Routes: map[string]fleet.RouteCounts{}, ByServer: map[string]int64{}}
	d.Requests, d.Sent = s.Requests-o.Requests, s.Sent-o.Sent
	d.Answered, d.Bad = s.Answered-o.Answered, s.Bad-o.Bad
	for name, r := range s.Routes {
		before := o.Routes[name]
		d.Routes[name] = fleet.RouteCounts{Route: name, Old: r.Old.Minus(before.Old), New: r.New.Minus(before.New)}
	}
	for name, n := range s.ByServer {
		d.ByServer[name] = n - o.ByServer[name]
	}
	return d
}

// worst returns the largest number of bad and late answers of one backend server.
func (s Sum) worst() int64 {
	most := int64(0)
	for _, n := range s.ByServer {
		most = max(most, n)
	}
	return most
}

// process identifies one run of an instance.
type process struct {
	instance string
	id       uint64
}

// Aggregate adds up the counts of all instances. Its zero value is empty.
type Aggregate struct {
	// last holds the last counts of each process. Those of processes that have ended stay.
	last map[process]fleet.Counts
	// current holds the process of each instance that was heard of last.
	current map[string]uint64
}

// Add adds counts. Counts that come again, or after later ones of their process, change nothing.
func (a *Aggregate) Add(c fleet.Counts) {
	if a.last == nil {
		a.last, a.current = map[process]fleet.Counts{}, map[string]uint64{}
	}
	p := process{c.Instance, c.Process}
	old, known := a.last[p]
	if known && old.Sequence >= c.Sequence {
		return
	}
	a.last[p] = c
	if !known {
		a.current[c.Instance] = c.Process
	}
}

// Sum returns the sum of all counts.
func (a *Aggregate) Sum() Sum {
	s := Sum{Routes: map[string]fleet.RouteCounts{}, ByServer: map[string]int64{}}
	for _, c := range a.last {
		s.Requests += c.Requests
		s.Sent += c.Sent
		for _, r := range c.Routes {
			sum := s.Routes[r.Route]
			s.Routes[r.Route] = fleet.RouteCounts{Route: r.Route, Old: sum.Old.Add(r.Old), New: sum.New.Add(r.New)}
			s.Answered += r.New.Total
			s.Bad += r.New.Bad
		}
		for name, n := range c.Bad {
			s.ByServer[name] += n
		}
	}
	return s
}

// Applied reports whether the instance has applied the step that led to the state of r and, if
// the earlier versions get no requests any more, has none in flight there.
func (a *Aggregate) Applied(instance string, r fleet.Rollout) bool {
	c, ok := a.last[process{instance, a.current[instance]}]
	if !ok || c.Applied < r.StateNumber {
		return false
	}
	return r.State != fleet.RolloutFinishing || c.OldInFlight == 0
}
