package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// soakStart is the time in which clients come, and soakQuiet the time without new faults at the
	// end, in which all instances get in touch.
	soakStart = 3 * time.Second
	soakQuiet = connectWindow + 2*time.Second
	// soakLength is the time in which faults come, if LENGTH says nothing.
	soakLength = 40 * time.Second
	// recovery is the time after which all instances serve again.
	recovery = 15 * time.Second
	// ownEndSlack is the time after a start within which an end doesn't count as one by itself.
	ownEndSlack = time.Second
	// watchInterval is the time between two looks at the processes.
	watchInterval = 200 * time.Millisecond
	// callersPerEdge is the number of clients for each edge, up to mostCallers in all.
	callersPerEdge = 16
	mostCallers    = 300
	// mostEdges is the number of edges for which there are addresses.
	mostEdges = 180
	// soakSlots is the number of requests that a server runs at once.
	soakSlots = 60
)

// options are those of a soak.
type options struct {
	seed   uint64
	length time.Duration
	edges  int
}

// soakOptions reads the options of a soak from the environment.
func soakOptions() options {
	number := func(name string, otherwise uint64) uint64 {
		if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
			return n
		}
		return otherwise
	}
	length, err := time.ParseDuration(os.Getenv("LENGTH"))
	if err != nil {
		length = soakLength
	}
	return options{seed: number("SEED", 1), length: length, edges: int(min(number("EDGES", 9), mostEdges))}
}

// disruption is what a soak did to a process. A planned one begins with SIGTERM.
type disruption struct {
	what    string
	planned bool
	x       *process
	from    time.Time
	// to is when the process ran again, or zero while it doesn't.
	to time.Time
}

// soakRun is one soak.
type soakRun struct {
	options
	p       *platform
	rec     *record
	servers []*server
	tries   attempts
	// edges, cores and evacuating bound how many edges, and how many other processes, are disrupted
	// at the same time, and how many data centres are out of service.
	edges, cores, evacuating chan struct{}

	mu          sync.Mutex
	disruptions []*disruption
	hups        []disruption
	versions    []acknowledged
	newest      int
	evacuations []evacuated
	findings    int
	tally       map[string]int
}

// acknowledged is a configuration that was acknowledged.
type acknowledged struct {
	version int
	at      time.Time
}

// evacuated is an evacuation, from its acknowledgement to its withdrawal.
type evacuated struct {
	zone string
	span
}

// soak runs all programs for some time while it harms them as its seed says, and checks what
// clients, servers and the operator see.
func soak(ctx context.Context, rec *record, trouble bool) (bool, error) {
	o := soakOptions()
	p, err := newPlatform(ctx, rec, []string{"zone-a", "zone-b", "zone-c"}, o.edges)
	if err != nil {
		return false, err
	}
	s := &soakRun{options: o, p: p, rec: rec, tally: map[string]int{}, newest: 1}
	s.edges, s.cores, s.evacuating = make(chan struct{}, max(1, o.edges/3)), make(chan struct{}, 1), make(chan struct{}, 1)
	defer func() {
		p.keep = s.findings > 0
		p.endAll()
	}()
	err = s.run(ctx, trouble)
	if err != nil {
		return false, err
	}
	s.check()
	return s.findings > 0, nil
}

// run starts all, lets faults and clients come, and returns when all have ended.
func (s *soakRun) run(ctx context.Context, trouble bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var err error
	s.servers, err = s.p.begin(ctx, load{service: "book", slots: soakSlots, troubled: true, routes: s.routes(0)})
	if err != nil {
		return err
	}
	s.versions = []acknowledged{{1, time.Now()}}
	end := time.Now().Add(soakStart + s.length)
	faulty, stopFaults := context.WithDeadline(ctx, end)
	defer stopFaults()
	asking, stopAsking := context.WithDeadline(ctx, end.Add(soakQuiet))
	defer stopAsking()
	var clients, others sync.WaitGroup
	long := 2 + int(s.seed%10)
	for n := range min(callersPerEdge*s.options.edges, mostCallers) {
		c := &caller{p: s.p, tries: &s.tries, r: rand.New(rand.NewPCG(s.seed, uint64(n))), zone: n % len(s.p.zones),
			patient: n%2 == 0, keeps: n%16 < 5, pipes: n%16 > 12, long: long}
		clients.Go(func() { c.run(asking) })
	}
	others.Go(func() { s.watch(asking) })
	others.Go(func() { s.readConfigurations(asking) })
	rest(ctx, soakStart)
	if trouble {
		s.inject(faulty)
	}
	if err := s.p.awaitReady(ctx, recovery); err != nil {
		s.finding("RECOVER", "%v %v after the last fault", err, recovery)
	}
	clients.Wait()
	others.Wait()
	return ctx.Err()
}

// watch looks for processes that end by themselves, which it starts again, and for such as use too
// much memory, until ctx ends.
func (s *soakRun) watch(ctx context.Context) {
	for ; ctx.Err() == nil; rest(ctx, watchInterval) {
		for _, x := range s.p.all() {
			if x.hold.TryLock() {
				s.look(ctx, x)
				x.hold.Unlock()
			}
		}
	}
}

// look looks at one process.
func (s *soakRun) look(ctx context.Context, x *process) {
	select {
	case <-x.ended:
		s.endedByItself(x)
		d := s.begin("ended by itself", false, x)
		if err := x.start(ctx); err != nil {
			s.rec.line("platform: %v", err)
		}
		s.finish(d)
	default:
	}
	if used := x.anonymousMB(); used > memoryMB {
		s.finding("MEMORY", "%s uses %d MB of %d", x.name, used, memoryMB)
		d := s.begin("killed for its memory", false, x)
		s.kill(ctx, x)
		s.finish(d)
	}
}

// endedByItself reports a process that has ended by itself, unless it had only just started.
func (s *soakRun) endedByItself(x *process) {
	s.mu.Lock()
	started := slices.ContainsFunc(s.disruptions, func(d *disruption) bool {
		return d.x == x && !d.to.IsZero() && x.endedAt.Sub(d.to) < ownEndSlack
	})
	s.mu.Unlock()
	if started {
		s.did("end at a start")
		return
	}
	s.finding("ENDS", "%s has ended by itself at %.3f: %v", x.name, s.rec.seconds(x.endedAt), x.cmd.ProcessState)
}

// kill kills x and starts it again.
func (s *soakRun) kill(ctx context.Context, x *process) {
	x.signal(syscall.SIGKILL)
	<-x.ended
	s.startAgain(ctx, x)
}

// startAgain starts x after the delay of the platform, also if the faults are to end.
func (s *soakRun) startAgain(ctx context.Context, x *process) {
	time.Sleep(restartDelay)
	if err := x.start(context.WithoutCancel(ctx)); err != nil {
		s.rec.line("platform: %v", err)
	}
}

// begin notes the begin of a disruption of x.
func (s *soakRun) begin(what string, planned bool, x *process) *disruption {
	d := &disruption{what: what, planned: planned, x: x, from: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disruptions = append(s.disruptions, d)
	s.tally[what]++
	return d
}

// finish notes the end of a disruption.
func (s *soakRun) finish(d *disruption) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.to = time.Now()
}

// finding reports a broken rule.
func (s *soakRun) finding(rule, format string, args ...any) {
	text := fmt.Sprintf("%s: seed %d: %s", rule, s.seed, fmt.Sprintf(format, args...))
	s.rec.line("check: %s", text)
	fmt.Println(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings++
}

// logLines returns the lines of all logs that contain a text.
func (s *soakRun) logLines(text string) []string {
	var found []string
	for _, x := range s.p.all() {
		log, err := os.ReadFile(filepath.Join(s.p.dir, x.name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.SplitSeq(string(log), "\n") {
			if strings.Contains(line, text) {
				found = append(found, x.name+": "+line)
			}
		}
	}
	return found
}
