package direct_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
	"github.com/snipefront/snipefront/internal/stand/model"
)

var (
	// smallFleet and largeFleet have many backend servers, the other two few large ones.
	smallFleet  = limitedSize{instances: 18, servers: 12, slots: 3}
	largeFleet  = limitedSize{instances: 300, servers: 60, slots: 3}
	smallToFew  = limitedSize{instances: 18, servers: 4, slots: 64}
	largeToFew  = limitedSize{instances: 300, servers: 4, slots: 64}
	limitLength = 12 * time.Second
)

// TestRateLimitIsKeptAndUsed guards against a backend server that receives more requests
// than the limit that it names, in the sum over all instances: where none keeps to it, or
// each for itself, or only those that heard it. It also guards against a limit that is
// kept by sending next to nothing, since few instances may send and each has few requests.
func TestRateLimitIsKeptAndUsed(t *testing.T) {
	for name, test := range map[string]struct {
		size      limitedSize
		rate      float64
		perSecond float64
	}{
		"0.3 a second, 18 instances":  {smallFleet, 100, 0.3},
		"1 a second, 18 instances":    {smallFleet, 100, 1},
		"1.2 a second, 18 instances":  {smallFleet, 100, 1.2},
		"3.5 a second, 18 instances":  {smallFleet, 100, 3.5},
		"10 a second, 18 instances":   {smallFleet, 250, 10},
		"100 a second, 18 instances":  {smallToFew, 900, 100},
		"500 a second, 18 instances":  {smallToFew, 2500, 500},
		"1 a second, 300 instances":   {largeFleet, 700, 1},
		"10 a second, 300 instances":  {largeFleet, 1000, 10},
		"500 a second, 300 instances": {largeToFew, 2500, 500},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newLimitedFleet(test.size)
				limitFrom(time.Second, limitOf(test.perSecond))(f)
				f.run(t, limitLength, test.rate)
				f.checkLimits(t)
				requests, probes := f.received("s0", 4*time.Second, limitLength)
				t.Logf("%.2f of the limit for requests, %.2f for load probes", requests/test.perSecond, probes/test.perSecond)
				if requests < 0.6*test.perSecond {
					t.Errorf("%.2f of the limit are used for requests, want 0.6 at least", requests/test.perSecond)
				}
			})
		})
	}
}

// TestRateLimitOfAllInstances guards against a limit that is exceeded, in the sum over all
// instances, where it changes, is named in some kinds of answers only, or where instances
// and backend servers come and go.
func TestRateLimitOfAllInstances(t *testing.T) {
	for name, test := range map[string]struct {
		rate  float64
		event func(f *limitedFleet)
	}{
		"no requests at all": {rate: 100, event: limitFrom(time.Second, limitOf(0))},
		"named in load probes only": {rate: 100, event: func(f *limitedFleet) {
			c := limitOf(1)
			c.NoLimitIn = quota.Answer
			limitFrom(time.Second, c)(f)
		}},
		"named in refusals": {rate: 100, event: func(f *limitedFleet) {
			c := limitOf(2)
			c.ShedAll, c.NoLimitIn = true, quota.Probe
			limitFrom(time.Second, c)(f)
		}},
		"lowered": {rate: 250, event: func(f *limitedFleet) {
			limitFrom(time.Second, limitOf(20))(f)
			limitFrom(8*time.Second, limitOf(1.5))(f)
		}},
		"raised": {rate: 250, event: func(f *limitedFleet) {
			limitFrom(time.Second, limitOf(1))(f)
			limitFrom(8*time.Second, limitOf(6))(f)
		}},
		"unreadable after a while": {rate: 100, event: func(f *limitedFleet) {
			limitFrom(time.Second, limitOf(1))(f)
			limitFrom(5*time.Second, model.Condition{})(f)
		}},
		"instances restart one by one": {rate: 100, event: func(f *limitedFleet) {
			limitFrom(time.Second, limitOf(1))(f)
			for i := range smallFleet.instances {
				time.AfterFunc(5*time.Second+time.Duration(i)*300*time.Millisecond, func() { f.restart(i) })
			}
		}},
		"instances leave and join": {rate: 100, event: func(f *limitedFleet) {
			limitFrom(time.Second, limitOf(2))(f)
			for i := range smallFleet.instances {
				name := fmt.Sprint("e", i)
				member := f.view.Instances[name]
				time.AfterFunc(5*time.Second+time.Duration(i)*400*time.Millisecond, func() {
					f.update(func(v *fleet.View) { delete(v.Instances, name) })
				})
				time.AfterFunc(6*time.Second+time.Duration(i)*400*time.Millisecond, func() {
					f.update(func(v *fleet.View) { v.Instances[name] = member })
				})
			}
		}},
		"instances are cut off from the view": {rate: 100, event: func(f *limitedFleet) {
			limitFrom(time.Second, limitOf(2))(f)
			time.AfterFunc(5*time.Second, func() {
				f.cutOff(0, 1, 2, 3)
				f.update(func(v *fleet.View) {
					for _, name := range []string{"e0", "e1", "e2", "e3"} {
						delete(v.Instances, name)
					}
				})
			})
		}},
		"backend server restarts under its name": {rate: 100, event: func(f *limitedFleet) {
			limitFrom(time.Second, limitOf(1))(f)
			time.AfterFunc(8*time.Second, func() {
				f.name("s0", noLimit)
				f.update(func(v *fleet.View) {
					n := v.Servers["s0"]
					n.Incarnation++
					v.Servers["s0"] = n
				})
			})
			limitFrom(10*time.Second, limitOf(3))(f)
		}},
		"all backend servers are limited": {rate: 60, event: func(f *limitedFleet) {
			for i := range smallFleet.servers {
				time.AfterFunc(time.Second, func() { f.name(fmt.Sprint("s", i), limitOf(2)) })
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newLimitedFleet(smallFleet)
				test.event(f)
				f.run(t, 16*time.Second, test.rate)
				f.checkLimits(t)
				t.Logf("requests %v, answered %v, refusals %d and %d", f.requests, f.answered, len(f.refusals[0]), len(f.refusals[1]))
			})
		})
	}
}

// limitFrom returns an event that puts the backend server s0 into condition c at the
// given time since the start.
func limitFrom(at time.Duration, c model.Condition) func(f *limitedFleet) {
	return func(f *limitedFleet) {
		time.AfterFunc(at, func() { f.name("s0", c) })
	}
}

// TestRateLimitEnds guards against a limit that is kept after the backend server names it
// no more or has started again: the instances must send as to any other again.
func TestRateLimitEnds(t *testing.T) {
	for name, end := range map[string]func(f *limitedFleet){
		"withdrawn": func(f *limitedFleet) { f.name("s0", noLimit) },
		"restarted": func(f *limitedFleet) {
			f.name("s0", noLimit)
			f.update(func(v *fleet.View) {
				n := v.Servers["s0"]
				n.Incarnation++
				n.Limit, n.LimitSource, n.LimitIndex = snipefront.RateLimit{}, "", 0
				v.Servers["s0"] = n
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitedFleet(smallFleet)
				limitFrom(time.Second, limitOf(1))(f)
				time.AfterFunc(6*time.Second, func() { end(f) })
				f.run(t, 12*time.Second, 100)
				f.checkLimits(t)
				if requests, _ := f.received("s0", 9*time.Second, 12*time.Second); requests < 4 {
					t.Errorf("%.1f requests a second 3 s after the limit has ended, want about 8", requests)
				}
			})
		})
	}
}

// TestRequestsBeyondRateLimitAreServedElsewhere guards against a limit that is kept at the
// callers' cost: requests that a backend server doesn't take go to others while these have
// free slots.
func TestRequestsBeyondRateLimitAreServedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(smallFleet)
		for i := range 4 {
			time.AfterFunc(time.Second, func() { f.name(fmt.Sprint("s", i), limitOf(1)) })
		}
		f.run(t, 10*time.Second, 100)
		f.checkLimits(t)
		if requests, answered := f.requests[0]+f.requests[1], f.answered[0]+f.answered[1]; answered < requests {
			t.Errorf("%d of %d requests answered, want all: eight backend servers have free slots", answered, requests)
		}
	})
}

// TestRequestsBeyondAllRateLimits has all backend servers name limits that allow less than
// half of the requests. It guards against requests that are held though no limit has room
// for them in time, against refusals that don't say when to come back, and against less
// urgent requests, or late ones, that take the place of others.
func TestRequestsBeyondAllRateLimits(t *testing.T) {
	const perSecond = 2
	servers := smallFleet.servers
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(smallFleet)
		for i := range servers {
			time.AfterFunc(time.Second, func() { f.name(fmt.Sprint("s", i), limitOf(perSecond)) })
		}
		f.run(t, 16*time.Second, 60)
		f.checkLimits(t)
		sum := 0.0
		for i := range servers {
			requests, _ := f.received(fmt.Sprint("s", i), 4*time.Second, 16*time.Second)
			sum += requests
		}
		if sum < 0.8*float64(servers*perSecond) {
			t.Errorf("%.1f requests a second are sent, want most of the %d that the limits allow", sum, servers*perSecond)
		}
		urgent, background := float64(f.answered[0])/float64(f.requests[0]), float64(f.answered[1])/float64(f.requests[1])
		t.Logf("%.2f of the urgent and %.2f of the background requests answered; %.1f a second", urgent, background, sum)
		if background > urgent/2 {
			t.Errorf("%.2f of the urgent and %.2f of the background requests answered, want the urgent ones first", urgent, background)
		}
		if inTime := float64(f.inGoal) / float64(f.answered[0]+f.answered[1]); inTime < 0.9 {
			t.Errorf("%.2f of the answers are in time, want 0.9: requests that can't be in time any more come last", inTime)
		}
		held := 0
		for _, list := range f.refusals {
			for _, r := range list {
				if r.retryAfter <= 0 || r.reason != snipefront.ReasonRateLimit && r.reason != snipefront.ReasonOverload {
					t.Fatalf("a request was refused without a time to come back, or for another reason: %+v", r)
				}
				if r.taken > 100*time.Millisecond {
					held++
				}
			}
		}
		if all := len(f.refusals[0]) + len(f.refusals[1]); held > all/4 {
			t.Errorf("%d of %d refusals took more than 0.1 s", held, all)
		}
	})
}
