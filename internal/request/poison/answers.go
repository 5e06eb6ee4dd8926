package poison

import "time"

const (
	// answerMemory is the least time for which a complete answer to a request is
	// remembered. News of a crash takes less time to arrive.
	answerMemory = 1500 * time.Millisecond
	// maxAnswers bounds the requests of one generation of answers.
	maxAnswers = 8192
)

// answers remembers the requests that were answered completely within the last
// answerMemory, and some before, in two generations. Its zero value is empty.
type answers struct {
	// begun is the time at which current began.
	begun             time.Time
	current, previous map[uint64]struct{}
}

// add records a complete answer to f.
func (a *answers) add(now time.Time, f uint64) {
	a.age(now)
	if len(a.current) >= maxAnswers {
		a.rotate(now)
	}
	a.current[f] = struct{}{}
}

// has reports whether f was answered of late.
func (a *answers) has(now time.Time, f uint64) bool {
	a.age(now)
	_, current := a.current[f]
	_, previous := a.previous[f]
	return current || previous
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
	a.current, a.previous = map[uint64]struct{}{}, a.current
}
