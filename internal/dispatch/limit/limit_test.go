package limit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipefront/snipefront/internal/dispatch/limit"
)

const (
	warmUp = time.Second
	work   = 5 * time.Millisecond
)

var start = time.Unix(1000, 0)

// clock drives a limiter through requests one after another.
type clock struct {
	limit.Limiter
	now time.Time
}

// warmed returns a limiter of cold limit 1 that has grown to its ceiling of 4.
func warmed() *clock {
	c := &clock{Limiter: limit.Limiter{Cold: 1, Ceiling: 4, WarmUp: warmUp}, now: start}
	c.Reset(c.now)
	c.now = c.now.Add(warmUp)
	c.answers(100)
	return c
}

// answers lets n requests be answered, each the last that the limit admits.
func (c *clock) answers(n int) {
	for range n {
		a := limit.Attempt{Taken: c.now, Position: c.Limit()}
		c.now = c.now.Add(work)
		c.Answered(c.now, a)
	}
}

func TestUnannouncedColdStartMetWithinTwoRequests(t *testing.T) {
	c := warmed()
	if c.Limit() != 4 {
		t.Fatalf("limit %d when warm, want 4", c.Limit())
	}
	c.Troubled(c.now)
	if c.Limit() != 1 {
		t.Errorf("limit %d after one refusal, want the cold limit 1", c.Limit())
	}
	c.Answered(c.now.Add(work), limit.Attempt{Taken: c.now, Position: 1})
	c.Answered(c.now.Add(work), limit.Attempt{Taken: c.now.Add(-work), Position: 4})
	c.now = c.now.Add(work)
	c.Troubled(c.now)
	for c.now.Before(start.Add(warmUp)) {
		c.answers(1)
		if c.Limit() != 1 {
			t.Fatalf("limit %d in the second warm-up, want 1", c.Limit())
		}
	}
	if !c.IsCold(c.now) {
		t.Error("the second refusal began no warm-up")
	}
}

func TestAnswerBeyondColdLimitEndsDoubt(t *testing.T) {
	c := warmed()
	c.Troubled(c.now)
	c.answers(20)
	c.Troubled(c.now)
	if c.IsCold(c.now) {
		t.Error("a refusal long after another began a warm-up")
	}
	c.answers(20)
	if c.Limit() != 4 {
		t.Errorf("limit %d after 20 answers, want 4", c.Limit())
	}
}

func TestSlowAnswersInARowHalveLimit(t *testing.T) {
	c := warmed()
	late := limit.Attempt{Taken: c.now.Add(-time.Second), Position: 1}
	c.Answered(c.now, late)
	if c.Limit() != 4 {
		t.Errorf("limit %d after one slow answer, want 4", c.Limit())
	}
	c.Late(c.now, time.Second)
	if c.Limit() != 2 {
		t.Errorf("limit %d after two slow attempts, want 2", c.Limit())
	}
}

func TestFailuresInARowSuspend(t *testing.T) {
	c := warmed()
	trials := 0
	for end := c.now.Add(10 * time.Second); c.now.Before(end); c.now = c.now.Add(time.Millisecond) {
		if !c.Suspended(c.now) {
			c.Failed(c.now)
			trials++
		}
	}
	if trials > 20 {
		t.Errorf("%d requests in 10 s at a backend server that fails all", trials)
	}
	c.answers(1)
	if c.Suspended(c.now) {
		t.Error("suspended after an answer")
	}
}

// TestLimitBounds checks after any events that the limit keeps to its bounds.
func TestLimitBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limit.Limiter{
			Cold:    rapid.IntRange(1, 4).Draw(t, "cold"),
			Ceiling: rapid.IntRange(4, 9).Draw(t, "ceiling"),
			WarmUp:  warmUp,
		}
		now := start
		l.Reset(now)
		began := now
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			held := time.Duration(rapid.IntRange(1, 500).Draw(t, "held")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				l.Troubled(now)
			case 1:
				l.Failed(now)
			case 2:
				l.Late(now, held)
			case 3:
				l.Reset(now)
				began = now
			default:
				p := rapid.IntRange(1, l.Limit()).Draw(t, "position")
				l.Answered(now, limit.Attempt{Taken: now.Add(-held), Position: p})
			}
			if n := l.Limit(); n < l.Cold || n > l.Ceiling {
				t.Fatalf("limit %d outside of %d to %d", n, l.Cold, l.Ceiling)
			}
			if n := l.Limit(); now.Before(began.Add(warmUp)) && n != l.Cold {
				t.Fatalf("limit %d during the warm-up, want %d", n, l.Cold)
			}
		}
	})
}

func TestAnsweredProbeEndsSuspension(t *testing.T) {
	now := time.Now()
	l := limit.Limiter{Cold: 1, Ceiling: 4}
	l.Reset(now)
	for range 9 {
		l.Failed(now)
	}
	if !l.Suspended(now) || !l.Failing() {
		t.Fatal("nine failures in a row suspend nothing")
	}
	l.Revive()
	if l.Suspended(now) || l.Failing() {
		t.Error("suspended after an answered probe")
	}
}
