package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
)

const server = "s"

func named(perSecond float64) snipefront.RateLimit {
	return snipefront.RateLimit{Named: true, PerSecond: perSecond}
}

// fleetOf returns n instances in four data centres.
func fleetOf(n int) (e snipefront.Epoch) {
	for i := range n {
		e.Instances = append(e.Instances, snipefront.Instance{Name: fmt.Sprint("e", i), DataCentre: fmt.Sprint("dc", i%4)})
	}
	return e
}

// TestPartsAddUpToLimit guards against parts that together exceed the limit or leave some
// of it to nobody, and against so many senders that what they have saved up exceeds it.
func TestPartsAddUpToLimit(t *testing.T) {
	for _, instances := range []int{1, 3, 18, 300} {
		for _, limit := range []float64{0.1, 0.5, 1, 1.2, 7.9, 40, 500} {
			e, sum, senders := fleetOf(instances), 0.0, 0
			for _, n := range e.Instances {
				part := quota.Part(limit, e, n, snipefront.Cell{Service: server, DataCentre: "dc1"})
				sum += part
				if part > 0 {
					senders++
				}
			}
			if math.Abs(sum-limit) > 1e-9*limit || float64(senders) > limit+2 {
				t.Errorf("%d senders among %d instances may send %v a second, want %v from %v senders at most", senders, instances, sum, limit, limit+2)
			}
		}
	}
}

// TestPartChangesLittleWithInstances guards against senders that nearly all change when one
// instance joins, so that the new ones and those that don't know yet send twice the limit.
func TestPartChangesLittleWithInstances(t *testing.T) {
	before, after := fleetOf(300), fleetOf(301)
	changed := 0
	for _, n := range before.Instances {
		cell := snipefront.Cell{Service: server, DataCentre: "dc0"}
		if quota.Part(20, before, n, cell) > 0 != (quota.Part(20, after, n, cell) > 0) {
			changed++
		}
	}
	if changed > 1 {
		t.Errorf("%d of 21 senders change when an instance joins, want 1 at most", changed)
	}
}

// TestOlderAnswerDoesNotEndLimit guards against an answer that was sent before the limit
// was named, arrives after one that names it, and ends or raises it.
func TestOlderAnswerDoesNotEndLimit(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		sent time.Time
		said snipefront.RateLimit
		want snipefront.RateLimit
	}{
		"older, none":   {now.Add(-time.Second), snipefront.RateLimit{}, named(5)},
		"older, higher": {now.Add(-time.Second), named(9), named(5)},
		"older, lower":  {now.Add(-time.Second), named(2), named(2)},
		"newer, none":   {now.Add(time.Second), snipefront.RateLimit{}, snipefront.RateLimit{}},
		"newer, higher": {now.Add(time.Second), named(9), named(9)},
	} {
		t.Run(name, func(t *testing.T) {
			var q quota.Quota
			q.Hear(now, now, named(5), quota.Answer)
			q.Hear(now.Add(2*time.Second), c.sent, c.said, quota.Answer)
			if got := q.State().RateLimit; got != c.want {
				t.Errorf("the limit is %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestOtherKindOfAnswerDoesNotEndLimit guards against a limit that ends with an answer of
// a kind in which the backend server never names it.
func TestOtherKindOfAnswerDoesNotEndLimit(t *testing.T) {
	var q quota.Quota
	now := time.Now()
	later := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	q.Learn(now, named(5), quota.Answer)
	q.Hear(later(2), later(1), snipefront.RateLimit{}, quota.Probe)
	if !q.State().Named {
		t.Error("the answer to a load probe ended a limit that only answers to requests name")
	}
	q.Hear(later(4), later(3), snipefront.RateLimit{}, quota.Answer)
	if q.State().Named {
		t.Error("the answer to a request did not end the limit")
	}
}

// TestSenderBeginsWithNothing guards against instances that add to what others have sent
// each time they start or become senders.
func TestSenderBeginsWithNothing(t *testing.T) {
	var q quota.Quota
	now := time.Now()
	q.Learn(now, named(1), quota.Answer)
	q.SetPart(now, 0)
	now = now.Add(time.Hour)
	q.SetPart(now, 1)
	if q.Take(now, 0) {
		t.Error("a new sender may send immediately, want it to wait for its part")
	}
	if !q.Take(now.Add(1001*time.Millisecond), 0) {
		t.Error("a sender may not send a second later at a limit of 1 a second")
	}
	if wait, ok := q.Wait(now.Add(1001*time.Millisecond), 0); !ok || wait < 990*time.Millisecond || wait > time.Second {
		t.Errorf("the next request may be sent after %v, %v; want about a second", wait, ok)
	}
}
