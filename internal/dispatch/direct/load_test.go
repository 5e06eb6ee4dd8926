package direct_test

import (
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/stand/model"
)

var (
	statusKind = model.Kind{
		Slots: 2, Queue: 4, Work: 120 * time.Millisecond, Spread: 0.3, SlowShare: 0.35, SlowFactor: 4,
		Period: 300 * time.Millisecond, FullShare: 0.8, FullFactor: 1.7, Delay: 4 * time.Millisecond, ColdRate: 4,
	}
	statusCallers = callers{
		route: "status", goal: 300 * time.Millisecond, timeout: 800 * time.Millisecond, deadline: 1500 * time.Millisecond, retries: 1, idempotent: true,
	}
)

// status is a pattern of status lookups.
func status(phases ...phase) pattern {
	return pattern{kind: statusKind, callers: []callers{statusCallers}, phases: phases}
}

// inGoal checks the share of the requests that are answered within their goal.
func inGoal(t *testing.T, r result, want float64) {
	t.Helper()
	if share := r.in(r.inGoal); share < want {
		t.Errorf("%.2f of the requests are answered within the goal, want %.2f at least", share, want)
	}
}

// atMost checks a share of the requests.
func atMost(t *testing.T, share, want float64, what string) {
	t.Helper()
	if share > want {
		t.Errorf("%.2f of the requests are %s, want %.2f at most", share, what, want)
	}
}

// TestCalmLoad is the pattern "calm": a third of what the servers bear.
func TestCalmLoad(t *testing.T) {
	r := status(phase{10 * time.Second, 33}).play(t)
	inGoal(t, r, 0.95)
}

// TestOverload is the pattern "overload": steadily about twice what the servers bear.
// Those requests that are answered have to be in time, rather than all late.
func TestOverload(t *testing.T) {
	r := status(phase{6 * time.Second, 150}).play(t)
	if share := float64(r.inGoal) / float64(r.inGoal+r.late); share < 0.5 {
		t.Errorf("%.2f of the answers are within the goal, want half", share)
	}
	atMost(t, r.in(r.failed), 0.02, "failed without an answer")
}

// TestBurst is the pattern "burst": for some seconds about one and a half times what
// the servers bear, between times of calm.
func TestBurst(t *testing.T) {
	r := status(phase{2 * time.Second, 33}, phase{4 * time.Second, 110}, phase{2 * time.Second, 33}).play(t)
	inGoal(t, r, 0.45)
}

// TestSheddingWithRoom is the pattern "shedding with room": backend servers refuse 45
// requests in 100, though hardly any are under way. Since the refusals say nothing
// of the load, callers that are refused in the end can come back at once.
func TestSheddingWithRoom(t *testing.T) {
	p := status(phase{10 * time.Second, 20})
	p.kind.ShedShare = 0.45
	r := p.play(t)
	inGoal(t, r, 0.8)
}

// TestBusy is the pattern "busy": steadily nearly what the servers bear while a third
// of them are slow. A request that can't be in time any more gets a slot that is
// free, rather than a refusal after which it comes back still later.
func TestBusy(t *testing.T) {
	r := status(phase{10 * time.Second, 57}).play(t)
	atMost(t, r.in(r.refused), 0.03, "refused")
	inGoal(t, r, 0.8)
}

// TestDataCentreLost is the pattern "data centre lost": its servers and instances
// fall silent at once, under a load that the others bear.
func TestDataCentreLost(t *testing.T) {
	p := status(phase{10 * time.Second, 33})
	p.happen = func(s *site) {
		s.at(3*time.Second, func() {
			s.lose("dc0")
			s.set(model.Condition{Dead: true}, func(i int) bool { return i%dataCentres == 0 })
		})
	}
	r := p.play(t)
	inGoal(t, r, 0.9)
	atMost(t, r.in(r.failed), 0.02, "failed without an answer")
}

// TestColdAfterAnOutage is the pattern "cold after an outage": all servers start anew
// at once and bear few requests for three seconds. None gets more than it bears, and
// the load is served again once they are warm.
func TestColdAfterAnOutage(t *testing.T) {
	p := status(phase{10 * time.Second, 33})
	p.happen = func(s *site) {
		s.at(2*time.Second, func() {
			s.set(model.Condition{ColdUntil: time.Now().Add(3 * time.Second)}, func(int) bool { return true })
		})
	}
	r := p.play(t)
	if r.coldMost > 5 {
		t.Errorf("a cold server got %d requests within a second, and bears 4", r.coldMost)
	}
	inGoal(t, r, 0.7)
}

// TestThirdSlow is the pattern "a third slow": servers take six times as long as their
// reports say.
func TestThirdSlow(t *testing.T) {
	p := status(phase{10 * time.Second, 25})
	p.happen = func(s *site) {
		s.at(2*time.Second, func() { s.set(model.Condition{Drag: 6}, func(i int) bool { return i%3 == 0 }) })
	}
	r := p.play(t)
	inGoal(t, r, 0.8)
}

// TestThirdGrey is the pattern "a third grey": servers fail half of their requests
// while all that they say of themselves is good.
func TestThirdGrey(t *testing.T) {
	p := status(phase{10 * time.Second, 25})
	p.happen = func(s *site) {
		s.at(2*time.Second, func() { s.set(model.Condition{FaultShare: 0.5}, func(i int) bool { return i%3 == 0 }) })
	}
	r := p.play(t)
	atMost(t, r.in(r.failed), 0.02, "failed")
	inGoal(t, r, 0.85)
}

// TestFalseHealth is the pattern "false health": a third of the servers say that they
// are ill and are not, which leaves the load to be served by all the same.
func TestFalseHealth(t *testing.T) {
	p := status(phase{10 * time.Second, 33})
	p.happen = func(s *site) {
		s.at(2*time.Second, func() { s.set(model.Condition{Ill: true}, func(i int) bool { return i%3 == 0 }) })
	}
	r := p.play(t)
	inGoal(t, r, 0.9)
}

// TestHastyCallers is the pattern "hasty callers": at one and a half times what the
// servers bear, a third of the callers come back at once and up to four times. The
// others are served as without them.
func TestHastyCallers(t *testing.T) {
	p := status(phase{6 * time.Second, 60})
	hasty := statusCallers
	hasty.hasty, hasty.retries = true, 4
	p.callers[0].share = 2
	p.callers = append(p.callers, hasty)
	r := p.play(t)
	inGoal(t, r, 0.75)
	atMost(t, r.in(r.repeats), 0.2, "repeated by the instances")
}

// TestLongAndShort is the pattern "long and short": work of 300 ms beside work of
// 60 ms at the same servers, each with a goal of its own.
func TestLongAndShort(t *testing.T) {
	p := status(phase{10 * time.Second, 25})
	p.kind.RouteWork = map[string]time.Duration{"long": 300 * time.Millisecond, "short": 60 * time.Millisecond}
	p.callers = []callers{
		{route: "short", share: 3, goal: 200 * time.Millisecond, timeout: 500 * time.Millisecond, deadline: time.Second, retries: 1, idempotent: true},
		{route: "long", share: 1, goal: 800 * time.Millisecond, timeout: 1500 * time.Millisecond, deadline: 3 * time.Second, retries: 1, idempotent: true},
	}
	r := p.play(t)
	inGoal(t, r, 0.9)
}
