package health

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/bucket"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
	"github.com/snipefront/snipefront/internal/observe/status"
)

const (
	// reportLifetime is how long a load report is reused for further choices. One
	// without load figures shows only that the target is reachable, and is reused
	// for noLoadLifetime.
	reportLifetime = 30 * time.Millisecond
	noLoadLifetime = time.Second
	// limitedReportLifetime is the age from which the load report of a target with a rate
	// limit is ignored.
	limitedReportLifetime = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the time for which an unreachable backend server
	// receives no requests. It doubles with each consecutive failure.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// faultWeight is the weight of one outcome in the moving fault share.
	faultWeight = 0.25
	// faultHalfLife is the time in which the fault share halves. It decays with time
	// since a target that is avoided for its faults receives no requests that could
	// lower it.
	faultHalfLife = 5 * time.Second
	// faultyThreshold is the fault share from which the status shows a target as
	// faulty. A single fault stays below it.
	faultyThreshold = 0.3
	// minSharedCold is the remaining warm-up up to which it isn't shared: it would be over
	// when the others learn of it.
	minSharedCold = 100 * time.Millisecond
	// coldBurst is the most requests that a cold target receives at once.
	coldBurst = 1
)

// ErrProbeTimeout means that a connection was open but the probe was not answered in
// time. It is no sign of a fault if the health path waits for a free slot, as it may
// for a service that does not report its load.
var ErrProbeTimeout = errors.New("load probe timed out")

// Target is a backend server as this instance sees it. Its exported fields never
// change: each Update of the Set makes new Targets, which share the state of the
// incarnation.
type Target struct {
	// Server is the registration.
	Server fleet.Server
	// Profile is the profile of its service.
	Profile snipefront.ServiceProfile
	// Near reports whether the target is local, that is, in the data centre of this
	// instance.
	Near bool
	// Preferred reports whether this instance sends to the target before it sends to other
	// local ones.
	Preferred bool
	// set is the Set that made the Target.
	set *Set
	// ranks holds the ranks of the routes to the service, in ascending order.
	ranks []int
	*state
}

// state is what this instance has observed of one incarnation of a backend server.
type state struct {
	mu sync.Mutex
	// coldUntil is when the warm-up ends according to the registration.
	coldUntil time.Time
	report    Report
	// probing is closed when the probe in flight has ended. Nil means that there is
	// none.
	probing chan struct{}
	// sentSinceReport counts the requests that this instance has sent since the
	// report. It is not lowered when they end.
	sentSinceReport int
	// inFlight counts the requests of this instance that have not ended, whether they
	// were sent before the report or since.
	inFlight int
	// faultShare is the moving share of requests that failed, as of faultShareAt.
	faultShare   float64
	faultShareAt time.Time
	// backoff is the length of the last backoff, which ends at retryAt. Zero means
	// that none has begun since the last success.
	backoff time.Duration
	retryAt time.Time
	// draining is true once an answer has said that the backend server drains.
	draining bool
	// pausedUntil is the end of the pause for which the backend server has asked. After it,
	// resuming is true until a first request has ended, and resumeSent once that was sent.
	pausedUntil          time.Time
	resuming, resumeSent bool
	// coldTokens limits the requests to a cold target.
	coldTokens bucket.Bucket
	// quota holds the rate limit that the backend server names.
	quota quota.Quota
}

// Snapshot is the last load report of a target and the counts of this instance, all at
// one instant.
type Snapshot struct {
	// At is the instant of the snapshot.
	At     time.Time
	Report Report
	// Sent counts the requests that this instance has sent since the report.
	Sent int
	// Running counts the requests of this instance that have not ended, while
	// Report.Running counts the requests of all instances.
	Running int
	// Faults is the share of requests that failed recently, 0 to 1: a moving average
	// that halves every 5 s.
	Faults float64
	// Cold reports whether the backend server is still warming up and can run only a
	// few requests.
	Cold bool
	// Near reports whether the target is local, that is, in the data centre of this
	// instance.
	Near bool
	// Slots is the number of slots that the backend server announced.
	Slots int
	// Limit is the rate limit that the backend server names.
	Limit snipefront.RateLimit
}

// LogValue implements slog.LogValuer.
func (s Snapshot) LogValue() slog.Value {
	r := s.Report
	return slog.StringValue(fmt.Sprintf("age=%v running=%d waiting=%d slots=%d pace=%.2f sent=%d own=%d faults=%.2f cold=%v healthy=%v near=%v",
		s.At.Sub(r.At).Round(time.Millisecond), r.Running, r.Waiting, r.Slots, r.Pace, s.Sent, s.Running, s.Faults, s.Cold, r.Healthy, s.Near))
}

// Snapshot returns the snapshot of t at now.
func (t *Target) Snapshot(now time.Time) Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decayFaults(now)
	s := Snapshot{
		At: now, Report: t.report, Sent: t.sentSinceReport, Running: t.inFlight, Faults: t.faultShare,
		Cold: t.isCold(now), Near: t.Near, Slots: t.Server.Slots, Limit: t.quota.State().RateLimit,
	}
	if s.Limit.Named && now.Sub(t.report.At) > limitedReportLifetime {
		// The limit leaves no requests for load probes. It also bounds what others send, so
		// only the requests of this instance count.
		s.Report = Report{At: now, Healthy: true}
	}
	return s
}

// Available reports whether t may be chosen: no backoff after a failed attempt or probe
// is running, and t has not asked for a pause.
func (t *Target) Available(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.retryAt) && !t.isPaused(now)
}

// HeardAt returns when the last load probe was sent that t has answered, or the zero time.
func (t *Target) HeardAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report.At
}

// HeardSince reports whether t has answered a load probe that was sent after the given time.
func (t *Target) HeardSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report.At.After(at)
}

// observedState returns the state of t as this instance has observed it, regardless of
// the registration.
func (t *Target) observedState(now time.Time) status.State {
	s := t.Snapshot(now)
	switch {
	case t.PauseLeft(now) > 0:
		return status.Paused
	case !t.Available(now):
		return status.Unreachable
	case s.Cold:
		return status.Cold
	case s.Faults >= faultyThreshold:
		return status.Faulty
	case !s.Report.At.IsZero() && !s.Report.Healthy:
		return status.Unhealthy
	}
	return status.Ready
}

// CanWarmUp reports whether Reserve with the same rate, in requests per second, would
// admit a request to t if t were cold.
func (t *Target) CanWarmUp(now time.Time, rate float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.coldTokens.HasToken(now, rate, coldBurst)
}

// Reserve counts a request of the given priority as sent and reports whether t may receive
// it. It admits at most rate requests per second to a cold target, and no more than this
// instance's part of a rate limit.
func (t *Target) Reserve(now time.Time, rate float64, p Priority) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	cold := t.isCold(now)
	if t.isPaused(now) || cold && !t.coldTokens.HasToken(now, rate, coldBurst) || !t.quota.Take(now, t.urgency(p)) {
		return false
	}
	t.resumeSent = t.resuming
	if cold {
		t.coldTokens.Take(now, rate, coldBurst)
	}
	t.sentSinceReport++
	t.inFlight++
	return true
}

// Outcome is what the end of a request shows about its target.
type Outcome uint8

// Outcomes of requests.
const (
	// Answered means that the target ran the request and answered.
	Answered Outcome = iota
	// Faulty means that the target failed the request.
	Faulty
	// Unreachable means that the request could not be delivered to the target.
	Unreachable
	// Neutral shows nothing about the target's health: it had no capacity left, or
	// the caller canceled the request.
	Neutral
)

// Done records the end of a request that Reserve admitted.
func (t *Target) Done(now time.Time, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.decayFaults(now)
	t.resuming = t.resuming && (o == Neutral || o == Unreachable || now.Before(t.pausedUntil))
	t.resumeSent = false
	switch o {
	case Answered:
		t.faultShare *= 1 - faultWeight
		t.backoff = 0
	case Faulty:
		t.faultShare += faultWeight * (1 - t.faultShare)
	case Unreachable:
		t.backOff(now)
	case Neutral:
	}
}

// decayFaults lowers the fault share by the time since its last update. The caller must
// hold the lock.
func (t *Target) decayFaults(now time.Time) {
	if t.faultShare > 0 {
		t.faultShare *= math.Exp2(-float64(now.Sub(t.faultShareAt)) / float64(faultHalfLife))
	}
	t.faultShareAt = now
}

// backOff makes t unavailable for twice as long as the last time, within minBackoff
// and maxBackoff. The caller must hold the lock.
func (t *Target) backOff(now time.Time) {
	t.backoff = min(max(minBackoff, 2*t.backoff), maxBackoff)
	t.retryAt = now.Add(t.backoff)
}

func (t *Target) isCold(now time.Time) bool {
	return now.Before(t.coldUntil) || t.report.Cold > now.Sub(t.report.At)
}

// Refresh probes t unless its load report is fresh, it has asked for a pause, its rate limit leaves no request for
// a probe, or mayProbe, which is called just before a probe, returns false. Concurrent calls share one probe. Refresh returns when
// the probe has ended or ctx is done; ctx does not end the probe. It doesn't wait for a probe that is due while the
// report is fresh.
func (t *Target) Refresh(ctx context.Context, prober Prober, mayProbe func() bool) {
	t.mu.Lock()
	done := t.probing
	fresh := t.isFresh()
	if fresh && !t.isProbeDue() || time.Now().Before(t.pausedUntil) || done == nil && (!t.quota.AllowsProbe(time.Now()) || !mayProbe()) {
		t.mu.Unlock()
		return
	}
	if done == nil {
		done = make(chan struct{})
		t.probing = done
		t.quota.ChargeProbe(time.Now())
		go t.probe(prober, done)
	}
	t.mu.Unlock()
	if fresh {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// isFresh reports whether the load report is recent enough for a choice. The caller
// must hold the lock.
func (t *Target) isFresh() bool {
	age := time.Since(t.report.At)
	return age < reportLifetime || !t.report.Known && !t.report.At.IsZero() && age < noLoadLifetime
}

// isProbeDue reports whether this instance has sent its part of a warm-up since a report
// without load figures. Such a report is reused for long, and t may have become cold since.
// The caller must hold the lock.
func (t *Target) isProbeDue() bool {
	if t.report.Known || t.Profile.WarmUpRate <= 0 {
		return false
	}
	return float64(t.sentSinceReport*t.set.instances()) >= t.Profile.WarmUpRate
}

// probe probes t, records the result and closes done. An answer that names another
// backend server counts as a failure, since that one has taken the address of t.
func (t *Target) probe(prober Prober, done chan struct{}) {
	begun := time.Now()
	r, err := prober.Probe(t)
	r.Taken = time.Since(begun)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.probing = nil
	close(done)
	if errors.Is(err, ErrProbeTimeout) && !t.report.Known && !t.report.At.IsZero() {
		t.report.At = time.Now()
		return
	}
	if err != nil || r.Server != "" && r.Server != t.Server.Name {
		t.backOff(time.Now())
		return
	}
	t.report = r
	t.sentSinceReport = 0
	t.backoff = 0
	t.retryAt = time.Time{}
	t.HearLimit(r.At, r.Limit, quota.Probe)
	if r.Cold > minSharedCold && t.Server.ColdMillis == 0 && t.set.Sharer != nil {
		t.set.Sharer.ShareCold(t.Server, r.Cold)
	}
}
