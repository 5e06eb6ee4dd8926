// Package leader grants membership leases and changes the membership epoch. It
// runs on every member of the control quorum and acts only on the one that leads
// the log.
//
// Grants are stored in memory only, so that renewals need no entries in the log.
// A new leader does not know which leases its predecessor granted. For the length
// of a lease after its election, it therefore removes no instance from the epoch
// that may still hold a lease, and reports nothing as settled or in force until
// all instances of the epoch have renewed their leases.
package leader

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/state"
)

// LeaseMargin is added to a lease before the leader counts it as expired. It
// covers the difference in rate between the monotonic clocks of the leader and
// the lease holder.
const LeaseMargin = 100 * time.Millisecond

// clockInterval is the time between steps of the clock that claims expire by.
const clockInterval = 10 * time.Second

// Renewal is what an instance reports when it renews its lease.
type Renewal struct {
	Instance snipefront.Instance
	// Epoch is the last epoch that the instance has confirmed: it has no request
	// in flight for the cells that it lost.
	Epoch uint64
	// Held is the last epoch that the instance has applied.
	Held uint64
	// Revision is the revision of the configuration that the instance has
	// applied.
	Revision uint64
	// ProbeRate is the most probes per second that the instance may send by the
	// last grant that it received.
	ProbeRate float64
	// Leaving is true if the instance is leaving the fleet and must not own
	// cells.
	Leaving bool
	// Gone is true if the instance has stopped: its lease ends with this renewal.
	Gone bool
}

// Grant is the answer to a Renewal.
type Grant struct {
	// Granted is false if the control instance that was called does not lead, or if
	// another incarnation of the sender still holds the lease. All fields but Leader
	// are then unset.
	Granted bool
	// Leader is the name of the leader, if known.
	Leader string
	// Lease is the length of the lease, counted from when the renewal was sent.
	Lease time.Duration
	Epoch snipefront.Epoch
	// Settled is the latest epoch that all lease holders have confirmed, or 0 if
	// this is not known.
	Settled uint64
	// Config holds the changes of the configuration after the revision in the
	// renewal.
	Config state.Delta
	// ProbeRate is the most probes per second that the instance may send while it
	// holds the lease.
	ProbeRate float64
}

// Member is an instance with a lease, which may have expired.
type Member struct {
	Renewal
	// Renewed is when the last renewal arrived.
	Renewed time.Time
	// Granted is the probe rate of the last grant, per second. The instance
	// may still use the ProbeRate of its renewal, since the answer can be lost.
	Granted float64
}

// Leader answers renewals and proposes epoch changes. Set the exported fields before
// Run and Renew.
type Leader struct {
	Log   snipefront.Log
	State *state.State
	// Lease is the length of a granted lease.
	Lease time.Duration
	// ProbeBudget returns the most probes per second that the whole fleet may
	// send.
	ProbeBudget func() float64
	Logger      *slog.Logger

	mu sync.Mutex
	// term is the term to which table belongs, and termStart the instant at which
	// this leader first acted in that term.
	term      uint64
	termStart time.Time
	// table is nil until this instance leads for the first time.
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
	l.refresh(now, ld.Term)
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

// InForce reports whether every lease holder has confirmed revision. It returns in
// waiting the names of those that have not, and of the instances that may hold a
// lease of an earlier leader. If this instance does not lead, ok is false.
func (l *Leader) InForce(now time.Time, revision uint64) (inForce bool, waiting []string, ok bool) {
	ld := l.Log.Leadership()
	if !ld.Self {
		return false, nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now, ld.Term)
	for n, m := range l.table.members {
		if m.Revision < revision {
			waiting = append(waiting, n)
		}
	}
	for n := range l.notRenewed(now) {
		waiting = append(waiting, n)
	}
	return len(waiting) == 0 && l.State.Revision() >= revision, waiting, true
}

// Plan returns the epoch change that is due at the instant now, or nil.
func (l *Leader) Plan(now time.Time) *state.EpochChange {
	ld := l.Log.Leadership()
	if !ld.Self {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now, ld.Term)
	current := l.State.Epoch()
	next := l.nextInstances(now, current)
	if sameInstances(current.Instances, next) {
		return nil
	}
	return &state.EpochChange{From: current.Number, Instances: next}
}

// Run proposes epoch changes when they are due, until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	epochTicks := time.NewTicker(l.Lease / 20)
	defer epochTicks.Stop()
	clockTicks := time.NewTicker(clockInterval)
	defer clockTicks.Stop()
	var reading clockReading
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-epochTicks.C:
			l.changeEpoch(ctx)
		case <-clockTicks.C:
			reading = l.advanceClock(ctx, reading)
		}
	}
}

func (l *Leader) changeEpoch(ctx context.Context) {
	c := l.Plan(time.Now())
	if c == nil {
		return
	}
	if err := l.propose(ctx, state.Command{Epoch: c}); err != nil {
		l.Logger.Warn("failed to commit the epoch change; retrying while it is due", "from", c.From, "error", err)
		return
	}
	l.Logger.Info("changed the membership epoch", "from", c.From, "instances", len(c.Instances))
}

// clockReading is the clock of the state at an instant, as read by the leader of
// a term.
type clockReading struct {
	term  uint64
	at    time.Time
	clock int64
}

// advanceClock advances the clock of the state by the time since the reading last,
// and returns a new reading. It does not advance the clock if last was made in
// another term or the clock has moved since, so the time between two leaders is not
// counted.
func (l *Leader) advanceClock(ctx context.Context, last clockReading) clockReading {
	ld := l.Log.Leadership()
	if !ld.Self {
		return clockReading{}
	}
	now := time.Now()
	if last.term == ld.Term && last.clock == l.State.Clock() {
		step := &state.Advance{From: last.clock, Millis: now.Sub(last.at).Milliseconds()}
		if err := l.propose(ctx, state.Command{Advance: step}); err != nil {
			l.Logger.Warn("failed to advance the clock of the claims; they may expire late", "error", err)
		}
	}
	return clockReading{term: ld.Term, at: now, clock: l.State.Clock()}
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

// refresh replaces the table if the term has changed, and removes the members
// whose leases have expired. The caller holds l.mu.
func (l *Leader) refresh(now time.Time, term uint64) {
	if l.table == nil || l.term != term {
		l.term = term
		l.termStart = now
		l.table = newTable(l.Lease + LeaseMargin)
	}
	l.table.expire(now)
}

// notRenewed returns the names of the instances in the epoch that may hold a
// lease of an earlier leader and have not renewed it here. The caller holds l.mu.
func (l *Leader) notRenewed(now time.Time) map[string]bool {
	if !now.Before(l.termStart.Add(l.Lease + LeaseMargin)) {
		return nil
	}
	return l.table.nonMembers(l.State.Epoch())
}

// settled returns the latest epoch that all lease holders have confirmed, or 0 if an
// instance may hold a lease of an earlier leader. The caller holds l.mu.
func (l *Leader) settled(now time.Time) uint64 {
	if len(l.notRenewed(now)) > 0 {
		return 0
	}
	return l.table.lowestEpoch(l.State.Epoch().Number)
}

// probeRate returns an equal share of the probe budget, limited to what the
// grants of the other lease holders leave. It returns 0 for an instance that is
// leaving, and while an instance may hold a grant of an earlier leader, since the
// rest of the budget is then unknown. The caller holds l.mu.
func (l *Leader) probeRate(now time.Time, r Renewal) float64 {
	if r.Leaving || len(l.notRenewed(now)) > 0 {
		return 0
	}
	budget := l.ProbeBudget()
	others, remaining := l.table.remainingRate(r.Instance.Name, budget)
	return max(0, min(budget/float64(others+1), remaining))
}

// nextInstances returns the instances of the next epoch: the lease holders that
// are not leaving, and the instances of the current epoch that may hold a lease
// of an earlier leader. The caller holds l.mu.
func (l *Leader) nextInstances(now time.Time, current snipefront.Epoch) []snipefront.Instance {
	var next []snipefront.Instance
	for _, m := range l.table.members {
		if !m.Leaving {
			next = append(next, m.Instance)
		}
	}
	if !now.Before(l.termStart.Add(l.Lease + LeaseMargin)) {
		return next
	}
	for _, n := range current.Instances {
		if _, renewed := l.table.members[n.Name]; !renewed {
			next = append(next, n)
		}
	}
	return next
}

// sameInstances reports whether a and b hold the same instances, in any order.
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
