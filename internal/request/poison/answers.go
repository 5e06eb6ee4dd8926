package poison

import (
	"slices"
	"time"
)

const (
	// answerMemory is the least time for which a complete answer to a request is
	// remembered. News of a crash takes less time to arrive.
	answerMemory = 1500 * time.Millisecond
	// maxAnswers bounds the requests of one generation of answers.
	maxAnswers = 8192
)

// answers remembers the requests that were answered completely within the last
// answerMemory, and some before, in two generations, and by which software. Its zero value
// is empty.
type answers struct {
	// begun is the time at which current began.
	begun             time.Time
	current, previous map[uint64][]Software
}

// add records a complete answer to f.
func (a *answers) add(now time.Time, f uint64, by Software) {
	a.age(now)
	if len(a.current) >= maxAnswers {
		a.rotate(now)
	}
	a.current[f] = addSoftware(a.current[f], by)
}

// has reports whether the software has answered f of late.
func (a *answers) has(now time.Time, f uint64, software Software) bool {
	return coveredBy(a.by(now, f), software)
}

// by returns the software that has answered f of late. The caller must not modify it.
func (a *answers) by(now time.Time, f uint64) []Software {
	a.age(now)
	list := a.current[f]
	for _, s := range a.previous[f] {
		list = addSoftware(list, s)
	}
	return list
}

// age drops what is older than two generations.
func (a *answers) age(now time.Time) {
	switch passed := now.Sub(a.begun); {
	case a.current == nil || passed >= 2*answerMemory:
		a.rotate(now)
		a.previous = nil
	case passed >= answerMemory:
		a.rotate(now)
	}
}

func (a *answers) rotate(now time.Time) {
	a.begun = now
	a.current, a.previous = map[uint64][]Software{}, a.current
}

// Answered records the answer a to f, which shows a complete run (see
// snipefront.ShowsCompleteRun), and so that f does not crash each backend server with the
// same software. Crashes of those don't count any more, at all instances. If no others are
// left, f is released.
func (g *Register) Answered(now time.Time, f uint64, a Answer) {
	if g == nil {
		return
	}
	software := a.Server.Software()
	g.mu.Lock()
	g.answers.add(now, f, software)
	crashed := 0
	if e := g.suspects[f]; e != nil {
		crashed = len(e.crashed)
	}
	changed := g.prove(now, f, software, a.String())
	g.mu.Unlock()
	if changed {
		g.share(Record{Fingerprint: f, Answered: []Software{software}, Left: RecordLifetime(crashed)})
	}
}

// prove records that the software has answered f, and reports whether that changed what is
// known of f. The lock is held.
func (g *Register) prove(now time.Time, f uint64, software Software, why string) bool {
	e := g.suspects[f]
	if e == nil {
		return false
	}
	left := WithoutSoftware(e.crashed, software)
	if len(left) == 0 {
		return g.release(now, f, why)
	}
	if len(left) == len(e.crashed) && slices.Contains(e.proven, software) {
		return false
	}
	e.crashed, e.proven = left, addSoftware(e.proven, software)
	g.report(now, EventProven, why, f, e)
	return true
}

// Proven reports whether the software has answered f since f became a suspect, and hasn't
// crashed since, so that f may run on it though it is quarantined.
func (g *Register) Proven(f uint64, software Software) bool {
	if g == nil || !g.active.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.suspects[f]
	return e != nil && coveredBy(e.proven, software)
}
