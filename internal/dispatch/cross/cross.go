// Package cross decides which requests are sent to backend servers in other data
// centres.
//
// A crossing pays if it makes an answer in time likelier by more than it costs. Both are
// expressed as a share of one request in time: the likelihood follows from the estimates,
// and the cost from the bytes of the route and their price.
//
// The package has no clock and no network, so that instances with the same knowledge
// decide alike.
package cross

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/snipefront/snipefront"
)

const (
	// likelihoodAtEstimate is the likelihood that an answer takes no longer than estimated.
	// The safety margin of the estimates balances at one later answer in seven.
	likelihoodAtEstimate = 6.0 / 7
	// likelihoodPower is how steeply the likelihood of an answer in time grows with the time
	// that is left. With 5, half of the answers take no longer than 0.7 of the estimate. A
	// steeper one ignores the late answers of servers that become slow meanwhile.
	likelihoodPower = 5
	// lateValue is the value of a late answer as a share of one in time.
	lateValue = 0.1
	// minGain is the gain up to which no request crosses, since it is within the error of the
	// estimates.
	minGain = 0.005
	// fullGain is the gain, beyond minGain, from which all requests cross. Below, a share does,
	// so that many instances with the same knowledge don't all leave at the same time.
	fullGain = 0.02
	// busyCost is the cost of a request at a backend server that has no spare capacity: it
	// takes longer there and delays requests of that data centre.
	busyCost = 0.05
	// slotShare is the cost of one base latency at a backend server, as a multiple of the
	// share of requests that miss their goal locally: while slots are scarce, a request that
	// takes longer costs others their goal. Without it, long requests with much time left
	// stay at full local servers, and short ones beside them miss their goal.
	slotShare = 3
	// pressureWeight is the weight of one request in the moving loss of a service.
	pressureWeight = 0.05
)

// Counter counts attempts by the data centre of their backend server.
type Counter interface {
	// Crossed counts an attempt for a service. The data centre is empty if it is the one of
	// this instance.
	Crossed(service, dataCentre string)
	// CrossedBytes counts the bytes of a request or answer between data centres.
	CrossedBytes(service string, bytes int)
}

// Request is a request for which a backend server is chosen.
type Request struct {
	Service, Route string
	// Base is the expected latency at an idle local backend server.
	Base time.Duration
	// Left is the time until the latency goal. It may be negative.
	Left time.Duration
}

// Offer is the best backend server among several. Its zero value means that none accepts
// the request.
type Offer struct {
	Found bool
	// Estimate is the expected latency, with the crossing.
	Estimate time.Duration
	// Spare reports whether the backend server stays below busy with the request.
	Spare bool
}

// Decider decides for all services of an instance. Set the exported fields before use.
// It is safe for concurrent use.
type Decider struct {
	// BytesPerInTime is the number of bytes whose crossing costs as much as one answer in
	// time is worth. Zero means snipefront.DefaultCrossingBytes.
	BytesPerInTime float64
	// Counter counts attempts. Nil counts none.
	Counter Counter
	// Logger logs changes of the decision. Nil logs none.
	Logger *slog.Logger
	// Random returns a random number from 0 to 1. Nil means that of math/rand/v2.
	Random func() float64

	mu       sync.Mutex
	services map[string]*service
	// bytes is the moving average of the bytes of a request and its answer, by service and
	// route.
	bytes map[workload]float64
	// roundTrips is a low quantile of the round trip of load probes, by data centre. The
	// empty name stands for the own one.
	roundTrips map[string]time.Duration
}

// workload is the requests of one route to one service.
type workload struct{ service, route string }

// Worthwhile reports whether a crossing may pay for q, if the best local backend server is
// near. If it doesn't, other data centres need not be probed.
func (d *Decider) Worthwhile(q Request, near Offer) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !near.Found {
		return true
	}
	return 1-d.value(q, near)-d.cost(q) > minGain && (q.Left > 0 || !near.Spare)
}

// Crosses decides whether q crosses to the backend server far in a remote data centre, in
// place of the local one near.
func (d *Decider) Crosses(now time.Time, q Request, near, far Offer) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordLoss(q, near)
	share := 0.0
	switch gain := d.value(q, far) - d.value(q, near) - d.cost(q); {
	case !far.Found:
	case !near.Found:
		// A refusal is worth nothing, whatever the bytes.
		share = 1
	default:
		share = max(0, min((gain-minGain)/fullGain, 1))
	}
	crosses := share > 0 && d.random() < share
	d.record(now, q.Service, crosses)
	return crosses
}

// Stayed records that q was sent to a local backend server without a comparison.
func (d *Decider) Stayed(now time.Time, q Request, near Offer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordLoss(q, near)
	d.record(now, q.Service, false)
}

// recordLoss records how likely the local backend servers miss the goal of q. The caller
// must hold the lock.
func (d *Decider) recordLoss(q Request, near Offer) {
	if q.Left <= 0 {
		return
	}
	loss := 1.0
	if near.Found {
		loss = 1 - likelihood(q.Left, near.Estimate)
	}
	s := d.service(q.Service)
	s.pressure += pressureWeight * (loss - s.pressure)
}

// value returns the value of sending q to o, as a share of an answer in time.
func (d *Decider) value(q Request, o Offer) float64 {
	if !o.Found {
		return 0
	}
	v := lateValue + (1-lateValue)*likelihood(q.Left, o.Estimate)
	if !o.Spare {
		v -= busyCost * (1 - likelihood(q.Left, o.Estimate))
	}
	if q.Base > 0 {
		v -= slotShare * d.service(q.Service).pressure * float64(o.Estimate) / float64(q.Base)
	}
	return v
}

// likelihood returns the likelihood that an answer for which the estimate is expected takes
// no longer than left.
func likelihood(left, estimate time.Duration) float64 {
	if left <= 0 {
		return 0
	}
	const odds = (1 - likelihoodAtEstimate) / likelihoodAtEstimate
	return 1 / (1 + odds*math.Pow(float64(estimate)/float64(left), likelihoodPower))
}

// cost returns the cost of a crossing of q. The caller must hold the lock.
func (d *Decider) cost(q Request) float64 {
	per := d.BytesPerInTime
	if per <= 0 {
		per = snipefront.DefaultCrossingBytes
	}
	return d.bytes[workload{q.Service, q.Route}] / per
}

func (d *Decider) random() float64 {
	if d.Random != nil {
		return d.Random()
	}
	return rand.Float64()
}
