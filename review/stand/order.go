package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// staleOrder freezes control instances, one after the other, while two operators take the
// evacuations of two zones back and then evacuate the same zones again, and looks for requests
// at the evacuated servers.
func staleOrder(ctx context.Context, rec *record, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p, err := newPlatform(ctx, rec, []string{"zone-a", "zone-b", "zone-c", "zone-d"}, 4)
	if err != nil {
		return false, err
	}
	defer p.endAll()
	const host = "desk.example"
	servers, err := p.begin(ctx, load{
		service: "status", slots: 2, work: 20 * time.Millisecond,
		routes: []route{{name: "r-status", host: host, prefix: "/status/", kind: "safe", timeout: 0.8, goal: 0.3}},
	})
	if err != nil {
		return false, err
	}
	var tries attempts
	for zone := range p.zones {
		for range 2 {
			go p.keepAsking(ctx, &tries, zone, host, request{method: "GET", host: host, path: "/status/7", wait: 1500 * time.Millisecond})
		}
	}
	time.Sleep(3 * time.Second)

	late := 0
	// The first instance starts the control quorum and leads it. A leader that freezes is replaced
	// by another one, so the others freeze.
	for _, frozen := range []int{2, 3, 1} {
		n, err := p.freezeOnce(ctx, &tries, servers, frozen, trouble)
		if err != nil {
			return false, err
		}
		late += n
	}
	fmt.Printf("%d requests reached the evacuated zones after the bound\n", late)
	return late > 0, nil
}

// freezeOnce evacuates two zones, freezes one control instance while the operators change their
// minds, and returns the number of requests that reached the evacuated servers after the bound.
func (p *platform) freezeOnce(ctx context.Context, tries *attempts, servers []*server, frozen int, trouble bool) (int, error) {
	evacuated := []string{"zone-a", "zone-b"}
	first, others := p.controls()[frozen], slices.Delete(p.controls(), frozen, frozen+1)
	// The operators pick any of the instances; here they pick the one first that freezes later.
	controls := append([]string{first}, others...)
	if err := p.orderAll(ctx, controls, evacuated, "begin"); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	thaw := time.Now().Add(freezeTime)
	if trouble {
		p.cores[frozen].signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() { p.cores[frozen].signal(syscall.SIGCONT) })
	}
	time.Sleep(100 * time.Millisecond)
	var acknowledged time.Time
	for range changesOfMind {
		if err := p.orderAll(ctx, controls, evacuated, "finish"); err != nil {
			return 0, err
		}
		time.Sleep(100 * time.Millisecond)
		if err := p.orderAll(ctx, others, evacuated, "begin"); err != nil {
			return 0, err
		}
		acknowledged = time.Now()
		time.Sleep(100 * time.Millisecond)
	}
	// The core is unstable until connectWindow after the thaw, which stretches the bound of
	// an evacuation by outer at most.
	bound := acknowledged.Add(evacuation + outer)
	if touch := thaw.Add(connectWindow + outer); touch.After(bound) {
		bound = touch
	}
	time.Sleep(time.Until(bound.Add(4 * time.Second)))

	sent := map[string]time.Time{}
	for _, e := range tries.all() {
		sent[e.id] = e.sent
	}
	late := 0
	for id, list := range arrivalsOf(servers) {
		for _, a := range list {
			if slices.Contains(evacuated, a.server.zone) && a.at.After(bound) && sent[id].After(bound) {
				late++
			}
		}
	}
	p.rec.line("check: %v were evacuated at %.3f; %d requests reached their servers after %.3f", evacuated, p.rec.seconds(acknowledged), late, p.rec.seconds(bound))
	return late, nil
}

// orderAll sends the order to begin or finish the evacuation of several zones at the same
// time, and waits until all are acknowledged.
func (p *platform) orderAll(ctx context.Context, controls, zones []string, verb string) error {
	var all sync.WaitGroup
	errs := make([]error, len(zones))
	for i, zone := range zones {
		all.Go(func() { errs[i] = p.order(ctx, controls, "/v1/evacuations/"+zone+"/"+verb, "") })
	}
	all.Wait()
	return errors.Join(errs...)
}

const (
	// freezeTime is how long a control instance stands still.
	freezeTime = 4 * time.Second
	// changesOfMind is how often the operators take the evacuations back and begin them again
	// in that time.
	changesOfMind = 3
)

// keepAsking sends r again and again over kept connections, to the addresses that the
// directory names, until ctx ends.
func (p *platform) keepAsking(ctx context.Context, tries *attempts, zone int, host string, r request) {
	var list []string
	var until time.Time
	var c *connection
	for ctx.Err() == nil {
		if time.Now().After(until) {
			if fresh, ttl := p.resolve(ctx, zone, host); len(fresh) > 0 {
				list, until = fresh, time.Now().Add(ttl)
			}
			if c != nil {
				c.Close()
				c = nil
			}
		}
		if len(list) == 0 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if c == nil {
			var err error
			if c, err = connect(ctx, list[rand.IntN(len(list))]); err != nil {
				c = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		e, open := c.send(p.rec, r)
		tries.add(e)
		if !open {
			c.Close()
			c = nil
		}
		time.Sleep(80 * time.Millisecond)
	}
	if c != nil {
		c.Close()
	}
}
