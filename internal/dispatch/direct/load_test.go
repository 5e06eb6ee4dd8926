package direct_test

import (
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/stand/model"
)

var (
	statusBehaviour = model.Behaviour{
		Slots: 2, Queue: 4, Work: 120 * time.Millisecond, Spread: 0.3, SlowShare: 0.35, SlowFactor: 4,
		Period: 300 * time.Millisecond, FullShare: 0.8, FullFactor: 1.7, Delay: 4 * time.Millisecond, ColdRate: 4,
	}
	statusCallers = callerKind{
		route: "status", goal: 300 * time.Millisecond, timeout: 800 * time.Millisecond, deadline: 1500 * time.Millisecond, retries: 1, idempotent: true,
	}
)

// statusPattern returns a load of the given phases on the status service.
func statusPattern(phases ...phase) pattern {
	return pattern{behaviour: statusBehaviour, callers: []callerKind{statusCallers}, phases: phases}
}

// checkInGoal checks that at least the share want of the requests are answered
// within their latency goal.
func checkInGoal(t *testing.T, r result, want float64) {
	t.Helper()
	if share := r.share(r.inGoal); share < want {
		t.Errorf("%.2f of the requests are answered within the goal, want %.2f at least", share, want)
	}
}

// checkAtMost checks that a share of the requests is at most want.
func checkAtMost(t *testing.T, share, want float64, what string) {
	t.Helper()
	if share > want {
		t.Errorf("%.2f of the requests are %s, want %.2f at most", share, what, want)
	}
}

// TestLowLoadMeetsLatencyGoal runs at a third of the capacity. It guards against
// requests that miss their latency goal or are refused although slots are free.
func TestLowLoadMeetsLatencyGoal(t *testing.T) {
	r := statusPattern(phase{10 * time.Second, 33}).run(t)
	checkInGoal(t, r, 0.95)
}

// TestHalfOfAnswersMeetGoalInOverload runs steadily at about twice the capacity. It
// guards against queueing so much that all answers miss the latency goal: of the
// requests that are answered, half must meet it.
func TestHalfOfAnswersMeetGoalInOverload(t *testing.T) {
	r := statusPattern(phase{6 * time.Second, 150}).run(t)
	if share := float64(r.inGoal) / float64(r.inGoal+r.late); share < 0.5 {
		t.Errorf("%.2f of the answers are within the goal, want half", share)
	}
	checkAtMost(t, r.share(r.failed), 0.02, "failed without an answer")
}

// TestNearlyHalfMeetGoalInBurst runs some seconds at about one and a half times the
// capacity between phases of low load. It guards against a burst that makes most
// requests miss their latency goal.
func TestNearlyHalfMeetGoalInBurst(t *testing.T) {
	r := statusPattern(phase{2 * time.Second, 33}, phase{4 * time.Second, 110}, phase{2 * time.Second, 33}).run(t)
	checkInGoal(t, r, 0.45)
}

// TestSheddingWithFreeSlots has backend servers refuse 45 requests in 100 though
// hardly any are running. Such refusals do not depend on the load, so callers may
// resend soon; a long Retry-After would make them miss the latency goal.
func TestSheddingWithFreeSlots(t *testing.T) {
	p := statusPattern(phase{10 * time.Second, 20})
	p.behaviour.ShedShare = 0.45
	r := p.run(t)
	checkInGoal(t, r, 0.8)
}

// TestFewRefusalsNearCapacity runs steadily near the capacity while a third of the
// backend servers are slow. It guards against refusing a request that can't meet its
// latency goal any more although a slot is free, since its caller would resend it even
// later. The share varies from run to run with the slow backend servers, so that it needs
// many runs.
func TestFewRefusalsNearCapacity(t *testing.T) {
	p := statusPattern(phase{10 * time.Second, 57})
	p.runs = 24
	r := p.run(t)
	checkAtMost(t, r.share(r.refused), 0.03, "refused")
	checkInGoal(t, r, 0.8)
}

// TestLostDataCentreFailsFewRequests lets the backend servers and instances of one
// data centre become unreachable at the same time, under a load within the capacity of
// the others. It guards against attempts at the lost backend servers that fail
// requests or make them miss their latency goal.
func TestLostDataCentreFailsFewRequests(t *testing.T) {
	p := statusPattern(phase{10 * time.Second, 33})
	p.events = func(s *simulation) {
		s.after(3*time.Second, func() {
			s.loseDataCentre("dc0")
			s.setCondition(model.Condition{Dead: true}, func(i int) bool { return i%dataCentres == 0 })
		})
	}
	r := p.run(t)
	checkInGoal(t, r, 0.9)
	checkAtMost(t, r.share(r.failed), 0.02, "failed without an answer")
}

// TestColdRestartIsNotOverloaded restarts all backend servers at the same time, which
// have little capacity for three seconds. It guards against overloading them while
// they are cold, and checks that the load is served again once they are warm.
func TestColdRestartIsNotOverloaded(t *testing.T) {
	p := statusPattern(phase{10 * time.Second, 33})
	p.events = func(s *simulation) {
		s.after(2*time.Second, func() {
			s.setCondition(model.Condition{ColdUntil: time.Now().Add(3 * time.Second)}, func(int) bool { return true })
		})
	}
	r := p.run(t)
	if r.maxColdRate > 5 {
		t.Errorf("a cold server received %d requests within a second, its warm-up rate is 4", r.maxColdRate)
	}
	checkInGoal(t, r, 0.7)
}

// TestGoalMetDespiteUnreportedSlowness lets a third of the backend servers take six
// times as long as they report. Only their answers show it. It guards against trusting
// the load reports alone, by which the slow backend servers seem to be as good as the
// others.
func TestGoalMetDespiteUnreportedSlowness(t *testing.T) {
	p := statusPattern(phase{10 * time.Second, 25})
	p.events = func(s *simulation) {
		s.after(2*time.Second, func() { s.setCondition(model.Condition{Drag: 6}, func(i int) bool { return i%3 == 0 }) })
	}
	r := p.run(t)
	checkInGoal(t, r, 0.8)
}

// TestThirdFailing lets a third of the backend servers fail half of their requests
// while they report themselves healthy. Only their answers show such a gray failure. It
// guards against sending such backend servers as many requests as the others.
func TestThirdFailing(t *testing.T) {
	p := statusPattern(phase{10 * time.Second, 25})
	p.events = func(s *simulation) {
		s.after(2*time.Second, func() { s.setCondition(model.Condition{FaultShare: 0.5}, func(i int) bool { return i%3 == 0 }) })
	}
	r := p.run(t)
	checkAtMost(t, r.share(r.failed), 0.02, "failed")
	checkInGoal(t, r, 0.85)
}

// TestFalselyUnhealthy lets a third of the backend servers report themselves
// unhealthy though they serve as well as before. It guards against excluding them,
// since the load needs all.
func TestFalselyUnhealthy(t *testing.T) {
	p := statusPattern(phase{10 * time.Second, 33})
	p.events = func(s *simulation) {
		s.after(2*time.Second, func() { s.setCondition(model.Condition{Unhealthy: true}, func(i int) bool { return i%3 == 0 }) })
	}
	r := p.run(t)
	checkInGoal(t, r, 0.9)
}

// TestImpatientCallers runs at about one and a half times the capacity while a third
// of the callers resend immediately, up to four times. It guards against resends
// that take the capacity from the other callers. The share varies from run to run, so that
// it needs many runs.
func TestImpatientCallers(t *testing.T) {
	p := statusPattern(phase{6 * time.Second, 60})
	impatient := statusCallers
	impatient.impatient, impatient.retries = true, 4
	p.runs = 24
	p.callers[0].share = 2
	p.callers = append(p.callers, impatient)
	r := p.run(t)
	checkInGoal(t, r, 0.75)
	checkAtMost(t, r.share(r.retries), 0.2, "retried by the instances")
}

// TestProbesOfAllInstancesInOverload runs steadily at about three times the capacity, so
// that requests wait and choose again and again. It guards against load probes that each
// instance sends without regard to the others, more of them the more instances there are.
func TestProbesOfAllInstancesInOverload(t *testing.T) {
	const length = 8 * time.Second
	r := statusPattern(phase{length, 250}).run(t)
	most := probeRate * runs * serverCount * length.Seconds()
	if float64(r.probes) > most {
		t.Errorf("%d load probes, want %.0f at most", r.probes, most)
	}
	if share := float64(r.inGoal) / float64(r.inGoal+r.late); share < 0.5 {
		t.Errorf("%.2f of the answers are within the goal, want half", share)
	}
}

// TestLongAndShortRequestsMeetTheirGoals mixes work of 300 ms with work of 60 ms at
// the same backend servers, each with a latency goal of its own. It guards against
// estimates of one that depend on the other.
func TestLongAndShortRequestsMeetTheirGoals(t *testing.T) {
	p := statusPattern(phase{10 * time.Second, 25})
	p.behaviour.RouteWork = map[string]time.Duration{"long": 300 * time.Millisecond, "short": 60 * time.Millisecond}
	p.callers = []callerKind{
		{route: "short", share: 3, goal: 200 * time.Millisecond, timeout: 500 * time.Millisecond, deadline: time.Second, retries: 1, idempotent: true},
		{route: "long", share: 1, goal: 800 * time.Millisecond, timeout: 1500 * time.Millisecond, deadline: 3 * time.Second, retries: 1, idempotent: true},
	}
	r := p.run(t)
	checkInGoal(t, r, 0.9)
}
