package poison

import "time"

// trialDelays holds the times from the last crash or trial run to each further trial run.
// A request that crashes backend servers ends as many more of them as it gets trial runs,
// even if it comes for hours: a quarantine with trials ends only once the request has not
// come for quarantineTime.
var trialDelays = []time.Duration{200 * time.Millisecond, time.Minute, 10 * time.Minute}

// trialMargin is added to the time after which a resend may run as a trial: the instance
// that receives it may have learned of the last crash later than this one.
const trialMargin = 100 * time.Millisecond

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
		return Quarantined, left + trialMargin
	}
	return Trial, 0
}

// addTrials records that n trial runs were granted in all. The lock is held.
func (e *suspect) addTrials(now time.Time, n int) {
	if n > e.trials {
		e.trials, e.lastTrial = n, now
	}
}
