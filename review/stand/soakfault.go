package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// faultKind is a kind of fault and how often it is drawn.
type faultKind struct {
	name   string
	weight int
	do     func(*soakRun, context.Context, *rand.Rand)
}

func faultKinds() []faultKind {
	return []faultKind{
		{"stop of an edge", 30, (*soakRun).stopEdge},
		{"SIGHUP", 8, (*soakRun).hangUp},
		{"change of settings", 6, (*soakRun).changeSettings},
		{"freeze of an edge", 5, (*soakRun).freezeEdge},
		{"kill of an edge", 4, (*soakRun).killEdge},
		{"fault of the core", 10, (*soakRun).harmCore},
		{"configuration", 8, (*soakRun).configure},
		{"storm of configurations", 3, (*soakRun).storm},
		{"evacuation", 4, (*soakRun).evacuate},
		{"fault of a server", 30, (*soakRun).harmServer},
	}
}

const (
	// mostFaultGap is the longest time between the begins of two faults.
	mostFaultGap = 900 * time.Millisecond
	// startTime is the time that a process takes to start.
	startTime = 40 * time.Millisecond
	// mostFreeze is the longest time for which a process stands still.
	mostFreeze = 5 * time.Second
	// catchUp is the time after which a process of the core that is back counts as such.
	catchUp = 4 * time.Second
)

// inject lets faults come until ctx ends, each beside those that last, and waits for their ends.
// The seed decides the kind, the time and the course of each.
func (s *soakRun) inject(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.seed, 1<<32))
	kinds := faultKinds()
	sum := 0
	for _, k := range kinds {
		sum += k.weight
	}
	var all sync.WaitGroup
	for n := uint64(0); ctx.Err() == nil; n++ {
		i, v := 0, r.IntN(sum)
		for ; v >= kinds[i].weight; i++ {
			v -= kinds[i].weight
		}
		own := rand.New(rand.NewPCG(s.seed, 1<<33+n))
		s.rec.line("soak: fault %d: %s", n, kinds[i].name)
		all.Go(func() { kinds[i].do(s, ctx, own) })
		rest(ctx, draw(r, mostFaultGap))
	}
	all.Wait()
}

// draw returns a time below the given one.
func draw(r *rand.Rand, below time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(below)))
}

// take returns one of the processes that nobody disrupts, and holds it, or nil.
func take(r *rand.Rand, list []*process, bound chan struct{}) *process {
	select {
	case bound <- struct{}{}:
	default:
		return nil
	}
	first := r.IntN(len(list))
	for i := range list {
		if x := list[(first+i)%len(list)]; x.hold.TryLock() {
			return x
		}
	}
	<-bound
	return nil
}

func release(x *process, bound chan struct{}) {
	x.hold.Unlock()
	<-bound
}

// stopEdge stops an edge as planned and starts it again, twice at times, with further signals
// before, at and after the stop.
func (s *soakRun) stopEdge(ctx context.Context, r *rand.Rand) {
	x := take(r, s.p.edges, s.edges)
	if x == nil {
		return
	}
	defer release(x, s.edges)
	for range r.IntN(3) {
		s.hup(x)
		time.Sleep(draw(r, 50*time.Millisecond))
	}
	s.stop(ctx, x, r)
	if r.IntN(3) == 0 {
		time.Sleep(draw(r, startTime))
		s.hup(x)
	}
	if r.IntN(4) == 0 {
		time.Sleep(draw(r, 600*time.Millisecond))
		s.stop(ctx, x, r)
	}
}

// stop stops x as planned and starts it again.
func (s *soakRun) stop(ctx context.Context, x *process, r *rand.Rand) {
	var further []lateSignal
	switch r.IntN(4) {
	case 0:
		further = []lateSignal{{syscall.SIGTERM, draw(r, 4*time.Second)}}
	case 1:
		further = []lateSignal{{syscall.SIGHUP, draw(r, time.Second)}, {syscall.SIGHUP, draw(r, 3*time.Second)}}
	}
	s.look(ctx, x)
	d := s.begin("planned stop", true, x)
	x.terminate(further)
	s.lookAtEnd(x)
	s.startAgain(ctx, x)
	s.finish(d)
}

// lookAtEnd looks how a process has ended that was to stop.
func (s *soakRun) lookAtEnd(x *process) {
	w, ok := x.cmd.ProcessState.Sys().(syscall.WaitStatus)
	switch {
	case ok && w.Signaled() && w.Signal() == syscall.SIGHUP:
		s.endedByItself(x)
	case ok && w.Signaled():
		s.did("stop ended by " + w.Signal().String())
	}
}

// did counts something that was done.
func (s *soakRun) did(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally[what]++
}

// hup sends SIGHUP to x.
func (s *soakRun) hup(x *process) {
	s.mu.Lock()
	s.hups = append(s.hups, disruption{what: "SIGHUP", x: x, from: time.Now()})
	s.tally["SIGHUP"]++
	s.mu.Unlock()
	x.signal(syscall.SIGHUP)
}

func (s *soakRun) hangUp(_ context.Context, r *rand.Rand) {
	all := s.p.all()
	if x := all[r.IntN(len(all))]; x.hold.TryLock() {
		s.hup(x)
		x.hold.Unlock()
	}
}

// changeSettings adds to the settings file of a process, with SIGHUP or without.
func (s *soakRun) changeSettings(_ context.Context, r *rand.Rand) {
	all := s.p.all()
	x := all[r.IntN(len(all))]
	if !x.hold.TryLock() {
		return
	}
	defer x.hold.Unlock()
	f, err := os.OpenFile(x.boot, os.O_APPEND|os.O_WRONLY, 0)
	if err == nil {
		_, err = fmt.Fprintf(f, "bounds.probesPerS=%d\nsoak.added=%d\n", 50+r.IntN(10), r.Uint32())
		f.Close()
	}
	if err != nil {
		s.rec.line("platform: %v", err)
	}
	if r.IntN(2) == 0 {
		s.hup(x)
	}
}

func (s *soakRun) freezeEdge(_ context.Context, r *rand.Rand) {
	if x := take(r, s.p.edges, s.edges); x != nil {
		s.freeze(x, draw(r, mostFreeze))
		release(x, s.edges)
	}
}

// freeze lets x stand still for d.
func (s *soakRun) freeze(x *process, d time.Duration) {
	v := s.begin("freeze", false, x)
	x.signal(syscall.SIGSTOP)
	time.Sleep(d)
	x.signal(syscall.SIGCONT)
	s.finish(v)
}

func (s *soakRun) killEdge(ctx context.Context, r *rand.Rand) {
	if x := take(r, s.p.edges, s.edges); x != nil {
		d := s.begin("kill", false, x)
		s.kill(ctx, x)
		s.finish(d)
		release(x, s.edges)
	}
}

// harmCore stops, kills or freezes a control instance or a directory, one at a time.
func (s *soakRun) harmCore(ctx context.Context, r *rand.Rand) {
	var list []*process
	list = append(list, s.p.cores...)
	x := take(r, append(list, s.p.locates...), s.cores)
	if x == nil {
		return
	}
	switch r.IntN(4) {
	case 0, 1:
		s.stop(ctx, x, r)
	case 2:
		s.freeze(x, draw(r, mostFreeze))
	case 3:
		d := s.begin("kill", false, x)
		s.kill(ctx, x)
		s.finish(d)
	}
	x.hold.Unlock()
	rest(ctx, catchUp)
	<-s.cores
}

// harmServer does something to a backend server, or lets it leave.
func (s *soakRun) harmServer(ctx context.Context, r *rand.Rand) {
	b := s.servers[r.IntN(len(s.servers))]
	d := 300*time.Millisecond + draw(r, 3*time.Second)
	moods := []mood{refuses, silent, resets, closes, cutsBody, cutsHead, slow, repeats}
	n := r.IntN(len(moods) + 6)
	if n < len(moods) {
		s.did("server " + string(moods[n]))
		s.rec.line("server %s: %s for %v", b.name, moods[n], d)
		b.trouble.set(moods[n], d)
		return
	}
	s.did([]string{"server crashes", "server drains", "server cold", "connections reset", "connections silent", "connections slow"}[n-len(moods)])
	switch n - len(moods) {
	case 0:
		b.trouble.breakOff(time.Now().Add(crashTime))
		b.crash(context.WithoutCancel(ctx))
	case 1:
		s.drain(ctx, b, r)
	case 2:
		s.rec.line("server %s: cold again for %v", b.name, warmUp)
		until := time.Now().Add(warmUp)
		b.coldUntil.Store(&until)
	case 3:
		s.rec.line("server %s: connections reset", b.name)
		b.trouble.resetWires()
	case 4:
		s.rec.line("server %s: connections silent", b.name)
		b.trouble.silenceWires()
	case 5:
		s.rec.line("server %s: connections delayed for %v", b.name, d)
		b.trouble.delay.Store(int64(draw(r, 300*time.Millisecond)))
		time.Sleep(d)
		b.trouble.delay.Store(0)
	}
}
