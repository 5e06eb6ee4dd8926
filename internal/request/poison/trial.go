package poison

import "time"

// trialDelays holds the times from the last crash or trial run to each further trial run.
// Together with the two crashes before, no more backend servers are lost to a request, even
// if it comes for hours, than it has trial runs: a quarantine with trials ends only once the
// request has not come for quarantineTime.
var trialDelays = []time.Duration{500 * time.Millisecond, 15 * time.Second}

// admitTrial returns the admission of a quarantined suspect and, if it is refused, after
// what time a resend may run.
func (e *suspect) admitTrial(now time.Time) (Admission, time.Duration) {
	if expires := now.Add(quarantineTime); expires.After(e.expires) {
		e.expires = expires
	}
	if e.trials >= len(trialDelays) {
		return Quarantined, quarantineTime
	}
	since := e.lastCrash
	if e.lastTrial.After(since) {
		since = e.lastTrial
	}
	if left := since.Add(trialDelays[e.trials]).Sub(now); left > 0 {
		return Quarantined, left
	}
	return Trial, 0
}

// addTrials records that n trial runs were granted in all. The lock is held.
func (e *suspect) addTrials(now time.Time, n int) {
	if n > e.trials {
		e.trials, e.lastTrial = n, now
	}
}
