// Package canary counts the requests and answers of one instance by version, for the rollouts
// that run.
package canary

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
)

const (
	// lateRatio and veryLateRatio are the multiples of the expected time from which an answer
	// is late and very late. Servers whose speed changes while they run a request also reach
	// lateRatio. With both thresholds, a version is found that is somewhat or much slower.
	lateRatio     = 2.5
	veryLateRatio = 4
	// minLateTime is the time below which no answer is late.
	minLateTime = 150 * time.Millisecond
	// maxRoutes and maxServers bound what is counted for one service.
	maxRoutes  = 64
	maxServers = 32
)

// Metrics counts answers by version.
type Metrics interface {
	// AnsweredBy counts an answer of a backend server of the version.
	AnsweredBy(service, version string, bad bool)
}

// Attempt is an attempt at a backend server.
type Attempt struct {
	Service, Route, Version, Server string
	// Expected is the time that the answer is expected to take. Zero means that it can't be
	// late, as at a cold backend server.
	Expected time.Duration

	begun time.Time
}

// Outcome is what the end of an attempt shows.
type Outcome uint8

// Outcomes of attempts.
const (
	// Nothing means that the request was not run, or that its caller left early.
	Nothing Outcome = iota
	// Answered means that the backend server answered, or that its answer was overdue when the
	// attempt was cut short.
	Answered
	// Bad means a server error, or a broken or unsigned answer.
	Bad
)

// Counter counts for the services whose rollouts run. A nil Counter counts nothing. Set the
// exported fields before use. It is safe for concurrent use.
type Counter struct {
	// Instance is the name of this instance.
	Instance string
	// Metrics may be nil.
	Metrics Metrics

	mu sync.Mutex
	// process identifies this process at random, and sequence is that of the last counts.
	process   uint64
	sequence  uint64
	byService map[string]*counts
}

// counts are those of one rollout.
type counts struct {
	fleet.Rollout
	// requests and sent count all requests, and those sent to the version of the rollout.
	requests, sent int64
	byRoute        map[string]*fleet.RouteCounts
	// bad counts the bad and late answers of the version by backend server.
	bad map[string]int64
	// pending holds the attempts that have not ended.
	pending map[*Attempt]struct{}
}

// Update sets the rollouts of the view that was applied. Counts begin anew with each order.
func (k *Counter) Update(list map[string]fleet.Rollout) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	next := map[string]*counts{}
	for service, r := range list {
		if r.State.HasEnded() {
			continue
		}
		c := k.byService[service]
		if c == nil || c.Order != r.Order {
			c = &counts{byRoute: map[string]*fleet.RouteCounts{}, bad: map[string]int64{}, pending: map[*Attempt]struct{}{}}
		}
		c.Rollout = r
		next[service] = c
	}
	k.byService = next
}

// Received counts a request of a service.
func (k *Counter) Received(service string) {
	k.count(service, func(c *counts) { c.requests++ })
}

// Begun counts an attempt that begins now. The result is for Ended.
func (k *Counter) Begun(a Attempt) *Attempt {
	a.begun = time.Now()
	k.count(a.Service, func(c *counts) {
		c.pending[&a] = struct{}{}
		if a.Version == c.Version {
			c.sent++
		}
	})
	return &a
}

// Ended counts the end of the attempt a after the time taken.
func (k *Counter) Ended(a *Attempt, o Outcome, taken time.Duration) {
	k.count(a.Service, func(c *counts) {
		_, began := c.pending[a]
		delete(c.pending, a)
		if !began || o == Nothing {
			return
		}
		c.add(a, answersOf(a, o, taken))
		if k.Metrics != nil {
			k.Metrics.AnsweredBy(a.Service, a.Version, o == Bad)
		}
	})
}

// count calls f with the counts of the service, if a rollout of it runs.
func (k *Counter) count(service string, f func(c *counts)) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.byService[service]; c != nil {
		f(c)
	}
}

// add adds n, the counts of the attempt a.
func (c *counts) add(a *Attempt, n fleet.Answers) {
	r := c.byRoute[a.Route]
	if r == nil {
		if len(c.byRoute) >= maxRoutes {
			return
		}
		r = &fleet.RouteCounts{Route: a.Route}
		c.byRoute[a.Route] = r
	}
	if a.Version != c.Version {
		r.Old = r.Old.Add(n)
		return
	}
	r.New = r.New.Add(n)
	if _, known := c.bad[a.Server]; n.Bad+n.Late > 0 && (known || len(c.bad) < maxServers) {
		c.bad[a.Server]++
	}
}

// answersOf returns the counts of one attempt.
func answersOf(a *Attempt, o Outcome, taken time.Duration) fleet.Answers {
	if o == Bad {
		return fleet.Answers{Total: 1, Bad: 1}
	}
	n := fleet.Answers{Total: 1}
	if a.Expected <= 0 {
		return n
	}
	n.Timed = 1
	ratio := float64(taken) / float64(a.Expected)
	if ratio >= lateRatio && taken >= minLateTime {
		n.Late = 1
	}
	if ratio >= veryLateRatio && taken >= minLateTime {
		n.VeryLate = 1
	}
	return n
}

// withPending returns a copy of c that includes the attempts which are late at now and have not
// ended, so that a slow version is found before it answers.
func (c *counts) withPending(now time.Time) *counts {
	next := *c
	next.bad = maps.Clone(c.bad)
	next.byRoute = map[string]*fleet.RouteCounts{}
	for name, r := range c.byRoute {
		v := *r
		next.byRoute[name] = &v
	}
	for a := range c.pending {
		if n := answersOf(a, Answered, now.Sub(a.begun)); n.Late > 0 {
			next.add(a, n)
		}
	}
	return &next
}

// Counts returns what was counted of each rollout that runs, in the order of the services.
func (k *Counter) Counts() []fleet.Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.byService) == 0 {
		return nil
	}
	for k.process == 0 {
		k.process = rand.Uint64()
	}
	k.sequence++
	var list []fleet.Counts
	for _, service := range slices.Sorted(maps.Keys(k.byService)) {
		v := k.byService[service].withPending(time.Now()).export()
		v.Service, v.Instance, v.Process, v.Sequence = service, k.Instance, k.process, k.sequence
		list = append(list, v)
	}
	return list
}

// export returns c as it is sent to the leader, without the service and the process.
func (c *counts) export() fleet.Counts {
	v := fleet.Counts{
		Order: c.Order, Applied: c.Number, Requests: c.requests, Sent: c.sent,
		Waiting: c.State != fleet.RolloutRunning,
	}
	for _, r := range c.byRoute {
		v.Routes = append(v.Routes, *r)
	}
	slices.SortFunc(v.Routes, func(a, b fleet.RouteCounts) int { return cmp.Compare(a.Route, b.Route) })
	if len(c.bad) > 0 {
		v.Bad = c.bad
	}
	return v
}
