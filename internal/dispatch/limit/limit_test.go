package limit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipefront/snipefront/internal/dispatch/limit"
)

const (
	warmUp = time.Second
	// work is the time that a request takes.
	work = 5 * time.Millisecond
)

var start = time.Unix(1000, 0)

// sequence runs requests against a limiter, one after another.
type sequence struct {
	limit.Limiter
	now time.Time
}

// newWarm returns a limiter with a cold limit of 1 whose limit has grown to its
// ceiling of 4.
func newWarm() *sequence {
	s := &sequence{Limiter: limit.Limiter{Cold: 1, Ceiling: 4, WarmUp: warmUp}, now: start}
	s.Reset(s.now)
	s.now = s.now.Add(warmUp)
	s.answerNext(100)
	return s
}

// answerNext records n answered requests, each of which took the last free slot.
func (s *sequence) answerNext(n int) {
	for range n {
		a := limit.Attempt{Taken: s.now, Position: s.Limit()}
		s.now = s.now.Add(work)
		s.Answered(s.now, a)
	}
}

// TestUnannouncedColdStartDetectedWithinTwoRequests restarts a backend server without
// an announcement: it refuses two attempts, and between them answers one request
// within its cold limit and one that it was given before the first refusal. The
// warm-up must start again, or the limit would grow while the backend server is cold.
func TestUnannouncedColdStartDetectedWithinTwoRequests(t *testing.T) {
	s := newWarm()
	if s.Limit() != 4 {
		t.Fatalf("limit %d when warm, want 4", s.Limit())
	}
	s.Dropped(s.now)
	if s.Limit() != 1 {
		t.Errorf("limit %d after one refusal, want the cold limit 1", s.Limit())
	}
	s.Answered(s.now.Add(work), limit.Attempt{Taken: s.now, Position: 1})
	s.Answered(s.now.Add(work), limit.Attempt{Taken: s.now.Add(-work), Position: 4})
	s.now = s.now.Add(work)
	s.Dropped(s.now)
	for s.now.Before(start.Add(warmUp)) {
		s.answerNext(1)
		if s.Limit() != 1 {
			t.Fatalf("limit %d in the second warm-up, want 1", s.Limit())
		}
	}
	if !s.IsCold(s.now) {
		t.Error("the second refusal started no warm-up")
	}
}

// TestAnswerBeyondColdLimitRulesOutColdStart guards against a needless warm-up: two
// refusals with answers beyond the cold limit between them are no cold start.
func TestAnswerBeyondColdLimitRulesOutColdStart(t *testing.T) {
	s := newWarm()
	s.Dropped(s.now)
	s.answerNext(20)
	s.Dropped(s.now)
	if s.IsCold(s.now) {
		t.Error("a refusal long after another started a warm-up")
	}
	s.answerNext(20)
	if s.Limit() != 4 {
		t.Errorf("limit %d after 20 answers, want 4", s.Limit())
	}
}

// TestSlowAnswersInARowHalveLimit guards against keeping the limit of a backend server
// that has become slow, and against lowering it for a single slow answer. An attempt that
// is canceled after a long time counts like a slow answer.
func TestSlowAnswersInARowHalveLimit(t *testing.T) {
	s := newWarm()
	slow := limit.Attempt{Taken: s.now.Add(-time.Second), Position: 1}
	s.Answered(s.now, slow)
	if s.Limit() != 4 {
		t.Errorf("limit %d after one slow answer, want 4", s.Limit())
	}
	s.Unanswered(s.now, time.Second)
	if s.Limit() != 2 {
		t.Errorf("limit %d after two slow attempts, want 2", s.Limit())
	}
}

// TestFailuresInARowSuspend guards against a backend server that fails immediately and
// so, with its slots always free, attracts most requests.
func TestFailuresInARowSuspend(t *testing.T) {
	s := newWarm()
	trials := 0
	for end := s.now.Add(10 * time.Second); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		if !s.Suspended(s.now) {
			s.Failed(s.now)
			trials++
		}
	}
	if trials > 20 {
		t.Errorf("%d requests in 10s sent to a backend server that fails all of them, want at most 20", trials)
	}
	s.answerNext(1)
	if s.Suspended(s.now) {
		t.Error("still suspended after an answer")
	}
}

// TestLimitBounds checks, after each of a random sequence of events, that the limit is
// between the cold limit and the ceiling, and at the cold limit during the warm-up.
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
			elapsed := time.Duration(rapid.IntRange(1, 500).Draw(t, "held")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				l.Dropped(now)
			case 1:
				l.Failed(now)
			case 2:
				l.Unanswered(now, elapsed)
			case 3:
				l.Reset(now)
				began = now
			default:
				p := rapid.IntRange(1, l.Limit()).Draw(t, "position")
				l.Answered(now, limit.Attempt{Taken: now.Add(-elapsed), Position: p})
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

// TestAnsweredProbeEndsSuspension guards against a backend server that stays suspended
// although it answers probes again: Resume must clear its failures.
func TestAnsweredProbeEndsSuspension(t *testing.T) {
	now := time.Now()
	l := limit.Limiter{Cold: 1, Ceiling: 4}
	l.Reset(now)
	for range 9 {
		l.Failed(now)
	}
	if !l.Suspended(now) || !l.Failing() {
		t.Fatal("not suspended after nine consecutive failures")
	}
	l.Resume()
	if l.Suspended(now) || l.Failing() {
		t.Error("still suspended after an answered probe")
	}
}
