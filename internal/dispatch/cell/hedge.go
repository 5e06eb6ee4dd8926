package cell

import "time"

const (
	// tailShare is the share of answers that take longer than HedgeAfter.
	tailShare = 0.05
	// quantileStep is the maximum change of the estimate by one answer, as a share of the
	// estimate.
	quantileStep = 0.05
	// minHedgeSamples is the number of answers below which HedgeAfter is unknown.
	minHedgeSamples = 100
)

// HedgeAfter returns the 95th percentile of the latency of the cell, after which a hedge
// may be sent, or zero while it is unknown. The caller requests a slot for the hedge with
// SlotRequest.FreeOnly and avoids the backend server of the first attempt. If no such slot
// is free, the caller may request one again each time that HedgeAfter has passed. The
// slots of both attempts are released like any other.
func (c *Cell) HedgeAfter() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tailLatency.samples < minHedgeSamples {
		return 0
	}
	return c.tailLatency.value
}

// acquireSurplus takes a slot that meets the conditions of SlotRequest.FreeOnly, or
// returns nil. The lock is held.
func (c *Cell) acquireSurplus(now time.Time, r SlotRequest) *Slot {
	if c.queue.len() > 0 || c.free(now) < 2 {
		return nil
	}
	s, _ := c.pickFromTier(now, r.Avoid, regular)
	if s == nil || s.limiter.IsCold(now) {
		return nil
	}
	return c.take(now, s, r.Deadline)
}

// quantile estimates the value that a share of tailShare of the samples exceed. A
// sample above the estimate raises it and one below lowers it. The steps are sized so
// that they cancel out when just that share of the samples is above.
type quantile struct {
	value   time.Duration
	samples int
}

func (q *quantile) add(d time.Duration) {
	q.samples++
	if q.value == 0 {
		q.value = d
		return
	}
	step := float64(q.value) * quantileStep
	if d > q.value {
		q.value += time.Duration(step * (1 - tailShare))
		return
	}
	q.value -= time.Duration(step * tailShare)
}
