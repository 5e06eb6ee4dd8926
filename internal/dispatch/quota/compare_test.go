package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
)

// The rule that the designs are compared by: in any ruleWindow, the requests of all
// instances together are at most ruleFactor times what the limit allows, plus ruleSlack.
const (
	ruleWindow = 4 * time.Second
	ruleFactor = 1.5
	ruleSlack  = 5
)

// scene is a course of events.
type scene struct {
	name string
	// quiet is the time without requests before they begin.
	quiet time.Duration
	event func(c *comparison, at time.Duration)
}

// comparison runs one design through one scene.
type comparison struct {
	design design
	// all holds all instances.
	all   snipefront.Epoch
	begun time.Time
	// sent holds the times of the requests that were sent, and wanted counts all.
	sent   []time.Duration
	wanted int
}

const (
	// perInstance is the rate of requests that an instance has for the backend server.
	perInstance = 2.5
	sceneLength = 30 * time.Second
	sceneStep   = 100 * time.Millisecond
)

func (c *comparison) now(at time.Duration) time.Time { return c.begun.Add(at) }

// show gives the instances for which seen is true the view without those that left.
func (c *comparison) show(at time.Duration, seen, left func(i int) bool) {
	var view snipefront.Epoch
	for i, n := range c.all.Instances {
		if !left(i) {
			view.Instances = append(view.Instances, n)
		}
	}
	for i := range c.all.Instances {
		if seen(i) {
			c.design.setView(c.now(at), i, view)
		}
	}
}

// run sends requests to random instances and calls the event of s in each sceneStep.
func (c *comparison) run(s scene) {
	random := rand.New(rand.NewPCG(9, 9))
	next := sceneStep
	rate := perInstance * float64(len(c.all.Instances))
	for at := s.quiet; at < s.quiet+sceneLength; at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		for ; next <= at-s.quiet; next += sceneStep {
			if s.event != nil {
				s.event(c, next)
			}
		}
		c.wanted++
		if c.design.take(c.now(at), random.IntN(len(c.all.Instances))) {
			c.sent = append(c.sent, at)
		}
	}
}

// most returns the largest number of requests in a window.
func (c *comparison) most() (n int) {
	for i, from := range c.sent {
		end, _ := slices.BinarySearch(c.sent, from+ruleWindow)
		n = max(n, end-i)
	}
	return n
}

func all(int) bool  { return true }
func none(int) bool { return false }

// scenes are what the designs are compared in.
var scenes = []scene{
	{name: "steady"},
	{name: "after a quiet time", quiet: 10 * time.Minute},
	{name: "views differ", event: func(c *comparison, at time.Duration) {
		// A third of the instances leaves, each 6 s another one, and half of the others
		// see it 2 s later.
		left := func(i int) bool { return i%3 == int(at/(6*time.Second))%3 }
		switch at % (6 * time.Second) {
		case 0:
			c.show(at, func(i int) bool { return i%2 == 0 }, left)
		case 2 * time.Second:
			c.show(at, all, left)
		}
	}},
	{name: "all start again in turn", event: func(c *comparison, at time.Duration) {
		n := len(c.all.Instances)
		first, end := n*int(at-sceneStep)/int(sceneLength), n*int(at)/int(sceneLength)
		for i := first; i < end; i++ {
			c.design.restart(c.now(at), i)
		}
		c.show(at, func(i int) bool { return i >= first && i < end }, none)
	}},
	{name: "a tenth is cut off", event: func(c *comparison, at time.Duration) {
		cut := func(i int) bool { return i%10 == 0 }
		if p, ok := c.design.(*permits); ok && at == 5*time.Second {
			for i, n := range c.all.Instances {
				p.cutOff[n.Name] = cut(i)
			}
		}
		if at == 7*time.Second {
			c.show(at, func(i int) bool { return !cut(i) }, cut)
		}
	}},
}

// TestCompareDesigns compares designs that keep a limit over all instances. It logs, for
// each scene, the largest number of requests in 4 s as a share of what the rule allows,
// and how much of the limit, or of the requests if these are fewer, is used. The design of
// package quota must keep the rule in each scene and use half of the limit in the steady
// one; the test guards against constants that break either.
func TestCompareDesigns(t *testing.T) {
	for _, d := range []struct {
		name   string
		create func(limit float64, all snipefront.Epoch) design
		chosen bool
	}{{"senders", newSenders, true}, {"equal parts", newEqualParts, false}, {"permits", newPermits, false}} {
		for _, instances := range []int{18, 300} {
			for _, limit := range []float64{1, 10, 100, 500} {
				allowed := ruleFactor*limit*ruleWindow.Seconds() + ruleSlack
				row := fmt.Sprintf("| %s | %d | %v |", d.name, instances, limit)
				for _, s := range scenes {
					c := &comparison{all: fleetOf(instances), begun: time.Now()}
					c.design = d.create(limit, c.all)
					c.show(0, all, none)
					c.run(s)
					used := float64(len(c.sent)) / min(limit*sceneLength.Seconds(), float64(c.wanted))
					row += fmt.Sprintf(" %.2f, %.2f |", float64(c.most())/allowed, used)
					if d.chosen && float64(c.most()) > allowed {
						t.Errorf("%s, %d instances, limit %v: %d requests in 4 s, %.0f allowed", s.name, instances, limit, c.most(), allowed)
					}
					if d.chosen && s.name == "steady" && used < 0.5 {
						t.Errorf("%d instances, limit %v: %.2f of it is used", instances, limit, used)
					}
				}
				t.Log(row)
			}
		}
	}
}
