package direct

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/cross"
	"github.com/snipefront/snipefront/internal/dispatch/health"
)

// Crossing decides which requests are sent to other data centres. A data centre is named
// by the empty text if it is the one of this instance. *cross.Decider implements it.
type Crossing interface {
	// Worthwhile reports whether other data centres are probed and compared.
	Worthwhile(q cross.Request, near cross.Offer) bool
	// Crosses reports whether the request is sent to far in place of near.
	Crosses(now time.Time, q cross.Request, near, far cross.Offer) bool
	// Stayed records a request that was sent to a local target without a comparison.
	Stayed(now time.Time, q cross.Request, near cross.Offer)
	// Weight returns the weight of a target when those to be probed are drawn.
	Weight(now time.Time, service, dataCentre string) float64
	// Latency returns what a crossing adds to the latency.
	Latency(dataCentre string) time.Duration
	ObserveSpare(now time.Time, service, dataCentre string, has bool)
	ObserveRoundTrip(dataCentre string, taken time.Duration)
	Answered(service, route, dataCentre string, bytes int)
	Sent(service, dataCentre string)
}

// bestCrossing returns the best target of c: near, the best of the local ones, unless a
// crossing pays. It returns false if none can accept the request.
func (d *Dispatcher) bestCrossing(ctx context.Context, c *Call, near choice, local, remote []*health.Target, base time.Duration) (choice, bool) {
	d.observe(c, local)
	q := cross.Request{Service: c.Service, Route: c.Route, Base: base, Left: time.Until(c.Goal)}
	if len(remote) == 0 || !d.Crossing.Worthwhile(q, near.offer()) {
		d.Crossing.Stayed(time.Now(), q, near.offer())
		return near, near.target != nil
	}
	remote = d.sampleBySpare(c, remote)
	d.probeAll(ctx, remote)
	d.observe(c, remote)
	far := d.fastestWithSpare(c, remote, base)
	// The load counts over all targets that were compared.
	load := d.fastest(c, append(slices.Clone(local), remote...), base).load
	q.Left = time.Until(c.Goal)
	if d.Crossing.Crosses(time.Now(), q, near.offer(), far.offer()) {
		near = far
	}
	near.load = load
	return near, near.target != nil
}

// stayed records that c is sent to a local target without a comparison.
func (d *Dispatcher) stayed(c *Call, near choice) {
	if d.Crossing != nil {
		d.Crossing.Stayed(time.Now(), cross.Request{Service: c.Service, Route: c.Route, Left: time.Until(c.Goal)}, near.offer())
	}
}

// offer returns what the crossing decision needs to know of the choice.
func (c choice) offer() cross.Offer {
	return cross.Offer{Found: c.target != nil, Estimate: c.estimate, Spare: c.target != nil && staysBelowBusy(c.snapshot)}
}

// fastestWithSpare returns the target of list with the lowest expected latency, of those that
// stay below busy if there are any: the others need their capacity for the demand of their own
// data centre. The estimate has the learned latency of the crossing.
func (d *Dispatcher) fastestWithSpare(c *Call, list []*health.Target, base time.Duration) choice {
	now := time.Now()
	best := d.fastest(c, slices.DeleteFunc(slices.Clone(list), func(t *health.Target) bool { return !hasSpare(t.Snapshot(now), now) }), base)
	// A target with spare capacity that is slow is no reason to miss the goal.
	if best.target == nil || now.Add(best.estimate).After(c.Goal) {
		best = d.fastest(c, list, base)
	}
	if best.target != nil {
		best.estimate += d.Crossing.Latency(best.target.Server.DataCentre) - remotePenalty
	}
	return best
}

// hasSpare reports whether a recent load report shows that a target stays below busy with one
// more request.
func hasSpare(s health.Snapshot, now time.Time) bool {
	return staysBelowBusy(s) && !s.Cold && now.Sub(s.Report.At) <= maxReportAge
}

// sampleBySpare draws the remote targets that are probed, by the spare capacity of their data
// centres.
func (d *Dispatcher) sampleBySpare(c *Call, list []*health.Target) []*health.Target {
	now := time.Now()
	weights := map[string]float64{}
	keys := map[*health.Target]float64{}
	for _, t := range list {
		dataCentre := t.Server.DataCentre
		if _, ok := weights[dataCentre]; !ok {
			weights[dataCentre] = d.Crossing.Weight(now, c.Service, dataCentre)
		}
		// The order of these keys is that of a weighted draw without replacement.
		keys[t] = rand.ExpFloat64() / math.Max(weights[dataCentre], math.SmallestNonzeroFloat32)
	}
	slices.SortFunc(list, func(a, b *health.Target) int {
		if keys[a] < keys[b] {
			return -1
		}
		return 1
	})
	return list[:min(len(list), maxRemoteProbes)]
}

// observe passes the load reports of the targets on to the crossing decision.
func (d *Dispatcher) observe(c *Call, list []*health.Target) {
	now := time.Now()
	for _, t := range list {
		s := t.Snapshot(now)
		if s.Report.At.IsZero() || now.Sub(s.Report.At) > maxReportAge {
			continue
		}
		d.Crossing.ObserveRoundTrip(crossedTo(t), s.Report.Taken)
		if !t.Near {
			d.Crossing.ObserveSpare(now, c.Service, t.Server.DataCentre, hasSpare(s, now))
		}
	}
}

// crossedTo returns the data centre of t, or an empty text if t is local.
func crossedTo(t *health.Target) string {
	if t.Near {
		return ""
	}
	return t.Server.DataCentre
}

// countSent counts an attempt by the data centre of its target.
func (d *Dispatcher) countSent(c *Call, t *health.Target) {
	if d.Crossing != nil {
		d.Crossing.Sent(c.Service, crossedTo(t))
	}
}

// countBytes records the bytes of c and of its answer from t.
func (d *Dispatcher) countBytes(c *Call, t *health.Target, answer *snipefront.Response) {
	if d.Crossing != nil && answer != nil {
		d.Crossing.Answered(c.Service, c.Route, crossedTo(t), len(c.Body)+len(answer.Body))
	}
}
