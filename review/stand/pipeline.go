package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	// inFlight is the number of requests that a pipelining client has under way.
	inFlight = 3
	// shortWork is how long the servers of the case work on a request.
	shortWork = time.Second
	// shortTimeout is the timeout of its route in seconds.
	shortTimeout = 1.5
	ledger       = "ledger.example"
)

// pipelinedStops restarts the frontend machines in turn, while clients pipeline short
// requests, and looks for requests that ran and whose connection was closed.
func pipelinedStops(ctx context.Context, rec *record, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p, err := newPlatform(ctx, rec, []string{"zone-a", "zone-b", "zone-c"}, 3)
	if err != nil {
		return false, err
	}
	defer p.endAll()
	servers, err := p.begin(ctx, load{
		service: "ledger", slots: 60, work: shortWork,
		routes: []route{{name: "r-ledger", host: ledger, prefix: "/ledger/", kind: "safe", timeout: shortTimeout, goal: 0.8}},
	})
	if err != nil {
		return false, err
	}
	var tries attempts
	for n := range 60 {
		go p.keepPipelining(ctx, &tries, n%len(p.zones), n%3 == 0)
	}
	time.Sleep(7 * time.Second)
	stops, err := p.stopInTurn(ctx, trouble)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	return countLost(rec, stops, tries.all(), arrivalsOf(servers), shortTimeout), nil
}

// keepPipelining sends requests until ctx ends, inFlight of them at the same time over one
// connection, to an address that the directory names. It keeps an answer of the directory for
// as long as that says, or three times as long if patient is true.
func (p *platform) keepPipelining(ctx context.Context, tries *attempts, zone int, patient bool) {
	time.Sleep(rand.N(6 * time.Second))
	for ctx.Err() == nil {
		list, ttl := p.resolve(ctx, zone, ledger)
		if len(list) == 0 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if patient {
			ttl *= 3
		}
		until := time.Now().Add(ttl)
		for ctx.Err() == nil && time.Now().Before(until) {
			c, err := connect(ctx, list[rand.IntN(len(list))])
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			c.pipeline(p.rec, tries, until, shortWork/inFlight, func() request {
				return request{method: http.MethodGet, host: ledger, path: "/ledger/2", wait: 3 * time.Second}
			})
			c.Close()
		}
	}
}

// pipeline sends requests on c until the given time, gap apart, inFlight of them at the same time,
// and reads the answers. It returns when all are answered or the connection has ended.
func (c *connection) pipeline(rec *record, tries *attempts, until time.Time, gap time.Duration, draw func() request) {
	var open []exchange
	to, _, _ := net.SplitHostPort(c.RemoteAddr().String()) // an address of a connection is valid
	send := func() error {
		r := draw()
		e := exchange{id: fmt.Sprintf("%016x", rand.Uint64()), to: to, kept: c.used, connected: true, asked: r, began: time.Now(), piped: true}
		c.used = true
		_ = c.SetDeadline(time.Now().Add(r.wait)) // fails only if the connection is closed
		_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Remaining: %d\r\n\r\n", r.path, r.host, e.id, r.wait.Milliseconds())
		e.sent = time.Now()
		open = append(open, e)
		return err
	}
	c.reader = bufio.NewReader(c.Conn)
	var err error
	for err == nil && (len(open) > 0 || time.Now().Before(until)) {
		for err == nil && len(open) < inFlight && time.Now().Before(until) {
			if err = send(); err == nil {
				// Requests follow one another, as those of one page do.
				time.Sleep(gap)
			}
		}
		if err != nil || len(open) == 0 {
			break
		}
		var closes bool
		closes, err = c.readAnswer(&open[0])
		if err == nil {
			tries.add(open[0].finish(rec, open[0].asked))
			open = open[1:]
		}
		if closes {
			// What was sent behind this answer counts as not read, and is sent again.
			tries.skip(open)
			return
		}
	}
	for _, e := range c.readRest(rec, tries, open) {
		e.status, e.err = 0, err
		tries.add(e.finish(rec, e.asked))
	}
}

// readRest reads the answers that came before a write failed, for a client of a soak, and returns the
// requests that have none.
func (c *connection) readRest(rec *record, tries *attempts, open []exchange) []exchange {
	for len(open) > 0 && open[0].asked.limit > 0 {
		closes, err := c.readAnswer(&open[0])
		if err != nil {
			return open
		}
		tries.add(open[0].finish(rec, open[0].asked))
		open = open[1:]
		if closes {
			tries.skip(open)
			return nil
		}
	}
	return open
}
