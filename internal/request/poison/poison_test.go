package poison_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipefront/snipefront/internal/request/poison"
)

// sharer merges records into another register.
type sharer struct{ to *poison.Register }

func (s sharer) Share(r poison.Record) { s.to.Merge(start.Add(time.Millisecond), []poison.Record{r}) }

var start = time.Unix(1000, 0)

// goodAnswer is an answer to a request that has run to its end.
var goodAnswer = poison.Answer{Server: server("good", 1), Status: 200, Signed: true}

func server(name string, incarnation uint64) poison.Server {
	return poison.Server{Service: "balance", DataCentre: "d", Name: name, Incarnation: incarnation}
}

func expectAdmission(t *testing.T, g *poison.Register, now time.Time, f uint64, want poison.Admission) {
	t.Helper()
	if got, _ := g.Admit(now, f); got != want {
		t.Errorf("request %d is admitted as %d, want %d", f, got, want)
	}
}

// TestSecondCrashQuarantinesOnlyCommonRequest guards against a quarantine of requests
// that were in flight on one crashed backend server only. Three requests are in flight
// on the first that crashes, and one of them with two new ones on the second.
func TestSecondCrashQuarantinesOnlyCommonRequest(t *testing.T) {
	var g, other poison.Register
	g.Spread = sharer{&other}
	for f := range uint64(3) {
		g.ConnectionBroke(start, f, server("a", 1))
		expectAdmission(t, &g, start, f, poison.Clear)
	}
	g.Crashed(start, server("a", 1))
	for f := range uint64(3) {
		expectAdmission(t, &g, start, f, poison.Alone)
	}
	g.Answered(start, 1, goodAnswer)
	expectAdmission(t, &g, start, 1, poison.Clear)
	for _, f := range []uint64{0, 3, 4} {
		g.ConnectionBroke(start, f, server("b", 1))
	}
	g.Crashed(start, server("b", 1))
	for f, want := range []poison.Admission{poison.Quarantined, poison.Clear, poison.Alone, poison.Alone, poison.Alone} {
		expectAdmission(t, &g, start, uint64(f), want)
	}
	expectAdmission(t, &g, start, 0, poison.Quarantined)
	expectAdmission(t, &other, start, 0, poison.Quarantined)
	_, left := g.Admit(start, 0)
	expectAdmission(t, &g, start.Add(left-1), 0, poison.Quarantined)
	expectAdmission(t, &g, start.Add(left), 0, poison.Clear)
}

// TestAnswerReleasesEverywhere guards against a harmless request that stays quarantined,
// here or at another instance, though a copy of it that was in flight has been answered.
func TestAnswerReleasesEverywhere(t *testing.T) {
	g, other := quarantined(start), quarantined(start)
	g.Spread = sharer{other}
	g.Answered(start, 1, goodAnswer)
	expectAdmission(t, g, start, 1, poison.Clear)
	expectAdmission(t, other, start, 1, poison.Clear)
}

// TestNewIncarnationCountsAsCrash guards against crashes that go unnoticed since the
// backend server restarts before a connection to it is refused.
func TestNewIncarnationCountsAsCrash(t *testing.T) {
	var g poison.Register
	g.ConnectionBroke(start, 1, server("a", 1))
	g.Alive(start, server("a", 1))
	expectAdmission(t, &g, start, 1, poison.Clear)
	g.Alive(start, server("a", 2))
	expectAdmission(t, &g, start, 1, poison.Alone)
	g.ConnectionBroke(start, 1, server("a", 2))
	g.Alive(start, server("a", 3))
	expectAdmission(t, &g, start, 1, poison.Quarantined)
}

// TestOneCrashNeverQuarantines guards against a crash that is counted twice, since it
// is reported repeatedly or shared back and forth between two instances.
func TestOneCrashNeverQuarantines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g, other poison.Register
		g.Spread = sharer{&other}
		other.Spread = sharer{&g}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			r := &g
			if rapid.Bool().Draw(t, "other") {
				r = &other
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				r.ConnectionBroke(start, 1, server("a", 1))
			case 1:
				r.Crashed(start, server("a", 1))
			case 2:
				r.Alive(start, server("a", 2))
			default:
				g.Merge(start, other.Records(start))
			}
			if a, _ := r.Admit(start, 1); a == poison.Quarantined {
				t.Fatal("one crash quarantined the request")
			}
		}
	})
}

// TestMergedCrashesQuarantine guards against crashes that two instances record, one
// each, and that don't add up to a quarantine of full length when the records are
// merged. A quarantine that is merged must not last longer than it would have.
func TestMergedCrashesQuarantine(t *testing.T) {
	var g, other poison.Register
	for r, s := range map[*poison.Register]poison.Server{&g: server("a", 1), &other: server("b", 1)} {
		r.ConnectionBroke(start, 1, s)
		r.Crashed(start, s)
	}
	g.Merge(start, other.Records(start))
	_, want := quarantined(start).Admit(start, 1)
	if a, left := g.Admit(start, 1); a != poison.Quarantined || left != want {
		t.Errorf("admission %d for %v, want a quarantine for %v", a, left, want)
	}
	later := start.Add(want / 2)
	other.Merge(later, g.Records(later))
	if _, left := other.Admit(later, 1); left != want/2 {
		t.Errorf("a merged quarantine that began before lasts for %v more, want %v", left, want/2)
	}
}

// quarantined returns a register that has quarantined request 1.
func quarantined(now time.Time) *poison.Register {
	g := &poison.Register{}
	for _, s := range []poison.Server{server("a", 1), server("b", 1)} {
		g.ConnectionBroke(now, 1, s)
		g.Crashed(now, s)
	}
	return g
}

// TestOutageQuarantinesNoAnsweredRequest guards against a popular request that is
// quarantined because it was in flight on many backend servers that crashed together,
// though others answer it at the same time: just before, or at another instance.
func TestOutageQuarantinesNoAnsweredRequest(t *testing.T) {
	for name, answered := range map[string]time.Duration{"before": -500 * time.Millisecond, "after": 60 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			var g, other poison.Register
			g.Spread, other.Spread = sharer{&other}, sharer{&g}
			if answered < 0 {
				other.Answered(start.Add(answered), 7, goodAnswer)
			}
			crashMany(&g, 7)
			if answered > 0 {
				other.Answered(start.Add(answered), 7, goodAnswer)
			}
			expectAdmission(t, &g, start.Add(time.Second), 7, poison.Clear)
			expectAdmission(t, &other, start.Add(time.Second), 7, poison.Clear)
		})
	}
}

// TestOtherCrashesLiftNoQuarantine guards against a request that crashes each backend
// server that runs it, and is admitted again since others crash at the same time: it is
// one of several, or runs through several instances at once.
func TestOtherCrashesLiftNoQuarantine(t *testing.T) {
	var g, other poison.Register
	g.Spread, other.Spread = sharer{&other}, sharer{&g}
	crashMany(&g, 7)
	expectAdmission(t, &g, start.Add(time.Second), 7, poison.Quarantined)
	for f := range uint64(5) {
		crashMany(&g, f)
	}
	expectAdmission(t, &g, start.Add(time.Second), 7, poison.Quarantined)
	expectAdmission(t, &other, start.Add(time.Second), 7, poison.Quarantined)
}

// crashMany records that five backend servers crash within 50 ms while the request f is in
// flight on each.
func crashMany(g *poison.Register, f uint64) {
	for i, n := range []string{"a", "b", "c", "d", "e"} {
		at := start.Add(time.Duration(i) * 10 * time.Millisecond)
		g.ConnectionBroke(at, f, server(n, 1+f))
		g.Crashed(at, server(n, 1+f))
	}
}

// TestEndTellsOfCrashes guards against a request that makes backend servers go silent, and
// is no suspect since its connection never breaks: the fleet tells of their end, before or
// after its attempt is over.
func TestEndTellsOfCrashes(t *testing.T) {
	var g poison.Register
	g.ConnectionBroke(start, 1, server("a", 1))
	expectAdmission(t, &g, start, 1, poison.Clear)
	g.Ended(start, server("a", 1), false)
	expectAdmission(t, &g, start, 1, poison.Alone)
	g.Ended(start, server("b", 4), false)
	g.ConnectionBroke(start, 1, server("b", 5))
	expectAdmission(t, &g, start, 1, poison.Alone)
	g.ConnectionBroke(start, 1, server("b", 4))
	expectAdmission(t, &g, start, 1, poison.Quarantined)
}

// TestPlannedEndMakesNoSuspects guards against harmless requests that are quarantined in a
// release, since they were in flight when backend servers ended as planned.
func TestPlannedEndMakesNoSuspects(t *testing.T) {
	var g poison.Register
	for _, name := range []string{"a", "b", "c"} {
		g.ConnectionBroke(start, 1, server(name, 1))
		g.Ended(start, server(name, 1), true)
		g.ConnectionBroke(start, 1, server(name, 1))
	}
	expectAdmission(t, &g, start.Add(time.Second), 1, poison.Clear)
}

// TestOutagePushesOutNoQuarantine guards against a quarantined request that is forgotten
// since many others become suspects in an outage.
func TestOutagePushesOutNoQuarantine(t *testing.T) {
	g := quarantined(start)
	for f := range uint64(5000) {
		at := start.Add(4*time.Minute + 30*time.Second)
		g.ConnectionBroke(at, 100+f, server("c", f))
		g.Crashed(at, server("c", f))
	}
	expectAdmission(t, g, start.Add(4*time.Minute+31*time.Second), 1, poison.Quarantined)
}

// TestTrialRunsOfQuarantinedRequest guards against a harmless request that stays refused
// after an outage, and against one that crashes backend servers and gets one trial run
// after the other: each comes later than the last one, and there are three. It also guards
// against a harmless request that stays refused since its trial run met a backend server
// that failed it, and showed nothing: the first is repeated three times.
func TestTrialRunsOfQuarantinedRequest(t *testing.T) {
	for name, test := range map[string]struct {
		crashes bool
		delays  []time.Duration
	}{
		"each crashes a backend server": {true, []time.Duration{200 * time.Millisecond, time.Minute, 10 * time.Minute}},
		"none shows anything":           {false, []time.Duration{200 * time.Millisecond, time.Second, time.Second, time.Second, time.Minute, 10 * time.Minute}},
	} {
		t.Run(name, func(t *testing.T) { checkTrialRuns(t, test.delays, test.crashes) })
	}
}

// trialRunTime is the time in which a trial run shows its outcome, as callers are told.
const trialRunTime = time.Second

// checkRetryAfter checks after what time callers of the quarantined request may resend it,
// if the next trial run is due after delay. If a trial run has just begun that may
// release the request, that is when its outcome is known.
func checkRetryAfter(t *testing.T, g *poison.Register, now time.Time, delay time.Duration, trialRuns bool) {
	t.Helper()
	a, left := g.Admit(now, 1)
	if trialRuns && (left < trialRunTime || left > trialRunTime+200*time.Millisecond) {
		t.Errorf("resends may run after %v while a trial run does, want some %v", left, trialRunTime)
	}
	if trialRuns {
		now, delay = now.Add(trialRunTime), delay-trialRunTime
		a, left = g.Admit(now, 1)
	}
	if delay > 0 && (a != poison.Quarantined || left < delay) {
		t.Errorf("admission %d for %v, want a quarantine until the next trial run in %v", a, left, delay)
	}
}

// checkTrialRuns checks that a quarantined request gets a trial run after each of the delays,
// and no other. Each crashes a backend server if crashes is true.
func checkTrialRuns(t *testing.T, delays []time.Duration, crashes bool) {
	t.Helper()
	g := quarantined(start)
	g.Trials = true
	now := start
	for trial, delay := range delays {
		checkRetryAfter(t, g, now, delay, trial > 0 && !crashes)
		for at := time.Duration(0); at < delay; at += delay / 10 {
			expectAdmission(t, g, now.Add(at), 1, poison.Quarantined)
		}
		now = now.Add(delay)
		expectAdmission(t, g, now, 1, poison.Trial)
		g.Merge(now, []poison.Record{{Fingerprint: 1, Trials: trial + 1, Left: time.Minute}})
		if s := server("t", uint64(trial+1)); crashes {
			g.ConnectionBroke(now, 1, s)
			g.Crashed(now, s)
		}
		expectAdmission(t, g, now, 1, poison.Quarantined)
	}
	for range 100 {
		now = now.Add(4 * time.Minute)
		expectAdmission(t, g, now, 1, poison.Quarantined)
	}
	g.Answered(now, 1, goodAnswer)
	expectAdmission(t, g, now, 1, poison.Clear)
}

// TestSignOfLifeEndsOnlyEarlierRuns guards against a crash that is tied to a request whose run
// was over before it, and against one that is tied to nothing since the caller had left: the
// connection to the backend server ended, and the request may run on there for a second.
func TestSignOfLifeEndsOnlyEarlierRuns(t *testing.T) {
	for name, test := range map[string]struct {
		heard time.Duration
		want  poison.Admission
	}{
		"heard while it may run":   {900 * time.Millisecond, poison.Alone},
		"heard after it has ended": {1100 * time.Millisecond, poison.Clear},
	} {
		t.Run(name, func(t *testing.T) {
			var g poison.Register
			g.ConnectionBroke(start, 1, server("a", 1))
			g.Heard(start.Add(test.heard), server("a", 1))
			if got := g.MayCrash(server("a", 1)); got != (test.want == poison.Alone) {
				t.Errorf("the backend server may crash by the request: %v", got)
			}
			now := start.Add(1200 * time.Millisecond)
			g.Crashed(now, server("a", 1))
			expectAdmission(t, &g, now, 1, test.want)
		})
	}
}
