// Package leader grants membership leases and moves the fleet from epoch to
// epoch. It runs on every member of the control quorum and acts on the one that
// leads the log.
//
// Grants are kept in memory only. A new leader cannot know what its predecessor
// granted, so for the first lease after its election it drops nobody and
// reports nothing as settled or in force that an unheard instance could
// contradict. The log stays free of renewals.
package leader

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/state"
)

// Margin is what a lease is extended by before its holder is dropped, for the
// difference in rate between two monotonic clocks.
const Margin = 100 * time.Millisecond

// ageInterval is the time between steps of the clock by which claims age.
const ageInterval = 10 * time.Second

// Renewal is what an instance says of itself when it renews its lease.
type Renewal struct {
	Instance snipefront.Instance
	// Epoch is the last epoch for which it has let go of all cells it lost.
	Epoch uint64
	// Held is the last epoch that it has seen.
	Held uint64
	// Revision is the configuration in force at the instance.
	Revision uint64
	// ProbeRate is the probes a second that it may send by the last grant that
	// reached it.
	ProbeRate float64
	// Leaving is true where it is stopping and wants no cells.
	Leaving bool
	// Gone is true where it has stopped: its lease ends with this renewal.
	Gone bool
}

// Grant is the answer to a Renewal.
type Grant struct {
	// Granted is false where this instance does not lead, or where an earlier
	// incarnation still holds the lease. All fields but Leader are then unset.
	Granted bool
	// Leader is who leads, where known.
	Leader string
	// Lease counts from when the renewal was sent.
	Lease time.Duration
	Epoch snipefront.Epoch
	// Settled is the latest epoch that all holders of a lease have confirmed.
	Settled uint64
	Config  state.Delta
	// ProbeRate is the most probes a second that the instance may send while it
	// holds the lease.
	ProbeRate float64
}

// Member is an instance that holds or held a lease.
type Member struct {
	Renewal
	// Renewed is when the last renewal arrived.
	Renewed time.Time
	// Granted is the probes a second that the last grant allowed. The instance may
	// still go by the ProbeRate of its renewal, since the answer can be lost.
	Granted float64
}

// Leader serves renewals. Set the exported fields before Run.
type Leader struct {
	Log   snipefront.Log
	State *state.State
	// Lease is the length of a granted lease.
	Lease time.Duration
	// ProbeBudget returns the most probes a second that the whole fleet sends.
	ProbeBudget func() float64
	Logger      *slog.Logger

	mu    sync.Mutex
	term  uint64
	since time.Time
	// table is nil before the first term of this leader.
	table *table
}

// Renew renews a lease at the instant now.
func (l *Leader) Renew(now time.Time, r Renewal) Grant {
	ld := l.Log.Leadership()
	if !ld.Self {
		return Grant{Leader: ld.Leader}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enter(now, ld.Term)
	old, known := l.table.members[r.Instance.Name]
	if known && old.Instance.Incarnation != r.Instance.Incarnation {
		return Grant{Leader: ld.Leader}
	}
	rate := 0.0
	if r.Gone {
		l.table.remove(r.Instance.Name)
	} else {
		rate = l.probeRate(now, r)
		l.table.put(Member{Renewal: r, Renewed: now, Granted: rate})
	}
	return Grant{
		Granted:   true,
		Leader:    ld.Leader,
		Lease:     l.Lease,
		Epoch:     l.State.Epoch(),
		Settled:   l.settled(now),
		Config:    l.State.DeltaSince(r.Revision),
		ProbeRate: rate,
	}
}

// InForce returns whether every holder of a lease has confirmed revision, and
// the names of those that have not. Where this instance does not lead, ok is
// false.
func (l *Leader) InForce(now time.Time, revision uint64) (inForce bool, waiting []string, ok bool) {
	ld := l.Log.Leadership()
	if !ld.Self {
		return false, nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enter(now, ld.Term)
	for n, m := range l.table.members {
		if m.Revision < revision {
			waiting = append(waiting, n)
		}
	}
	for n := range l.unheard(now) {
		waiting = append(waiting, n)
	}
	return len(waiting) == 0 && l.State.Revision() >= revision, waiting, true
}

// Plan returns the change of epoch that is due at the instant now, or nil.
func (l *Leader) Plan(now time.Time) *state.EpochChange {
	ld := l.Log.Leadership()
	if !ld.Self {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enter(now, ld.Term)
	current := l.State.Epoch()
	next := l.successors(now, current)
	if sameInstances(current.Instances, next) {
		return nil
	}
	return &state.EpochChange{From: current.Number, Instances: next}
}

// Run proposes changes of epoch as they fall due, until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	plans := time.NewTicker(l.Lease / 20)
	defer plans.Stop()
	ages := time.NewTicker(ageInterval)
	defer ages.Stop()
	var aged age
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-plans.C:
			l.step(ctx)
		case <-ages.C:
			aged = l.age(ctx, aged)
		}
	}
}

func (l *Leader) step(ctx context.Context) {
	c := l.Plan(time.Now())
	if c == nil {
		return
	}
	if err := l.propose(ctx, state.Command{Epoch: c}); err != nil {
		l.Logger.Warn("epoch not accepted", "from", c.From, "error", err)
		return
	}
	l.Logger.Info("epoch changed", "from", c.From, "instances", len(c.Instances))
}

// age is the last known pair of an instant and the clock of the state.
type age struct {
	term  uint64
	at    time.Time
	clock int64
}

// age moves the clock of the state by the time since a, which this instance must
// have measured while it led. The time between two leaders is not counted.
func (l *Leader) age(ctx context.Context, a age) age {
	ld := l.Log.Leadership()
	if !ld.Self {
		return age{}
	}
	now := time.Now()
	if a.term == ld.Term && a.clock == l.State.Clock() {
		step := &state.Advance{From: a.clock, Millis: now.Sub(a.at).Milliseconds()}
		if err := l.propose(ctx, state.Command{Advance: step}); err != nil {
			l.Logger.Warn("clock not moved", "error", err)
		}
	}
	return age{term: ld.Term, at: now, clock: l.State.Clock()}
}

func (l *Leader) propose(ctx context.Context, c state.Command) error {
	b, err := c.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, l.Lease)
	defer cancel()
	_, err = l.Log.Propose(ctx, b)
	return err
}

// enter forgets the grants of an earlier term, and those that have lapsed. The
// lock is held.
func (l *Leader) enter(now time.Time, term uint64) {
	if l.table == nil || l.term != term {
		l.term = term
		l.since = now
		l.table = newTable(l.Lease + Margin)
	}
	l.table.lapse(now)
}

// unheard returns the instances of the epoch that may hold a lease of an earlier
// leader and have not renewed it here.
func (l *Leader) unheard(now time.Time) map[string]bool {
	if !now.Before(l.since.Add(l.Lease + Margin)) {
		return nil
	}
	return l.table.absent(l.State.Epoch())
}

func (l *Leader) settled(now time.Time) uint64 {
	if len(l.unheard(now)) > 0 {
		return 0
	}
	return l.table.lowest(l.State.Epoch().Number)
}

// probeRate returns an equal share of the budget, as far as the other holders
// of leases have left it. While an instance may hold a grant of an earlier
// leader, nothing is known to be left. The lock is held.
func (l *Leader) probeRate(now time.Time, r Renewal) float64 {
	if r.Leaving || len(l.unheard(now)) > 0 {
		return 0
	}
	budget := l.ProbeBudget()
	others, left := l.table.left(r.Instance.Name, budget)
	return max(0, min(budget/float64(others+1), left))
}

// successors returns the instances of the next epoch: the holders of leases that
// are not leaving, and those of the current epoch that may hold an old lease.
func (l *Leader) successors(now time.Time, current snipefront.Epoch) []snipefront.Instance {
	var next []snipefront.Instance
	for _, m := range l.table.members {
		if !m.Leaving {
			next = append(next, m.Instance)
		}
	}
	if !now.Before(l.since.Add(l.Lease + Margin)) {
		return next
	}
	for _, n := range current.Instances {
		if _, heard := l.table.members[n.Name]; !heard {
			next = append(next, n)
		}
	}
	return next
}

func sameInstances(a, b []snipefront.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	have := make(map[snipefront.Instance]bool, len(a))
	for _, n := range a {
		have[n] = true
	}
	for _, n := range b {
		if !have[n] {
			return false
		}
	}
	return true
}
