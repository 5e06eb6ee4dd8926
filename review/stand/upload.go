package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// uploadBytes is the length of an upload. The configuration allows 64 MiB.
	uploadBytes = 60 << 20
	// uploads is the number of clients that send one at the same time, in each round.
	uploads      = 6
	uploadRounds = 3
	roundGap     = 6 * time.Second
	// memoryPoll is the time between two looks at the memory of a process.
	memoryPoll = 10 * time.Millisecond
	// maxLost is the number of requests from kept connections that may be lost.
	maxLost = 3

	desk = "desk.example"
	scan = "scan.example"
)

// longUploads has a few clients send long bodies at the same time, within the limits of the
// configuration, while others ask over kept connections. The platform kills a process that
// uses more than its memory.
func longUploads(ctx context.Context, rec *record, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p, err := newPlatform(ctx, rec, []string{"zone-a", "zone-b", "zone-c"}, 3)
	if err != nil {
		return false, err
	}
	defer p.endAll()
	servers, err := p.begin(ctx, load{service: "status", slots: 20, work: 300 * time.Millisecond, routes: []route{
		{name: "r-status", host: desk, prefix: "/status/", kind: "safe", timeout: 2, goal: 0.8},
		{name: "r-scan", host: scan, prefix: "/scan/", kind: "unsafe", timeout: 5, goal: 5},
	}})
	if err != nil {
		return false, err
	}
	kills := &endings{}
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		p.watchMemory(ctx, kills)
	}()
	var tries, long attempts
	for n := range 30 {
		go p.keepAsking(ctx, &tries, n%len(p.zones), desk, request{method: "GET", host: desk, path: "/status/7", wait: 3 * time.Second})
	}
	time.Sleep(4 * time.Second)
	for range uploadRounds {
		if trouble {
			p.uploadAtOnce(ctx, &long)
		}
		time.Sleep(roundGap)
	}
	cancel()
	<-watching

	arrivals := arrivalsOf(servers)
	lost := 0
	for _, e := range tries.all() {
		if e.kept && e.status == 0 && !e.sent.IsZero() && len(arrivals[e.id]) > 0 && kills.cover(e) {
			lost++
			rec.line("check: lost: %s on a kept connection to %s, passed on to %s, connection ended after %.3f s: %v", e.id, e.to, arrivals[e.id][0].server.name, e.ended.Sub(e.sent).Seconds(), e.err)
		}
	}
	rec.line("check: %d processes killed for their memory, %d requests from kept connections lost", len(kills.list), lost)
	fmt.Printf("%d processes killed for their memory, %d requests from kept connections lost\n", len(kills.list), lost)
	return lost > maxLost, nil
}

// uploadAtOnce sends uploads from as many clients at the same time, each over a new
// connection to an address that the directory names.
func (p *platform) uploadAtOnce(ctx context.Context, long *attempts) {
	body := make([]byte, uploadBytes)
	var all sync.WaitGroup
	for n := range uploads {
		list, _ := p.resolve(ctx, n%len(p.zones), scan)
		if len(list) == 0 {
			continue
		}
		all.Go(func() {
			c, err := connect(ctx, list[rand.IntN(len(list))])
			if err != nil {
				return
			}
			defer c.Close()
			e, _ := c.send(p.rec, request{method: "POST", host: scan, path: "/scan/1", body: body, wait: 8 * time.Second})
			long.add(e)
		})
	}
	all.Wait()
}

// endings holds the frontend processes that were killed for their memory.
type endings struct {
	list []ending
}

type ending struct {
	ip string
	at time.Time
}

// cover reports whether e was under way when its machine's process was killed.
func (k *endings) cover(e exchange) bool {
	for _, v := range k.list {
		if v.ip == e.to && e.sent.Before(v.at) && e.ended.Sub(v.at) > -time.Millisecond && e.ended.Sub(v.at) < time.Second {
			return true
		}
	}
	return false
}

// watchMemory kills a frontend process that uses more than the memory of its machine, and
// starts it again, until ctx ends.
func (p *platform) watchMemory(ctx context.Context, kills *endings) {
	most := map[string]int{}
	for ctx.Err() == nil {
		for _, x := range p.edges {
			used := x.anonymousMB()
			if used > most[x.name] {
				most[x.name] = used
			}
			if used <= memoryMB {
				continue
			}
			p.rec.line("platform: %s uses %d MB of %d", x.name, used, memoryMB)
			kills.list = append(kills.list, ending{ip: x.ip, at: time.Now()})
			x.signal(syscall.SIGKILL)
			<-x.ended
			time.Sleep(restartDelay)
			if err := x.start(ctx); err != nil {
				p.rec.line("platform: %v", err)
				return
			}
		}
		time.Sleep(memoryPoll)
	}
	p.rec.line("platform: most memory of each process, MB: %v", most)
}

// anonymousMB returns the memory of the process, in MB, without the pages of files.
func (x *process) anonymousMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", x.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if v, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(v, "kB"))) // the kernel writes a number
			return kb >> 10
		}
	}
	return 0
}
