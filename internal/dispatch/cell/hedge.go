package cell

import "time"

const (
	// hedgeShare is the share of answers that take longer than HedgeAfter.
	hedgeShare = 0.05
	// hedgeStep is how far one answer moves the estimate, as a share of it.
	hedgeStep = 0.05
	// hedgeSamples is the number of answers before which none is known.
	hedgeSamples = 100
)

// HedgeAfter returns the time that 95 in 100 attempts of this cell take at most,
// after which a second one may be sent. Zero is unknown. The second attempt asks
// for a slot with Wanted.FreeOnly and avoids the first one's backend server;
// where there is none, it may ask again each time that HedgeAfter has passed.
// Both slots are given back like any other.
func (c *Cell) HedgeAfter() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.high.samples < hedgeSamples {
		return 0
	}
	return c.high.value
}

// surplus takes a slot that nobody else needs now, or returns nil. The lock is
// held.
func (c *Cell) surplus(now time.Time, w Wanted) *Slot {
	if c.queue.len() > 0 || c.free(now) < 2 {
		return nil
	}
	s, _ := c.pickAmong(now, w.Avoid, regular)
	if s == nil || s.limiter.IsCold(now) {
		return nil
	}
	return c.take(now, s, w.Deadline)
}

// quantile follows the value that a share of hedgeShare of the samples exceed.
// Its steps up and down balance where that share does exceed it.
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
	step := float64(q.value) * hedgeStep
	if d > q.value {
		q.value += time.Duration(step * (1 - hedgeShare))
		return
	}
	q.value -= time.Duration(step * hedgeShare)
}
