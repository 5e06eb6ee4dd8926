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
	// repeatDelay is the time after which the first trial run is repeated if it has neither
	// released the request nor crashed its backend server: that may have answered with a
	// server error, or refused the request.
	repeatDelay = time.Second
	// maxRepeats is how often.
	maxRepeats = 3
)

// trialRuns is what is known of the trial runs of a suspect.
type trialRuns struct {
	// granted counts them, the last one at last.
	granted int
	last    time.Time
	// crashed counts those after which a backend server crashed, the last of which was that
	// with the number crashedBy.
	crashed, crashedBy int
}

// add records that n trial runs were granted in all.
func (r *trialRuns) add(now time.Time, n int) {
	if n > r.granted {
		r.granted, r.last = n, now
	}
}

// addCrash records that a backend server crashed.
func (r *trialRuns) addCrash() {
	if r.granted > r.crashedBy {
		r.crashed++
		r.crashedBy = r.granted
	}
}

// delay returns the time from the last crash or trial run to the next one, or false if there
// is none. As long as only the crashes are known that began the quarantine, few is true, and a
// trial run that has shown nothing is repeated soon.
func (r *trialRuns) delay(few bool) (time.Duration, bool) {
	open := r.granted - r.crashedBy
	if few {
		if open > 0 && open <= maxRepeats {
			return repeatDelay, true
		}
		open = max(0, open-maxRepeats)
	}
	if next := r.crashed + open; next < len(trialDelays) {
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
	delay, ok := e.trials.delay(len(e.crashed) <= crashLimit)
	if !ok {
		return Quarantined, quarantineTime
	}
	since := e.lastCrash
	if e.trials.last.After(since) {
		since = e.trials.last
	}
	if left := since.Add(delay).Sub(now); left > 0 {
		return Quarantined, left + trialMargin
	}
	return Trial, 0
}
