package leader

import (
	"math"
	"slices"
	"time"

	"github.com/snipefront/snipefront"
)

// rateUnit is the fixed point of a sum of rates, so that what is added and taken
// away again leaves nothing.
const rateUnit = 1e6

// table is the holders of leases, with the sums that each renewal asks for.
type table struct {
	// lease is the time after a renewal for which its sender counts as a holder.
	lease   time.Duration
	members map[string]Member
	// order holds the renewals, oldest first. One counts only where the member has
	// not renewed since.
	order []renewed
	// epochs counts the members by the epoch that they confirmed.
	epochs map[uint64]int
	// rate is the sum of what the members may send, in units of 1/rateUnit.
	rate int64
	// missing holds the instances of the epoch numbered epoch that are no members.
	missing map[string]bool
	epoch   snipefront.Epoch
}

// renewed is a member and the time of a renewal.
type renewed struct {
	name string
	at   time.Time
}

func newTable(lease time.Duration) *table {
	return &table{lease: lease, members: map[string]Member{}, epochs: map[uint64]int{}}
}

// put sets a member.
func (t *table) put(m Member) {
	n := m.Instance.Name
	if old, ok := t.members[n]; ok {
		t.subtract(old)
	}
	t.members[n] = m
	t.order = append(t.order, renewed{name: n, at: m.Renewed})
	t.epochs[m.Epoch]++
	t.rate += rateOf(m)
	delete(t.missing, n)
}

// remove takes a member away.
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

// subtract takes m out of the sums.
func (t *table) subtract(m Member) {
	t.rate -= rateOf(m)
	t.epochs[m.Epoch]--
	if t.epochs[m.Epoch] == 0 {
		delete(t.epochs, m.Epoch)
	}
}

// holds returns whether m may still hold its lease.
func (t *table) holds(now time.Time, m Member) bool {
	return now.Before(m.Renewed.Add(t.lease))
}

// lapse takes away the members whose leases have lapsed.
func (t *table) lapse(now time.Time) {
	for len(t.order) > 0 {
		o := t.order[0]
		m, ok := t.members[o.name]
		current := ok && m.Renewed.Equal(o.at)
		if current && t.holds(now, m) {
			return
		}
		if current {
			t.remove(o.name)
		}
		t.order = t.order[1:]
	}
}

// lowest returns the lowest epoch that a member has confirmed, at most limit.
func (t *table) lowest(limit uint64) uint64 {
	for e := range t.epochs {
		limit = min(limit, e)
	}
	return limit
}

// left returns the number of other members than the named one, and what they
// leave of budget.
func (t *table) left(name string, budget float64) (others int, left float64) {
	others, rate := len(t.members), t.rate
	if m, ok := t.members[name]; ok {
		others--
		rate -= rateOf(m)
	}
	return others, budget - float64(rate)/rateUnit
}

// absent returns the instances of e that are no members.
func (t *table) absent(e snipefront.Epoch) map[string]bool {
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

// rateOf returns the most that m may send.
func rateOf(m Member) int64 {
	r := math.Ceil(max(m.Granted, m.ProbeRate) * rateUnit)
	return int64(min(max(r, 0), math.MaxInt32*rateUnit))
}
