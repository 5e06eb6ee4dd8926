package leader

import (
	"math"
	"slices"
	"time"

	"github.com/snipefront/snipefront"
)

// rateScale converts probe rates to fixed point, so that a sum is exact after
// rates are added and subtracted again.
const rateScale = 1e6

// table holds the lease holders, and totals over them that each renewal updates
// and reads without a loop over all members.
type table struct {
	// lease is the time after a renewal for which its sender counts as a lease
	// holder.
	lease   time.Duration
	members map[string]Member
	// queue holds the renewals, oldest first. An entry is stale if the member has
	// renewed its lease since.
	queue []queueEntry
	// epochCounts holds the number of members by the epoch that they have
	// confirmed.
	epochCounts map[uint64]int
	// rateSum is the sum of the members' probe rates, in units of 1/rateScale per
	// second.
	rateSum int64
	// missing holds the names of the instances of epoch that are not members. It is
	// nil until nonMembers is first called.
	missing map[string]bool
	epoch   snipefront.Epoch
}

// queueEntry is the name of a member and the time of one of its renewals.
type queueEntry struct {
	name string
	at   time.Time
}

func newTable(lease time.Duration) *table {
	return &table{lease: lease, members: map[string]Member{}, epochCounts: map[uint64]int{}}
}

// put adds a member, or replaces it.
func (t *table) put(m Member) {
	n := m.Instance.Name
	if old, ok := t.members[n]; ok {
		t.subtract(old)
	}
	t.members[n] = m
	t.queue = append(t.queue, queueEntry{name: n, at: m.Renewed})
	t.epochCounts[m.Epoch]++
	t.rateSum += fixedRate(m)
	delete(t.missing, n)
}

// remove removes the named member, if there is one.
func (t *table) remove(name string) {
	m, ok := t.members[name]
	if !ok {
		return
	}
	delete(t.members, name)
	t.subtract(m)
	if slices.ContainsFunc(t.epoch.Instances, func(n snipefront.Instance) bool { return n.Name == name }) {
		t.missing[name] = true
	}
}

// subtract subtracts m from the totals.
func (t *table) subtract(m Member) {
	t.rateSum -= fixedRate(m)
	t.epochCounts[m.Epoch]--
	if t.epochCounts[m.Epoch] == 0 {
		delete(t.epochCounts, m.Epoch)
	}
}

// holds reports whether m may still hold its lease.
func (t *table) holds(now time.Time, m Member) bool {
	return now.Before(m.Renewed.Add(t.lease))
}

// expire removes the members whose leases have expired.
func (t *table) expire(now time.Time) {
	for len(t.queue) > 0 {
		e := t.queue[0]
		m, ok := t.members[e.name]
		current := ok && m.Renewed.Equal(e.at)
		if current && t.holds(now, m) {
			return
		}
		if current {
			t.remove(e.name)
		}
		t.queue = t.queue[1:]
	}
}

// lowestEpoch returns the lowest epoch that a member has confirmed, at most
// limit.
func (t *table) lowestEpoch(limit uint64) uint64 {
	for e := range t.epochCounts {
		limit = min(limit, e)
	}
	return limit
}

// remainingRate returns the number of members other than the named one, and the
// probes per second that they leave of budget.
func (t *table) remainingRate(name string, budget float64) (others int, remaining float64) {
	others, rate := len(t.members), t.rateSum
	if m, ok := t.members[name]; ok {
		others--
		rate -= fixedRate(m)
	}
	return others, budget - float64(rate)/rateScale
}

// nonMembers returns the names of the instances of e that are not members.
func (t *table) nonMembers(e snipefront.Epoch) map[string]bool {
	if t.missing != nil && t.epoch.Number == e.Number {
		return t.missing
	}
	t.epoch = e
	t.missing = map[string]bool{}
	for _, n := range e.Instances {
		if _, ok := t.members[n.Name]; !ok {
			t.missing[n.Name] = true
		}
	}
	return t.missing
}

// fixedRate returns the most probes per second that m may send, in units of
// 1/rateScale.
func fixedRate(m Member) int64 {
	r := math.Ceil(max(m.Granted, m.ProbeRate) * rateScale)
	return int64(min(max(r, 0), math.MaxInt32*rateScale))
}
