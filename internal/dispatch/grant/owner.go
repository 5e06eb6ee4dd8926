package grant

import (
	"time"

	"github.com/snipefront/snipefront"
)

const (
	// historyTime is the time for which earlier views are kept, to tell since when this
	// instance has been an owner.
	historyTime = 5 * time.Second
	// handoverLife is the time for which a Handover is kept that arrives before the view
	// that makes this instance the owner.
	handoverLife = 3 * time.Second
)

// Owner answers the questions about the workspaces that one instance owns, or is the deputy
// of. Set the exported fields before use.
type Owner struct {
	// Self is the name of this instance.
	Self  string
	Limit snipefront.QuotaLimit
	// Started is when the process started. Zero is unknown.
	Started time.Time

	// views holds the view in force and the ones before, the latest first.
	views []view
	// ownedBuckets and deputyBuckets hold the buckets of the workspaces that were asked for.
	ownedBuckets, deputyBuckets map[string]*Bucket
	// arrived holds the handovers for workspaces without a bucket.
	arrived map[string]arrival
	// called is the time of the last call.
	called time.Time
	// stalled is the time of the last stall, at which all was dropped.
	stalled time.Time
	// cutOff is set by SetCutOff.
	cutOff bool
	// index is the last one at which the view in force was confirmed.
	index uint64
}

// view is a Placement and the time since which it holds. The view before it was last confirmed
// at the index after.
type view struct {
	place *Placement
	since time.Time
	after uint64
}

// arrival is a Handover and the time at which it arrived.
type arrival struct {
	Handover
	at time.Time
}

// AddressedHandover is a Handover and the instance that it is for.
type AddressedHandover struct {
	Handover
	To snipefront.Instance
}

// Tick must be called several times per second, so that a stall of the process is noticed:
// after it, this instance begins as a new owner, since another one may have replaced it.
func (o *Owner) Tick(now time.Time) {
	if !o.called.IsZero() && now.Sub(o.called) >= stallLength {
		o.restart(now)
	}
	o.called = now
}

// restart drops what was granted, as if this instance had just become the owner.
func (o *Owner) restart(now time.Time) {
	o.ownedBuckets, o.deputyBuckets, o.arrived = nil, nil, nil
	o.stalled = now
}

// Confirm records that the view has not changed up to an index.
func (o *Owner) Confirm(index uint64) { o.index = max(o.index, index) }

// SetPlacement replaces the view by that at an index. It returns what the next owners of
// workspaces have to know.
func (o *Owner) SetPlacement(now time.Time, index uint64, p *Placement) []AddressedHandover {
	o.Tick(now)
	o.views = append([]view{{place: p, since: now, after: o.index}}, o.views...)
	o.Confirm(index)
	for i, v := range o.views {
		if i > 0 && now.Sub(v.since) > historyTime && now.Sub(o.views[i-1].since) > historyTime {
			o.views = o.views[:i]
			break
		}
	}
	for workspace := range o.deputyBuckets {
		if n, ok := p.Deputy(workspace); !ok || n.Name != o.Self {
			delete(o.deputyBuckets, workspace)
		}
	}
	var list []AddressedHandover
	for workspace, b := range o.ownedBuckets {
		next, ok := p.Owner(workspace)
		if ok && next.Name == o.Self {
			continue
		}
		delete(o.ownedBuckets, workspace)
		if ok && !b.reduced {
			h := b.handOver(now, workspace)
			h.Index = index
			list = append(list, AddressedHandover{Handover: h, To: next})
		}
	}
	return list
}

// SetCutOff sets whether this instance has lost contact with the control instances and with
// most others, so that there may be another owner that it doesn't know of. It then grants
// no more than a deputy.
func (o *Owner) SetCutOff(now time.Time, cutOff bool) {
	o.Tick(now)
	if cutOff == o.cutOff {
		return
	}
	o.cutOff = cutOff
	if !cutOff {
		o.restart(now)
	}
	for _, b := range o.ownedBuckets {
		b.limitRate(now)
	}
}

// Ask answers a question. It returns false if there is no answer to it.
func (o *Owner) Ask(now time.Time, a Ask) (Answer, bool) {
	o.Tick(now)
	first, ok := o.firstView(a.Workspace, a.Deputy)
	if !ok {
		return Answer{Number: a.Number, Workspace: a.Workspace, Other: true}, true
	}
	return o.bucket(now, first, a).Ask(now, a)
}

// firstView returns the view since which this instance has been the owner of a workspace, or
// its deputy, and false if it isn't.
func (o *Owner) firstView(workspace string, deputy bool) (first view, ok bool) {
	for _, v := range o.views {
		if n, found := v.place.at(workspace, deputy); !found || n.Name != o.Self {
			break
		}
		first, ok = v, true
	}
	return first, ok
}

// bucket returns the bucket that a asks, which it creates if necessary. This instance is the
// owner, or the deputy, since the first view.
func (o *Owner) bucket(now time.Time, first view, a Ask) *Bucket {
	begun := first.since
	if begun.Before(o.stalled) {
		begun = o.stalled
	}
	if a.Deputy {
		return getOrAdd(&o.deputyBuckets, a.Workspace, func() *Bucket { return newBucket(begun, begun, o.Limit, a) })
	}
	return getOrAdd(&o.ownedBuckets, a.Workspace, func() *Bucket {
		started := o.Started
		if started.IsZero() || started.Before(o.stalled) {
			started = begun
		}
		b := newBucket(started, begun, o.Limit, a)
		if begun != o.stalled {
			b.addCredit()
		}
		if h, ok := o.arrived[a.Workspace]; ok && now.Sub(h.at) < handoverLife && h.Index > first.after {
			b.takeOver(h.at, h.Handover)
		}
		delete(o.arrived, a.Workspace)
		if o.cutOff {
			b.limitRate(now)
		}
		return b
	})
}

// getOrAdd returns the bucket of a workspace, which it adds if necessary.
func getOrAdd(m *map[string]*Bucket, workspace string, create func() *Bucket) *Bucket {
	if *m == nil {
		*m = map[string]*Bucket{}
	}
	b := (*m)[workspace]
	if b == nil {
		b = create()
		(*m)[workspace] = b
	}
	return b
}

// TakeOver records what an earlier owner leaves.
func (o *Owner) TakeOver(now time.Time, h Handover) {
	o.Tick(now)
	if b := o.ownedBuckets[h.Workspace]; b != nil {
		if first, ok := o.firstView(h.Workspace, false); ok && h.Index > first.after {
			b.takeOver(now, h)
		}
		return
	}
	for workspace, old := range o.arrived {
		if now.Sub(old.at) >= handoverLife {
			delete(o.arrived, workspace)
		}
	}
	if o.arrived == nil {
		o.arrived = map[string]arrival{}
	}
	o.arrived[h.Workspace] = arrival{Handover: h, at: now}
}

// Owned returns the number of workspaces whose bucket this instance holds as their owner.
func (o *Owner) Owned() int { return len(o.ownedBuckets) }
