package cell_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
)

func hedgeRequest() cell.SlotRequest {
	return cell.SlotRequest{Deadline: time.Now().Add(time.Hour), FreeOnly: true, MayQueue: true}
}

// TestHedgeTakesOnlySurplusSlots guards against hedges that take capacity from other
// requests: a hedge gets no slot of a spare backend server and not the last free slot of
// the cell.
func TestHedgeTakesOnlySurplusSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(2)
		warmUpCell(t, c)
		c.SetRules(time.Now(), cell.Rules{ColdLimit: 1, Spares: map[string]bool{"1": true}})
		avoid := hedgeRequest()
		avoid.Avoid = []string{"0"}
		_, err := c.Acquire(t.Context(), avoid)
		wantRefused(t, err, snipefront.ReasonHedge)

		c.SetRules(time.Now(), cell.Rules{ColdLimit: 1})
		for range 6 {
			acquire(t, c, deadlineIn(time.Hour))
		}
		acquire(t, c, hedgeRequest()).Done(cell.Canceled)
		last := acquire(t, c, deadlineIn(time.Hour))
		_, err = c.Acquire(t.Context(), hedgeRequest())
		wantRefused(t, err, snipefront.ReasonHedge)
		last.Done(cell.Canceled)
	})
}

// TestNoHedgeToColdBackendServer guards against hedges that take the few slots of a cold
// backend server. Once its warm-up time is over, it may get hedges.
func TestNoHedgeToColdBackendServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(0)
		c.SetRules(time.Now(), cell.Rules{ColdLimit: 2, WarmUp: time.Second})
		c.Announce(time.Now(), server(0))
		_, err := c.Acquire(t.Context(), hedgeRequest())
		wantRefused(t, err, snipefront.ReasonHedge)
		time.Sleep(time.Second)
		acquire(t, c, hedgeRequest()).Done(cell.Canceled)
	})
}

// TestHedgeAfterFollowsSlowAnswers guards against hedging too many requests or none, because
// HedgeAfter is not the 95th percentile of the latency.
func TestHedgeAfterFollowsSlowAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(1)
		if d := c.HedgeAfter(); d != 0 {
			t.Errorf("hedge after %v before any answer, want 0", d)
		}
		for i := range 2000 {
			s := acquire(t, c, deadlineIn(time.Hour))
			time.Sleep(time.Duration(i*37%100+1) * time.Millisecond)
			s.Done(cell.Answered)
		}
		if d := c.HedgeAfter(); d < 85*time.Millisecond || d > 105*time.Millisecond {
			t.Errorf("hedge after %v, want 85ms to 105ms, since the 95th percentile is 95ms", d)
		}
	})
}

// TestSlowCanceledAttemptsSuspend guards against a backend server that answers nothing and
// still gets requests, because callers or hedges cancel each attempt before its deadline.
func TestSlowCanceledAttemptsSuspend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(1)
		warmUpCell(t, c)
		first, second := acquire(t, c, deadlineIn(time.Hour)), acquire(t, c, deadlineIn(time.Hour))
		time.Sleep(time.Second)
		first.Done(cell.Canceled)
		second.Done(cell.Canceled)
		if reason := c.Load(time.Now()).Servers[0].Reason; reason != "suspended after failures" {
			t.Errorf("reason %q after two attempts were canceled after 1 s, want suspended", reason)
		}
	})
}
