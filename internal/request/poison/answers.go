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
