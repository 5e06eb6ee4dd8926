package poison

import "time"

// trialDelays holds the times from the last crash or trial run to each further trial run. A
// request that crashes backend servers ends as many more of them as it gets trial runs,
// even if it comes for hours: a quarantine with trials ends only once the request has not
// come for quarantineTime.
var trialDelays = []time.Duration{200 * time.Millisecond, time.Minute, 10 * time.Minute}

const (
	// trialMargin is added to the time after which a resend may run as a trial: the instance
	// that receives it may have learned of the last crash later than this one.
	trialMargin = 100 * time.Millisecond
	// repeatDelay is the time after which the first trial run is repeated if it was
	// inconclusive: it neither released the request nor crashed its backend server, which may
	// have answered with a server error.
	repeatDelay = time.Second
	// maxRepeats bounds the repeats of the first trial run.
	maxRepeats = 3
)

// trialRuns counts the trial runs of a suspect.
type trialRuns struct {
	// granted is the number of trial runs that were granted, and last when the last one was.
	granted int
	last    time.Time
	// crashed is the number of trial runs after which a backend server crashed, and
	// lastCrashed the number of the last of these, counted from 1.
	crashed, lastCrashed int
}

// add records that n trial runs were granted in all.
func (r *trialRuns) add(now time.Time, n int) {
	if n > r.granted {
		r.granted, r.last = n, now
	}
}

// addCrash records that a backend server crashed.
func (r *trialRuns) addCrash() {
	if r.granted > r.lastCrashed {
		r.crashed++
		r.lastCrashed = r.granted
	}
}

// pending returns the time until the outcome of a trial run that has just begun is known, or
// a negative time if there is none. Its answer may release the request, so that callers need
// not wait for the next one.
func (r *trialRuns) pending(now time.Time) time.Duration {
	if r.granted == r.lastCrashed {
		return -1
	}
	return r.last.Add(repeatDelay).Sub(now)
}

// delay returns the time from the last crash or trial run to the next trial run, or false if
// there is none. If mayRepeat is true, inconclusive trial runs are repeated soon.
func (r *trialRuns) delay(mayRepeat bool) (time.Duration, bool) {
	inconclusive := r.granted - r.lastCrashed
	if mayRepeat {
		if inconclusive > 0 && inconclusive <= maxRepeats {
			return repeatDelay, true
		}
		inconclusive = max(0, inconclusive-maxRepeats)
	}
	if next := r.crashed + inconclusive; next < len(trialDelays) {
		return trialDelays[next], true
	}
	return 0, false
}

// admitTrial returns the admission of a quarantined suspect and, if it is refused, after
// what time a resend may run.
func (e *suspect) admitTrial(now time.Time) (Admission, time.Duration) {
	if expires := now.Add(quarantineTime); expires.After(e.expires) {
		e.expires = expires
	}
	// Beyond the crashes that began the quarantine, each further run may end one more.
	delay, ok := e.trials.delay(len(e.crashed) <= CrashLimit)
	if !ok {
		return Quarantined, quarantineTime
	}
	since := e.lastCrash
	if e.trials.last.After(since) {
		since = e.trials.last
	}
	left := since.Add(delay).Sub(now)
	if left <= 0 {
		return Trial, 0
	}
	if pending := e.trials.pending(now); pending > 0 {
		left = min(left, pending)
	}
	return Quarantined, left + trialMargin
}
