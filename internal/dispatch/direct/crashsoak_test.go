package direct_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// crashSoakEvents are the events of TestCrashesUnderRandomEvents, each with the same
// probability.
var crashSoakEvents = []func(f *crashFleet, random *rand.Rand){
	func(f *crashFleet, random *rand.Rand) { f.crash(f.randomServer(random), randomStyle(random)) },
	func(f *crashFleet, random *rand.Rand) { f.crash(f.randomServer(random), randomStyle(random)) },
	func(f *crashFleet, random *rand.Rand) { f.replace(f.randomServer(random)) },
	func(f *crashFleet, random *rand.Rand) { f.setMute(f.randomServer(random), time.Second) },
	func(f *crashFleet, random *rand.Rand) {
		f.instances[random.IntN(len(f.instances))].restart(time.Duration(100+random.IntN(2000)) * time.Millisecond)
	},
	func(f *crashFleet, random *rand.Rand) {
		f.instances[random.IntN(len(f.instances))].cutOff(time.Duration(random.IntN(6000)) * time.Millisecond)
	},
	func(f *crashFleet, random *rand.Rand) { f.endDataCentre(random) },
	func(f *crashFleet, random *rand.Rand) { f.endSeveral(random, 2+random.IntN(8)) },
	func(f *crashFleet, random *rand.Rand) { f.sendToAll(uint64(random.IntN(crashingRequests)), 0) },
	func(f *crashFleet, random *rand.Rand) {
		interval := time.Duration(10+random.IntN(1990)) * time.Millisecond
		f.repeat(uint64(random.IntN(crashingRequests)), 0, f.since()+15*time.Second, interval)
	},
}

// randomServer returns a random backend server.
func (f *crashFleet) randomServer(random *rand.Rand) *crashServer {
	return f.servers[random.IntN(len(f.servers))]
}

// randomStyle returns a random way to end and to return.
func randomStyle(random *rand.Rand) crashStyle {
	return crashStyle{dark: random.IntN(3) == 0, sameName: random.IntN(2) == 0, back: time.Duration(200+random.IntN(6000)) * time.Millisecond}
}

// setMute lets s answer no request for the given time.
func (f *crashFleet) setMute(s *crashServer, length time.Duration) {
	set := func(mute bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		s.mute = mute
	}
	set(true)
	time.AfterFunc(length, func() { set(false) })
}

// endDataCentre ends the backend servers of a data centre, all but a few of them.
func (f *crashFleet) endDataCentre(random *rand.Rand) {
	dataCentre, style := fmt.Sprint("dc", random.IntN(dataCentres)), randomStyle(random)
	for _, s := range f.servers {
		if s.dataCentre == dataCentre && random.IntN(10) > 0 {
			f.crash(s, style)
		}
	}
}

// endSeveral ends n backend servers at the same moment.
func (f *crashFleet) endSeveral(random *rand.Rand, n int) {
	style := randomStyle(random)
	for range n {
		f.crash(f.randomServer(random), style)
	}
}

// hideCrashes lets backend servers fail some requests while they run on, the callers of
// requests that crash them leave early, and backend servers say that they leave or ask for
// pauses, all at random.
func (f *crashFleet) hideCrashes(random *rand.Rand, length time.Duration) {
	ms := func(least, most int) time.Duration {
		return time.Duration(least+random.IntN(most-least)) * time.Millisecond
	}
	f.crashAfter = ms(5, 300)
	if random.IntN(2) == 0 {
		f.fails = someFail(f, 1+random.IntN(4), 0.1+0.4*random.Float64(), []failure{serverError, reset}[random.IntN(2)])
	}
	if random.IntN(2) == 0 {
		f.patience, f.worksOn = ms(30, 400), true
	}
	for at := time.Second; at < length; at += ms(500, 4000) {
		s, rest := f.randomServer(random), ms(100, 5000)
		leaves := random.IntN(3) == 0
		time.AfterFunc(at, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if leaves {
				s.leaving = true
				return
			}
			s.restUntil = time.Now().Add(rest)
		})
	}
}

// TestHiddenCrashesUnderRandomEvents guards against the same as TestCrashesUnderRandomEvents
// where backend servers fail requests and run on, callers leave before the crash, and
// backend servers leave or ask for pauses in their answers.
func TestHiddenCrashesUnderRandomEvents(t *testing.T) {
	for seed := range *soakSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soakCrashes(t, seed, func(f *crashFleet, length time.Duration) {
				f.hideCrashes(rand.New(rand.NewPCG(seed, 28)), length)
			})
		})
	}
}

// TestCrashesUnderRandomEvents guards against a request that crashes backend servers and
// gets through, further attempts beyond their limits, and harmless requests that are
// refused, where events come in series and overlap.
func TestCrashesUnderRandomEvents(t *testing.T) {
	for seed := range *soakSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soakCrashes(t, seed, func(*crashFleet, time.Duration) {})
		})
	}
}

// soakCrashes plays a day of random events, to which the function adds others.
func soakCrashes(t *testing.T, seed uint64, add func(f *crashFleet, length time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(siteCrashSize)
		random := rand.New(rand.NewPCG(seed, 25))
		if random.IntN(3) == 0 {
			lateNews(f)
		}
		const length = 40 * time.Second
		add(f, length)
		for at := time.Second; at < length; at += time.Duration(random.Int64N(int64(1500 * time.Millisecond))) {
			event := crashSoakEvents[random.IntN(len(crashSoakEvents))]
			details := rand.New(rand.NewPCG(seed, uint64(at)))
			time.AfterFunc(at, func() { event(f, details) })
		}
		f.run(t, length, 100)
		f.checkBudget(t)
		f.checkHarmless(t, soakHarmless)
		f.checkNotices(t)
	})
}
