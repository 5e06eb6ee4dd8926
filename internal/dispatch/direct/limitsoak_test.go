package direct_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
	"github.com/snipefront/snipefront/internal/stand/model"
)

// soakSeeds is the number of seeds of soak tests. More than the default are run by hand.
var soakSeeds = flag.Uint64("soakseeds", 4, "number of seeds of soak tests")

// soakEvents are the events of TestRateLimitsUnderRandomEvents, each with the same
// probability.
var soakEvents = []func(f *limitedFleet, random *rand.Rand){
	func(f *limitedFleet, random *rand.Rand) { f.restart(random.IntN(smallFleet.instances)) },
	func(f *limitedFleet, random *rand.Rand) { f.leave(random.IntN(smallFleet.instances), time.Second) },
	func(f *limitedFleet, random *rand.Rand) {
		f.cutOffFor(random.IntN(smallFleet.instances), 3*time.Second)
	},
	nameSoakLimit,
	nameSoakLimit,
	func(f *limitedFleet, random *rand.Rand) { f.name(soakServer(random), noLimit) },
	func(f *limitedFleet, random *rand.Rand) { f.becomeUnreadable(soakServer(random)) },
	func(f *limitedFleet, random *rand.Rand) { f.restartServer(soakServer(random)) },
}

// nameSoakLimit lets a backend server name a limit, and refuse all requests in one of four
// cases. Two of them never name it in one kind of answer. The one that doesn't in refusals
// refuses no request: it would have no answer left that names the limit.
func nameSoakLimit(f *limitedFleet, random *rand.Rand) {
	server := soakServer(random)
	c := limitOf(6 * random.Float64())
	c.NoLimitIn = map[string]quota.Source{"s1": quota.Probe, "s2": quota.Refusal}[server]
	c.ShedAll = random.IntN(4) == 0 && c.NoLimitIn != quota.Refusal
	f.name(server, c)
}

// soakServer returns one of the backend servers that events happen to.
func soakServer(random *rand.Rand) string { return fmt.Sprint("s", random.IntN(3)) }

// leave lets an instance leave the view of the fleet, and join it again after the given
// time.
func (f *limitedFleet) leave(i int, absence time.Duration) {
	name := fmt.Sprint("e", i)
	f.mu.Lock()
	member, ok := f.view.Instances[name]
	f.mu.Unlock()
	if !ok {
		return
	}
	f.update(func(v *fleet.View) { delete(v.Instances, name) })
	time.AfterFunc(absence, func() { f.update(func(v *fleet.View) { v.Instances[name] = member }) })
}

// cutOffFor cuts an instance off from the view for the given time. The others see it leave
// after 2 s.
func (f *limitedFleet) cutOffFor(i int, length time.Duration) {
	const expiry = 2 * time.Second
	f.cutOff(i)
	time.AfterFunc(expiry, func() { f.leave(i, length-expiry) })
	time.AfterFunc(length, func() {
		f.mu.Lock()
		delete(f.isCutOff, i)
		f.mu.Unlock()
		f.update(func(*fleet.View) {})
	})
}

// becomeUnreadable makes the answers of a backend server say nothing that can be read,
// unless it has said something else for so short a time that nobody may have heard it.
func (f *limitedFleet) becomeUnreadable(name string) {
	f.mu.Lock()
	named := f.named[name]
	f.mu.Unlock()
	if len(named) > 0 && time.Since(named[len(named)-1].from) > 2*time.Second {
		f.servers.Set(name, model.Condition{})
	}
}

// restartServer starts a backend server again under its name. It names no limit then.
func (f *limitedFleet) restartServer(name string) {
	f.name(name, noLimit)
	f.update(func(v *fleet.View) {
		n := v.Servers[name]
		n.Incarnation++
		n.Limit, n.LimitSource, n.LimitIndex = snipefront.RateLimit{}, "", 0
		v.Servers[name] = n
	})
}

// TestRateLimitsUnderRandomEvents guards against limits that are exceeded where events
// come in series and overlap: limits that change, end, or can't be read, backend servers
// and instances that start again, leave, and are cut off from the view.
func TestRateLimitsUnderRandomEvents(t *testing.T) {
	for seed := range *soakSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newLimitedFleet(smallFleet)
				random := rand.New(rand.NewPCG(seed, 7))
				const length = 40 * time.Second
				for at := time.Duration(0); at < length; at += time.Duration(random.Int64N(int64(1200 * time.Millisecond))) {
					event := soakEvents[random.IntN(len(soakEvents))]
					details := rand.New(rand.NewPCG(seed, uint64(at)))
					time.AfterFunc(at, func() { event(f, details) })
				}
				f.run(t, length, 150)
				f.checkLimits(t)
			})
		})
	}
}
