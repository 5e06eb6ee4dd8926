package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// slowWork is how long the servers of the case work on a request, and slowTimeout the
	// timeout of its route.
	slowWork    = 2200 * time.Millisecond
	slowTimeout = 2.5
	// lastSend is the time after SIGTERM up to which a request that is still at work in the
	// last sixth of the grace period is excused.
	lastSend = 3 * time.Second
	booking  = "book.example"
)

// stopped is a planned stop of a frontend machine.
type stopped struct {
	x    *process
	from time.Time
	ip   string
}

// plannedStops restarts the frontend machines in turn, while clients send bookings that
// take over two seconds, and looks for bookings that ran and whose connection was closed.
func plannedStops(ctx context.Context, rec *record, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p, err := newPlatform(ctx, rec, []string{"zone-a", "zone-b", "zone-c"}, 3)
	if err != nil {
		return false, err
	}
	defer p.endAll()
	servers, err := p.begin(ctx, load{
		service: "book", slots: 60, work: slowWork,
		routes: []route{{name: "r-book", host: booking, prefix: "/book/", kind: "unsafe", timeout: slowTimeout, goal: slowTimeout}},
	})
	if err != nil {
		return false, err
	}
	var tries attempts
	for n := range 45 {
		go p.keepBooking(ctx, &tries, n%len(p.zones), n%3 == 0)
	}
	time.Sleep(7 * time.Second)
	stops, err := p.stopInTurn(ctx, trouble)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	return countLost(rec, stops, tries.all(), arrivalsOf(servers), slowTimeout), nil
}

// stopInTurn restarts each frontend machine twice, one at a time. Without trouble it only
// lets time pass.
func (p *platform) stopInTurn(ctx context.Context, trouble bool) ([]stopped, error) {
	var stops []stopped
	for range 2 {
		for _, x := range p.edges {
			if !trouble {
				time.Sleep(8 * time.Second)
				continue
			}
			stops = append(stops, stopped{x: x, from: time.Now(), ip: x.ip})
			if err := x.restart(ctx); err != nil {
				return nil, err
			}
			if err := p.awaitReady(ctx, 10*time.Second); err != nil {
				return nil, err
			}
			time.Sleep(connectWindow)
		}
	}
	return stops, nil
}

// countLost reports whether a request was lost around a planned stop: it had been passed on
// to a server, and its connection ended without an answer, well before its deadline and
// the timeout of its route, in seconds. One that was sent up to lastSend after SIGTERM is excused.
func countLost(rec *record, stops []stopped, list []exchange, arrivals map[string][]arrival, timeoutS float64) bool {
	lost, excused := 0, 0
	for _, e := range list {
		if e.status != 0 || !e.connected || e.sent.IsZero() || len(arrivals[e.id]) == 0 || e.ended.Sub(e.sent) >= time.Duration(timeoutS*float64(time.Second))-lossSlack {
			continue
		}
		for _, s := range stops {
			after := e.sent.Sub(s.from)
			if s.ip != e.to || e.ended.Before(s.from) || e.ended.Sub(s.from) > grace+time.Second {
				continue
			}
			if after <= lastSend {
				excused++
				continue
			}
			lost++
			rec.line("check: lost: %s, sent %.3f s after SIGTERM of %s, ran at %s, connection ended after %.3f s: %v", e.id, after.Seconds(), s.x.name, arrivals[e.id][0].server.name, e.ended.Sub(e.sent).Seconds(), e.err)
		}
	}
	rec.line("check: %d requests lost, %d more were sent within %v of SIGTERM", lost, excused, lastSend)
	fmt.Printf("%d of %d requests lost around planned stops\n", lost, len(list))
	return lost > 0
}

// keepBooking sends a booking each bookingInterval, each over a new connection, until ctx ends. It
// keeps an answer of the directory for as long as that says, or three times as long if
// patient is true.
func (p *platform) keepBooking(ctx context.Context, tries *attempts, zone int, patient bool) {
	var list []string
	var until time.Time
	failed := map[string]bool{}
	time.Sleep(rand.N(6 * time.Second))
	for ctx.Err() == nil {
		if time.Now().After(until) {
			if fresh, ttl := p.resolve(ctx, zone, booking); len(fresh) > 0 {
				if patient {
					ttl *= 3
				}
				list, until = fresh, time.Now().Add(ttl)
				clear(failed)
			}
		}
		var usable []string
		for _, a := range list {
			if !failed[a] {
				usable = append(usable, a)
			}
		}
		if len(usable) > 0 {
			a := usable[rand.IntN(len(usable))]
			c, err := connect(ctx, a)
			if err != nil {
				failed[a] = true
				continue
			}
			go func() {
				defer c.Close()
				e, _ := c.send(p.rec, request{method: "POST", host: booking, path: "/book/1", body: []byte("one seat"), wait: 5 * time.Second})
				tries.add(e)
			}()
		}
		time.Sleep(bookingInterval)
	}
}

// bookingInterval is the time between two bookings of a client.
const bookingInterval = 300 * time.Millisecond
