package grant

import (
	"math"
	"time"
)

const (
	// rateTime is the time over which the rates of a client are averaged, and partRateTime
	// the one for its part.
	rateTime     = 2 * time.Second
	partRateTime = 5 * time.Second
	// minPartRate is the lowest rate, in tokens per second, of a client that gets a part in
	// any case. One that asks less often is often silent without a failure, and is then
	// charged for tokens that it doesn't use. It gets a part only while the bucket is more
	// than half full, all other parts are less than maxSpareParts of the rate, and the
	// charge is at most maxSpareShare of the burst.
	minPartRate, maxSpareParts, maxSpareShare = 1.0, 0.25, 0.025
	// partRatio is the part of a client as a multiple of the rate granted to it.
	partRatio = 1.25
	// silentTime is the time after which a client counts as silent, and silentGrace the
	// time after the instant at which it was told to ask again.
	silentTime  = time.Second
	silentGrace = 150 * time.Millisecond
	// maxPromiseGrace bounds the time for which tokens are kept after the client was told
	// to ask for them.
	maxPromiseGrace = 500 * time.Millisecond
)

// client is what a Bucket knows of an instance.
type client struct {
	session uint64
	// since is the time of its first question.
	since time.Time
	// number and answer are those of its last question.
	number uint64
	answer Answer
	heard  time.Time
	// denied is the time at which it was last told to wait.
	denied time.Time
	// demand, spent and steady are moving averages, in tokens per second, as of heard: of
	// the requests that it has, and of those that get a token, over rateTime and over
	// partRateTime.
	demand, spent, steady float64
	// part is the largest part that it may use, until heard plus partLife.
	part float64
	// charged is what the bucket was charged for the part since heard.
	charged float64
	// used and returned are the last counts that it has told.
	used, returned uint64
	// promised tokens are kept for it until promisedAt plus the grace.
	promised   float64
	promisedAt time.Time
	// advance tokens were granted in advance, and may be used until advanceUntil.
	advance      float64
	advanceUntil time.Time
}

// decay returns the weight, after the time d, of what an average over the given time held
// before.
func decay(d, over time.Duration) float64 { return math.Exp(-d.Seconds() / over.Seconds()) }

// currentDemand returns the demand as of now.
func (c *client) currentDemand(now time.Time) float64 {
	return c.demand * decay(now.Sub(c.heard), rateTime)
}

// count updates the averages with what a question tells.
func (c *client) count(now time.Time, a Ask) {
	silent := now.Sub(c.heard)
	waiting := float64(a.Want) / rateTime.Seconds()
	c.demand = max(waiting, c.currentDemand(now)+float64(a.Spent+a.Refused)/rateTime.Seconds())
	c.spent = c.spent*decay(silent, rateTime) + float64(a.Spent)/rateTime.Seconds()
	c.steady = c.steady*decay(silent, partRateTime) + float64(a.Spent)/partRateTime.Seconds()
	c.heard = now
}

// partRate returns the rate of the part that c needs.
func (c *client) partRate() float64 {
	// An average over less than its time would be too low.
	return partRatio * c.steady / (1 - decay(max(time.Second, c.heard.Sub(c.since)), partRateTime))
}

// silentFrom returns the instant from which the client counts as silent.
func (c *client) silentFrom() time.Time {
	if c.promised > 0 || c.answer.Wait > 0 && c.demand*callInterval.Seconds() >= 1 {
		return c.heard.Add(c.answer.Wait + silentGrace)
	}
	return c.heard.Add(silentTime)
}

// dueCharge returns what the part may have used since heard, and whether it may still be
// used.
func (c *client) dueCharge(now time.Time) (tokens float64, inUse bool) {
	silent := now.Sub(c.heard)
	if now.Before(c.silentFrom()) {
		return 0, true
	}
	return c.part * min(silent, partLife).Seconds(), silent < partLife
}

// promiseGrace returns the time for which promised tokens are kept, in which c most likely
// receives another request.
func (c *client) promiseGrace() time.Duration {
	return min(maxPromiseGrace, time.Duration(2/c.demand*float64(time.Second)))
}
