package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// warmUp and warmUpPerS are those of the configuration.
	warmUp     = 3 * time.Second
	warmUpPerS = 3.7
	// coldBound is the most requests that a cold server may get in one second.
	coldBound = warmUpPerS*1.5 + 5
	// crashRequests is the number of requests in one second at which a cold server crashes: the
	// first beyond the bound, three times its rate.
	crashRequests = 11
	colds         = 12
	coldGap       = 8 * time.Second
	// freshInterval is the time between two bookings of a client.
	freshInterval = 130 * time.Millisecond
)

// coldAgain lets one server after the other become cold again, counts the requests that each
// gets in a second, and looks for bookings that were at work when it crashed. The service doesn't
// tell its load.
func coldAgain(ctx context.Context, rec *record, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p, err := newPlatform(ctx, rec, []string{"zone-a", "zone-b", "zone-c"}, 2)
	if err != nil {
		return false, err
	}
	defer p.endAll()
	servers, err := p.begin(ctx, load{
		service: "book", slots: 3, work: 40 * time.Millisecond, hidesLoad: true,
		routes: []route{{name: "r-book", host: booking, prefix: "/book/", kind: "unsafe", timeout: 1, goal: 0.4}},
	})
	if err != nil {
		return false, err
	}
	var tries attempts
	for n := range 30 {
		go p.keepFresh(ctx, &tries, n%len(p.zones))
	}
	time.Sleep(3 * time.Second)
	broken := 0
	for n := range colds {
		s := servers[n%len(servers)]
		from := time.Now()
		if trouble {
			until := from.Add(warmUp)
			s.coldUntil.Store(&until)
			rec.line("server %s: cold again for %v", s.name, warmUp)
		}
		time.Sleep(coldGap)
		sent := map[string]time.Time{}
		for _, e := range tries.all() {
			sent[e.id] = e.sent
		}
		worst := s.worstSecond(from, from.Add(warmUp), sent)
		if trouble && float64(worst) > coldBound {
			broken++
		}
		rec.line("check: %s got %d requests in one second of its warm-up, %.1f allowed", s.name, worst, coldBound)
	}
	lost := 0
	arrivals := arrivalsOf(servers)
	for _, e := range tries.all() {
		for _, a := range arrivals[e.id] {
			if a.ran && !a.ended && e.status != 200 {
				lost++
				rec.line("check: booking %s ran at %s, which crashed; the client got status %d", e.id, a.server.name, e.status)
			}
		}
	}
	rec.line("check: %d of %d servers got too many requests; %d bookings at work were lost", broken, colds, lost)
	fmt.Printf("%d of %d cold servers got too many requests; %d bookings at work were lost\n", broken, colds, lost)
	return broken > 0, nil
}

// worstSecond returns the most requests that were sent, and arrived at s, inside the same second
// between the two times.
func (s *server) worstSecond(from, to time.Time, sent map[string]time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	worst := 0
	for _, first := range s.arrivals {
		begin := sent[first.id]
		if begin.Before(from) || begin.After(to) {
			continue
		}
		end := begin.Add(time.Second)
		if end.After(to) {
			end = to
		}
		n := 0
		for _, a := range s.arrivals {
			if !sent[a.id].Before(begin) && a.at.Before(end) {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst
}

// keepFresh sends a booking each freshInterval, each over a new connection, until ctx ends.
func (p *platform) keepFresh(ctx context.Context, tries *attempts, zone int) {
	time.Sleep(rand.N(freshInterval))
	var list []string
	var until time.Time
	for ctx.Err() == nil {
		if time.Now().After(until) {
			if fresh, ttl := p.resolve(ctx, zone, booking); len(fresh) > 0 {
				list, until = fresh, time.Now().Add(ttl)
			}
		}
		if len(list) > 0 {
			go func() {
				c, err := connect(ctx, list[rand.IntN(len(list))])
				if err != nil {
					return
				}
				defer c.Close()
				e, _ := c.send(p.rec, request{method: "POST", host: booking, path: "/book/1", body: []byte("one seat"), wait: 2 * time.Second})
				tries.add(e)
			}()
		}
		time.Sleep(freshInterval)
	}
}
