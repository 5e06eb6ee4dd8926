package direct_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
	"github.com/snipefront/snipefront/internal/stand/model"
)

// TestRateLimitOfAllInstances guards against a backend server that receives more requests
// than the limit that it names, in the sum over all instances: where none keeps to it, or
// each for itself, or only those that heard it.
func TestRateLimitOfAllInstances(t *testing.T) {
	small, large := limitedSize{instances: 18, servers: 12, slots: 3}, limitedSize{instances: 300, servers: 60, slots: 3}
	for name, test := range map[string]struct {
		size  limitedSize
		rate  float64
		event func(f *limitedFleet)
	}{
		"1 a second, 18 instances":    {size: small, rate: 100, event: limitFrom(time.Second, limitOf(1))},
		"1.2 a second, 18 instances":  {size: small, rate: 100, event: limitFrom(time.Second, limitOf(1.2))},
		"0.3 a second, 18 instances":  {size: small, rate: 100, event: limitFrom(time.Second, limitOf(0.3))},
		"0 a second, 18 instances":    {size: small, rate: 100, event: limitFrom(time.Second, limitOf(0))},
		"10 a second, 18 instances":   {size: small, rate: 250, event: limitFrom(time.Second, limitOf(10))},
		"500 a second, 18 instances":  {size: limitedSize{instances: 18, servers: 4, slots: 64}, rate: 2500, event: limitFrom(time.Second, limitOf(500))},
		"1 a second, 300 instances":   {size: large, rate: 800, event: limitFrom(time.Second, limitOf(1))},
		"10 a second, 300 instances":  {size: large, rate: 1200, event: limitFrom(time.Second, limitOf(10))},
		"500 a second, 300 instances": {size: limitedSize{instances: 300, servers: 4, slots: 64}, rate: 2500, event: limitFrom(time.Second, limitOf(500))},
		"named in load probes only": {size: small, rate: 100, event: func(f *limitedFleet) {
			c := limitOf(1)
			c.NoLimitIn = quota.Answer
			limitFrom(time.Second, c)(f)
		}},
		"named in refusals": {size: small, rate: 100, event: func(f *limitedFleet) {
			c := limitOf(2)
			c.ShedAll, c.NoLimitIn = true, quota.Probe
			limitFrom(time.Second, c)(f)
		}},
		"lowered": {size: small, rate: 250, event: func(f *limitedFleet) {
			limitFrom(time.Second, limitOf(20))(f)
			limitFrom(8*time.Second, limitOf(1.5))(f)
		}},
		"raised": {size: small, rate: 250, event: func(f *limitedFleet) {
			limitFrom(time.Second, limitOf(1))(f)
			limitFrom(8*time.Second, limitOf(6))(f)
		}},
		"unreadable after a while": {size: small, rate: 100, event: func(f *limitedFleet) {
			limitFrom(time.Second, limitOf(1))(f)
			limitFrom(5*time.Second, model.Condition{})(f)
		}},
		"instances restart one by one": {size: small, rate: 100, event: func(f *limitedFleet) {
			limitFrom(time.Second, limitOf(1))(f)
			for i := range small.instances {
				time.AfterFunc(5*time.Second+time.Duration(i)*300*time.Millisecond, func() { f.restart(i) })
			}
		}},
		"instances leave and join": {size: small, rate: 100, event: func(f *limitedFleet) {
			limitFrom(time.Second, limitOf(2))(f)
			for i := range small.instances {
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
		"instances are cut off from the view": {size: small, rate: 100, event: func(f *limitedFleet) {
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
		"backend server restarts under its name": {size: small, rate: 100, event: func(f *limitedFleet) {
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
		"all backend servers are limited": {size: small, rate: 60, event: func(f *limitedFleet) {
			for i := range small.servers {
				time.AfterFunc(time.Second, func() { f.name(fmt.Sprint("s", i), limitOf(2)) })
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitedFleet(test.size)
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
