package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// drainTime is the time for which a server that leaves serves after the acknowledgement, and
	// drainWait the time for which it waits for that.
	drainTime = 2 * time.Second
	drainWait = 5 * time.Second
	// applyTime is the time after which an acknowledged configuration is in force.
	applyTime = 2 * time.Second
	// readInterval is the time between two reads of the configuration.
	readInterval = 400 * time.Millisecond
	stormSize    = 6
)

// drain lets b leave as planned: it says so, serves on, deregisters, ends and comes again.
func (s *soakRun) drain(ctx context.Context, b *server, r *rand.Rand) {
	t := b.trouble
	t.mu.Lock()
	busy := t.draining || b.down.Load()
	t.draining = true
	t.mu.Unlock()
	if busy {
		return
	}
	s.rec.line("server %s: drains", b.name)
	for end := time.Now().Add(drainWait); time.Now().Before(end) && !t.hasLeft(); {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(drainTime + draw(r, 3*time.Second))
	if !b.down.CompareAndSwap(false, true) {
		return
	}
	for _, address := range s.p.controls() {
		status, err := post(context.WithoutCancel(ctx), address, "/v1/instances/"+b.name+"/deregister", fmt.Sprintf(`{"born":%d}`, b.born.Load()))
		if err == nil && status/100 == 2 {
			break
		}
	}
	after := time.Second + draw(r, time.Second)
	t.breakOff(time.Now().Add(after))
	s.rec.line("server %s: leaves for %v", b.name, after)
	b.end(context.WithoutCancel(ctx), after)
}

func (t *trouble) hasLeft() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.draining || !t.left.IsZero()
}

// routes returns the routes of a configuration of a soak. Both timeouts are those that the checks
// rely on, or longer.
func (s *soakRun) routes(n int) []route {
	more := float64(n%3) / 2
	list := []route{
		{name: "r-book", host: bookHost, prefix: bookPrefix, kind: "unsafe", timeout: bookTimeout.Seconds() + more, goal: 1 + more},
		{name: "r-ledger", host: readHost, prefix: readPrefix, kind: "safe", timeout: readTimeout.Seconds() + more, goal: 1},
	}
	for i := range n % 4 {
		list = append(list, route{name: fmt.Sprintf("r-more%d", i), host: fmt.Sprintf("more%d.example", i), prefix: "/more/", kind: "safe", timeout: 1, goal: 1})
	}
	return list
}

// shuffled returns the control interfaces in an order that r draws.
func (s *soakRun) shuffled(r *rand.Rand) []string {
	list := s.p.controls()
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// configure sends a new configuration.
func (s *soakRun) configure(ctx context.Context, r *rand.Rand) {
	s.mu.Lock()
	s.newest += 1 + r.IntN(3)
	version := s.newest
	s.mu.Unlock()
	s.send(ctx, "/v1/configuration/replace", configuration(version, "book", s.routes(version)), s.shuffled(r), func() {
		s.versions = append(s.versions, acknowledged{version, time.Now()})
	})
}

// send sends an order, and calls then, with the lock held, once it is acknowledged.
func (s *soakRun) send(ctx context.Context, path, body string, controls []string, then func()) {
	err := s.p.order(context.WithoutCancel(ctx), controls, path, body)
	switch {
	case err == nil:
		s.mu.Lock()
		defer s.mu.Unlock()
		then()
	case strings.Contains(err.Error(), "refused"):
		s.finding("CONFIG", "%v at %.3f", err, s.rec.seconds(time.Now()))
	default:
		s.rec.line("operator: %v", err)
	}
}

// storm sends several configurations at the same time.
func (s *soakRun) storm(ctx context.Context, r *rand.Rand) {
	var all sync.WaitGroup
	for range stormSize {
		own := rand.New(rand.NewPCG(r.Uint64(), 0))
		all.Go(func() { s.configure(ctx, own) })
		time.Sleep(draw(r, 100*time.Millisecond))
	}
	all.Wait()
}

// evacuate takes a data centre out of service for some time.
func (s *soakRun) evacuate(ctx context.Context, r *rand.Rand) {
	select {
	case s.evacuating <- struct{}{}:
	default:
		return
	}
	defer func() { <-s.evacuating }()
	zone := s.p.zones[r.IntN(len(s.p.zones))]
	var from time.Time
	s.send(ctx, "/v1/evacuations/"+zone+"/begin", "", s.shuffled(r), func() { from = time.Now() })
	rest(ctx, draw(r, evacuation+outer+6*time.Second))
	if !from.IsZero() {
		s.mu.Lock()
		s.evacuations = append(s.evacuations, evacuated{zone, span{from, time.Now()}})
		s.mu.Unlock()
	}
	s.send(ctx, "/v1/evacuations/"+zone+"/finish", "", s.shuffled(r), func() {})
}

// readConfigurations reads the configuration at control instances in turn until ctx ends. No answer
// may be older than what was acknowledged applyTime before.
func (s *soakRun) readConfigurations(ctx context.Context) {
	controls := s.p.controls()
	got := 0
	for n := 0; ctx.Err() == nil; n++ {
		at := time.Now()
		address := controls[n%len(controls)]
		if version, err := readConfiguration(ctx, address); err == nil {
			got = version
			if want := s.acknowledgedBefore(at.Add(-applyTime)); version < want {
				s.finding("CONFIG", "%s answered at %.3f with version %d, %d was acknowledged over %v before", address, s.rec.seconds(at), version, want, applyTime)
			}
		}
		rest(ctx, readInterval)
	}
	if want := s.acknowledgedBefore(time.Now()); got < want {
		s.finding("CONFIG", "the last version read is %d, %d was acknowledged", got, want)
	}
}

// acknowledgedBefore returns the highest version that was acknowledged before the given time.
func (s *soakRun) acknowledgedBefore(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := 0
	for _, v := range s.versions {
		if v.at.Before(t) {
			newest = max(newest, v.version)
		}
	}
	return newest
}

// readConfiguration returns the version that a control instance names.
func readConfiguration(ctx context.Context, address string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := newRequest(ctx, http.MethodGet, "http://"+address+"/v1/configuration/read", "")
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	var a struct {
		Version string `json:"version"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return 0, err
	}
	var version int
	_, err = fmt.Sscanf(a.Version, "r%d", &version)
	return version, err
}

// isOut reports whether the data centre was out of service for longer than the bound of an
// evacuation allows requests there.
func (s *soakRun) isOut(zone string, at time.Time) bool {
	return slices.ContainsFunc(s.evacuations, func(e evacuated) bool {
		return e.zone == zone && at.After(e.from.Add(evacuation+outer)) && at.Before(e.to)
	})
}
