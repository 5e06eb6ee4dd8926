package raft_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var (
	siteSeeds  = flag.Int("siteseeds", 3, "TestSitesUnderRandomEvents: seeds of each kind of site")
	siteLength = flag.Duration("sitelength", 3*time.Minute, "TestSitesUnderRandomEvents: simulated time of each seed")
)

// maxGap is the longest time between two events.
const maxGap = 15 * time.Second

// disturber has a site lose machines at random, no more than it must bear, and has machines
// replaced. Now and then more is lost for some seconds, though never a disk.
type disturber struct {
	*site
	open bool
	// chosen is the next event. It happens at the time next, or later once the site can bear it.
	chosen *siteEvent
	next   time.Time
	// planned is the number of planned replacements that haven't ended.
	planned int
}

// siteEvent is a kind of event. losses is the number of further machines that are lost with it. With
// none, it begins once nothing else is lost.
type siteEvent struct {
	losses int
	begin  func(d *disturber)
}

var closedEvents = []siteEvent{
	{1, (*disturber).killOne},
	{1, (*disturber).wipeOne},
	{1, (*disturber).freezeOne},
	{1, (*disturber).cutOffOne},
	{1, (*disturber).restartOne},
	{2, func(d *disturber) { d.killOne(); d.killOne() }},
	{2, func(d *disturber) { d.wipeOne(); d.freezeOne() }},
	{3, func(d *disturber) { d.killOne(); d.wipeOne(); d.cutOffOne() }},
	{0, (*disturber).splitInHalves},
	{0, (*disturber).restartAll},
}

var openEvents = slices.Concat(closedEvents, []siteEvent{
	{1, (*disturber).replaceLost},
	{1, (*disturber).replaceAsPlanned},
	{1, func(d *disturber) { d.replaceAsPlanned(); d.replaceAsPlanned() }},
	{2, func(d *disturber) { d.replaceLost(); d.replaceAsPlanned() }},
})

// placeEvents are the further ones of a site whose machines are spread over places.
var placeEvents = slices.Concat(openEvents, []siteEvent{{0, (*disturber).losePlace}, {0, (*disturber).losePlace}})

// run disturbs the site for the duration d, and lets it recover.
func (d *disturber) run(length time.Duration) {
	events := closedEvents
	switch {
	case d.places > 0:
		events = placeEvents
	case d.open:
		events = openEvents
	}
	for end := d.now.Add(length); d.now.Before(end) && d.failure == nil; d.advance(step) {
		if d.chosen == nil {
			d.chosen, d.next = &events[d.IntN(len(events))], d.now
			if d.IntN(2) == 0 {
				d.next = d.now.Add(d.upTo(maxGap))
			}
		}
		if d.mayBegin() {
			d.chosen.begin(d)
			d.chosen = nil
		}
	}
	d.advance(2 * recovery)
	d.checkEnd()
}

// mayBegin reports whether the chosen event is due and can be borne. What suspends the service
// begins once nothing else is lost, and nothing begins until the site has recovered from it.
func (d *disturber) mayBegin() bool {
	lost := d.lostMachines() + d.freshMachines()
	switch {
	case d.now.Before(d.next) || d.placeLost || d.suspended || d.now.Before(d.recoverUntil):
		return false
	case d.chosen.losses == 0:
		return lost == 0 && d.planned == 0
	case d.chosen.losses > d.tolerance:
		d.chosen = nil
		return false
	}
	return lost+d.chosen.losses <= d.tolerance
}

// pick returns a machine that isn't lost: the leader every third time, or any.
func (d *disturber) pick() string {
	sound := slices.DeleteFunc(slices.Clone(d.machines), func(n string) bool {
		_, lost := d.lost[n]
		fresh := d.now.Before(d.fresh[n])
		return lost && (d.lost[n].IsZero() || d.now.Before(d.lost[n])) || fresh || d.ending[n] || !d.nodes[n].up
	})
	if l := d.leading(); l != nil && d.IntN(3) == 0 && slices.Contains(sound, l.Name) {
		return l.Name
	}
	return sound[d.IntN(len(sound))]
}

func (d *disturber) killOne() {
	name := d.pick()
	d.kill(name)
	d.after(d.upTo(10*time.Second), func() { d.start(name) })
}

func (d *disturber) wipeOne() {
	name := d.pick()
	d.kill(name)
	d.after(d.upTo(5*time.Second), func() { d.wipe(name) })
}

func (d *disturber) freezeOne() {
	name := d.pick()
	d.note("%s freezes", name)
	d.frozen[name], d.lost[name] = true, time.Time{}
	d.after(d.upTo(15*time.Second), func() {
		d.note("%s wakes", name)
		delete(d.frozen, name)
		d.lost[name] = d.now.Add(catchUp)
	})
}

// cut cuts or joins the links between a and b.
func (d *disturber) cut(a, b string, on bool) {
	if !on {
		delete(d.cutLinks, [2]string{a, b})
		delete(d.cutLinks, [2]string{b, a})
		return
	}
	d.cutLinks[[2]string{a, b}], d.cutLinks[[2]string{b, a}] = true, true
}

func (d *disturber) cutOffOne() {
	name := d.pick()
	d.note("%s is cut off", name)
	others := slices.Clone(d.names)
	for _, n := range others {
		d.cut(name, n, true)
	}
	d.lost[name] = time.Time{}
	d.after(d.upTo(15*time.Second), func() {
		d.note("%s is joined", name)
		for _, n := range others {
			d.cut(name, n, false)
		}
		d.lost[name] = d.now.Add(catchUp)
	})
}

// restartOne restarts a machine as planned.
func (d *disturber) restartOne() {
	name := d.pick()
	d.lost[name] = time.Time{}
	d.terminate(name, func() {
		d.crash(d.nodes[name])
		d.after(d.upTo(5*time.Second), func() { d.start(name) })
	})
}

// replaceLost has a machine lost for good, and another one come.
func (d *disturber) replaceLost() {
	name := d.pick()
	d.remove(name, "")
	d.after(d.upTo(3*time.Second), func() {
		delete(d.lost, name)
		d.note("%s succeeds %s", d.addNext(), name)
	})
}

// replaceAsPlanned has a machine come, and then another one end as planned. That stops to count
// when it has ended.
func (d *disturber) replaceAsPlanned() {
	next := d.addNext()
	d.note("%s is added", next)
	d.fresh[next] = d.lost[next]
	delete(d.lost, next)
	d.planned++
	d.after(time.Second+d.upTo(2*catchUp), func() {
		name := d.pick()
		d.terminate(name, func() {
			d.remove(name, next)
			d.planned--
		})
	})
}

// splitInHalves cuts one half of the machines off from the others for some seconds.
func (d *disturber) splitInHalves() {
	d.note("split")
	d.split = true
	list := slices.Clone(d.machines)
	d.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	half := len(list) / 2
	join := func(on bool) {
		for _, a := range list[:half] {
			for _, b := range list[half:] {
				d.cut(a, b, on)
			}
		}
	}
	join(true)
	d.after(d.upTo(10*time.Second), func() {
		d.note("joined")
		d.split = false
		join(false)
	})
}

// losePlace has all machines of one place lose power for a while.
func (d *disturber) losePlace() {
	place, back := d.IntN(d.places), time.Second+d.upTo(maxGap)
	for _, name := range slices.Clone(d.machines) {
		if d.place[name] == place {
			d.kill(name)
			d.after(back, func() { d.start(name) })
			d.placeLost = true
		}
	}
	d.after(back+catchUp, func() { d.placeLost = false })
}

// restartAll kills all processes at once. They are back within a second.
func (d *disturber) restartAll() {
	for _, name := range slices.Clone(d.machines) {
		d.kill(name)
		d.after(d.upTo(time.Second), func() { d.start(name) })
	}
}

// checkEnd checks that the members are the machines of the site, and as many of them voters as may.
func (d *disturber) checkEnd() {
	d.checkChanges()
	l := d.leading()
	if l == nil {
		d.fail("no leader at the end")
		return
	}
	members, voters := l.MemberNames(), l.Quorum().Voters
	gone := slices.DeleteFunc(slices.Clone(members), func(n string) bool { return slices.Contains(d.machines, n) })
	want := len(d.machines)
	if d.open {
		want = min(want, d.maxVoters())
	}
	switch _, most := d.mostVoters(); {
	case d.failure != nil:
	case d.places > 2 && most > d.maxVoters()/2:
		d.fail("a place has %d of the voters %v at the end", most, voters)
	case len(members)-len(gone) != len(d.machines):
		d.fail("the members are %v at the end, want %v among them", members, d.machines)
	case len(gone) == 1 && len(voters) == want+1 && len(voters)%2 == 1 && slices.Contains(voters, gone[0]):
		// One that is gone stays a voter if there is an odd number.
	case len(gone) > 0 || len(voters) != want:
		d.fail("the voters are %v at the end of the members %v, want %d of %v", voters, members, want, d.machines)
	}
}

// TestSitesUnderRandomEvents guards against a control quorum that doesn't take orders though no
// more is lost than it must bear, against the loss of acknowledged orders, and against two leaders
// and hasty changes of the members, under random events two at a time: processes killed, frozen,
// cut off and restarted, disks lost, machines replaced with and without notice, places lost, splits
// in halves and restarts of all.
func TestSitesUnderRandomEvents(t *testing.T) {
	for _, k := range []struct {
		machines, tolerance, places int
		open                        bool
	}{{3, 1, 0, true}, {4, 1, 0, true}, {5, 1, 0, true}, {5, 2, 0, true}, {7, 2, 0, true}, {12, 2, 4, true}, {9, 3, 0, true}, {3, 1, 0, false}, {5, 2, 0, false}} {
		name := fmt.Sprintf("%d machines, tolerance %d, places %d, open %v", k.machines, k.tolerance, k.places, k.open)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*siteSeeds) {
				d := &disturber{site: newSite(seed, k.machines, k.tolerance, k.open), open: k.open}
				d.spreadOver(k.places)
				d.run(*siteLength)
				d.report(t, fmt.Sprintf("seed %d", seed))
			}
		})
	}
}
