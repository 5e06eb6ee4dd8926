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
	"github.com/snipefront/snipefront/internal/observe/status"
)

const (
	// lifetime is how long a report is good for, and untoldLifetime the same for one
	// without figures of the load, which tells only that the target is there.
	lifetime       = 30 * time.Millisecond
	untoldLifetime = time.Second
	// firstPause and maxPause are the times for which a backend server that could
	// not be reached is left alone. The pause doubles with each failure in a row.
	firstPause = 200 * time.Millisecond
	maxPause   = 2 * time.Second
	// faultWeight is the weight of one outcome in the share of faults.
	faultWeight = 0.25
	// faultHalfLife is the time in which half of the share of faults is forgotten,
	// since a target that is avoided for it gets no requests to prove itself with.
	faultHalfLife = 5 * time.Second
	// faultyShare is the share of faults from which a target is shown as faulty. A
	// single fault is less.
	faultyShare = 0.3
	// coldBurst is the most requests that a cold target gets at once.
	coldBurst = 1
)

// ErrSlow means that a look was not answered in time, over a connection that could
// be opened. It says little of a target whose health path waits for a slot, as it
// may where a service does not tell its load.
var ErrSlow = errors.New("look not answered in time")

// Target is a backend server as this instance sees it. It is never changed; a new
// registration makes a new Target of the same state.
type Target struct {
	// Server is as it was registered.
	Server fleet.Server
	// Profile is that of its service.
	Profile snipefront.Profile
	// Near is true where it is in the data centre of this instance.
	Near bool
	*state
}

// state is what is known of one incarnation of a backend server.
type state struct {
	mu sync.Mutex
	// coldUntil is when it is warm by what it registered.
	coldUntil time.Time
	report    Report
	// looking is closed when the look under way has ended. Nil is none.
	looking chan struct{}
	// sent counts the requests that this instance sent since the report, running
	// those that have not ended.
	sent    int
	running int
	// faults is the moving share of requests that failed, as of faded.
	faults float64
	faded  time.Time
	pause  time.Duration
	until  time.Time
	cold   bucket.Bucket
}

// Snapshot is what is known of a target at one instant.
type Snapshot struct {
	// At is that instant.
	At     time.Time
	Report Report
	// Sent counts the requests that this instance sent since the report.
	Sent int
	// Running counts the requests of this instance that have not ended.
	Running int
	// Faults is the share of requests that failed lately, 0 to 1.
	Faults float64
	// Cold is true where the backend server bears little yet.
	Cold bool
	Near bool
	// Slots is the announced number.
	Slots int
}

// LogValue implements slog.LogValuer.
func (s Snapshot) LogValue() slog.Value {
	r := s.Report
	return slog.StringValue(fmt.Sprintf("age=%v running=%d waiting=%d slots=%d pace=%.2f sent=%d own=%d faults=%.2f cold=%v healthy=%v near=%v",
		s.At.Sub(r.At).Round(time.Millisecond), r.Running, r.Waiting, r.Slots, r.Pace, s.Sent, s.Running, s.Faults, s.Cold, r.Healthy, s.Near))
}

// Snapshot returns what is known of t.
func (t *Target) Snapshot(now time.Time) Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fade(now)
	return Snapshot{
		At: now, Report: t.report, Sent: t.sent, Running: t.running, Faults: t.faults,
		Cold: t.isCold(now), Near: t.Near, Slots: t.Server.Slots,
	}
}

// Available returns whether t may be tried: it has not been out of reach lately.
func (t *Target) Available(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.until)
}

// condition returns the state of t by what was seen of it, whatever is registered.
func (t *Target) condition(now time.Time) status.State {
	s := t.Snapshot(now)
	switch {
	case !t.Available(now):
		return status.Unreachable
	case s.Cold:
		return status.Cold
	case s.Faults >= faultyShare:
		return status.Faulty
	case !s.Report.At.IsZero() && !s.Report.Healthy:
		return status.Unhealthy
	}
	return status.Ready
}

// CanWarmUp returns whether Reserve would take a request at a cold target.
func (t *Target) CanWarmUp(now time.Time, rate float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cold.Has(now, rate, coldBurst)
}

// Reserve counts a request as sent, and returns false where t is cold and has had
// all that it bears.
func (t *Target) Reserve(now time.Time, rate float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isCold(now) && !t.cold.Take(now, rate, coldBurst) {
		return false
	}
	t.sent++
	t.running++
	return true
}

// Outcome is what became of a request at a target.
type Outcome uint8

// The outcomes.
const (
	// Answered is an answer that the target made by running the request.
	Answered Outcome = iota
	// Faulty is a failure that is the target's.
	Faulty
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Neutral says nothing of the target: it had no room, or the caller left.
	Neutral
)

// Done counts the end of a request.
func (t *Target) Done(now time.Time, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.fade(now)
	switch o {
	case Answered:
		t.faults *= 1 - faultWeight
		t.pause = 0
	case Faulty:
		t.faults += faultWeight * (1 - t.faults)
	case Unreachable:
		t.miss(now)
	case Neutral:
	}
}

// fade forgets faults by their age. The lock is held.
func (t *Target) fade(now time.Time) {
	if t.faults > 0 {
		t.faults *= math.Exp2(-float64(now.Sub(t.faded)) / float64(faultHalfLife))
	}
	t.faded = now
}

// miss leaves t alone for a while. The lock is held.
func (t *Target) miss(now time.Time) {
	t.pause = min(max(firstPause, 2*t.pause), maxPause)
	t.until = now.Add(t.pause)
}

func (t *Target) isCold(now time.Time) bool {
	return now.Before(t.coldUntil) || t.report.Cold > now.Sub(t.report.At)
}

// Refresh asks t for its load unless a report is fresh. It returns once there is an
// answer or ctx ends.
func (t *Target) Refresh(ctx context.Context, asker Prober) {
	t.mu.Lock()
	if t.isFresh() {
		t.mu.Unlock()
		return
	}
	under := t.looking
	if under == nil {
		under = make(chan struct{})
		t.looking = under
		go t.ask(asker, under)
	}
	t.mu.Unlock()
	select {
	case <-under:
	case <-ctx.Done():
	}
}

// isFresh returns whether the report is good. The lock is held.
func (t *Target) isFresh() bool {
	age := time.Since(t.report.At)
	return age < lifetime || !t.report.Known && !t.report.At.IsZero() && age < untoldLifetime
}

// ask asks for the load and closes ended.
func (t *Target) ask(asker Prober, ended chan struct{}) {
	r, err := asker.Probe(t)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.looking = nil
	close(ended)
	if errors.Is(err, ErrSlow) && !t.report.Known && !t.report.At.IsZero() {
		t.report.At = time.Now()
		return
	}
	if err != nil || r.Server != "" && r.Server != t.Server.Name {
		t.miss(time.Now())
		return
	}
	t.report = r
	t.sent = 0
	t.pause = 0
	t.until = time.Time{}
}
