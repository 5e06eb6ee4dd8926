package cross

import (
	"math"
	"time"
)

const (
	// initialLatency is what a crossing adds to the latency before both ends were probed.
	initialLatency = 20 * time.Millisecond
	// maxLatency bounds what is learned.
	maxLatency = 200 * time.Millisecond
	// roundTripUp and roundTripDown are the factors by which one probe changes the known round
	// trip. They balance if one probe in five is faster: the others may have waited for a
	// connection or a busy server.
	roundTripUp   = 1.05
	roundTripDown = 1.2
	// bytesWeight is the weight of one answer in the moving average of bytes.
	bytesWeight = 0.1
	// spareFall is the weight of one load report without spare capacity, and spareRise the
	// time in which reports with spare capacity restore it: a full data centre is left within
	// a few reports and used again gradually.
	spareFall = 0.3
	spareRise = 2 * time.Second
	// spareLifetime is the time after which the spare capacity of a data centre that was not
	// probed is unknown, and unknownSpare is then assumed.
	spareLifetime = 2 * time.Second
	unknownSpare  = 0.5
	// minWeight is the least weight of a data centre, so that it is probed now and then.
	minWeight = 0.05
	// shareTime is the time in which the moving share of crossing requests adapts.
	shareTime = time.Second
	// leaveShare is the share of crossing requests from which a service is logged as sent
	// to other data centres, and returnShare the one below which it is local again.
	leaveShare  = 0.1
	returnShare = 0.02
)

// service is what is known of one service.
type service struct {
	spare map[string]spare
	// share is the moving share of crossing requests as of shareAt.
	share   float64
	shareAt time.Time
	away    bool
	// pressure is the moving average of the likelihood that the best local backend server
	// misses the goal.
	pressure float64
}

// spare is the part of the backend servers of a data centre that have spare capacity.
type spare struct {
	part float64
	at   time.Time
}

// service returns the state of a service. The caller must hold the lock.
func (d *Decider) service(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{spare: map[string]spare{}}
		if d.services == nil {
			d.services = map[string]*service{}
		}
		d.services[name] = s
	}
	return s
}

// ObserveSpare records whether a load report of a backend server in a remote data centre
// shows spare capacity.
func (d *Decider) ObserveSpare(now time.Time, service, dataCentre string, has bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.service(service).spare
	s, ok := known[dataCentre]
	if !ok || now.Sub(s.at) > spareLifetime {
		s = spare{part: unknownSpare, at: now}
	}
	if has {
		s.part += (1 - s.part) * min(1, float64(now.Sub(s.at))/float64(spareRise))
	} else {
		s.part *= 1 - spareFall
	}
	s.at = now
	known[dataCentre] = s
}

// Weight returns the weight of a backend server in a remote data centre when candidates are
// drawn: the more spare capacity its data centre has, the more of a surplus goes there.
func (d *Decider) Weight(now time.Time, service, dataCentre string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.service(service).spare[dataCentre]
	if !ok || now.Sub(s.at) > spareLifetime {
		return unknownSpare
	}
	return max(minWeight, s.part)
}

// ObserveRoundTrip records the round trip of a load probe to a data centre. The name is
// empty for the own one.
func (d *Decider) ObserveRoundTrip(dataCentre string, taken time.Duration) {
	if taken <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.roundTrips == nil {
		d.roundTrips = map[string]time.Duration{}
	}
	known, ok := d.roundTrips[dataCentre]
	switch {
	case !ok:
		known = taken
	case taken > known:
		known = time.Duration(float64(known) * roundTripUp)
	default:
		known = max(taken, time.Duration(float64(known)/roundTripDown))
	}
	d.roundTrips[dataCentre] = max(known, time.Microsecond)
}

// Latency returns what a crossing to a data centre and back adds to the latency.
func (d *Decider) Latency(dataCentre string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	far, ok := d.roundTrips[dataCentre]
	near, okNear := d.roundTrips[""]
	if !ok || !okNear {
		return initialLatency
	}
	return max(0, min(far-near, maxLatency))
}

// Answered records the bytes of a request and its answer. The data centre is that of the
// backend server, or empty for the own one.
func (d *Decider) Answered(service, route, dataCentre string, bytes int) {
	if d.Counter != nil && dataCentre != "" {
		d.Counter.CrossedBytes(service, bytes)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.bytes == nil {
		d.bytes = map[workload]float64{}
	}
	w := workload{service, route}
	known, ok := d.bytes[w]
	if !ok {
		d.bytes[w] = float64(bytes)
		return
	}
	d.bytes[w] = known + bytesWeight*(float64(bytes)-known)
}

// Sent counts an attempt. The data centre is that of the backend server, or empty for the
// own one.
func (d *Decider) Sent(service, dataCentre string) {
	if d.Counter != nil {
		d.Counter.Crossed(service, dataCentre)
	}
}

// record updates the share of crossing requests of a service, and logs when it begins or
// ends to matter. The caller must hold the lock.
func (d *Decider) record(now time.Time, name string, crosses bool) {
	s := d.service(name)
	target := 0.0
	if crosses {
		target = 1
	}
	// A few requests within a short time don't make a share, so one has 0.1 of the weight at most.
	weight := min(0.1, 1-math.Exp(-float64(now.Sub(s.shareAt))/float64(shareTime)))
	s.share += weight * (target - s.share)
	s.shareAt = now
	away := s.share >= leaveShare || s.away && s.share > returnShare
	if away == s.away {
		return
	}
	s.away = away
	if d.Logger == nil {
		return
	}
	decision := "local"
	if away {
		decision = "remote"
	}
	spareNow := map[string]float64{}
	for dc, known := range s.spare {
		spareNow[dc] = math.Round(known.part*100) / 100
	}
	d.Logger.Info("data centres that a service is sent to changed", "service", name, "decision", decision, "share", math.Round(s.share*1000)/1000, "spare", spareNow)
}
