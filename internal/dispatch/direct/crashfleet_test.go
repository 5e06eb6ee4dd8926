package direct_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/request/poison"
	"github.com/snipefront/snipefront/internal/request/submit"
)

// crashSize is the size of a crashFleet.
type crashSize struct{ instances, servers int }

// crashFleet has many instances send to backend servers that crash, in virtual time. The
// instances share what they know through a replicated state, as in the program: each
// submits its records to it, and receives those of others with its view of the fleet.
type crashFleet struct {
	routing *snipefront.Routing
	begun   time.Time
	// length is the length of the day.
	length time.Duration
	// popularRate is the rate of popular requests, in requests per second. They have one of
	// five contents.
	popularRate float64
	// crashAfter is the time for which a request runs that crashes its backend server.
	crashAfter time.Duration
	// patience is the time after which the caller of a request that crashes backend servers
	// leaves, and deadline that which it gives the request. Zero patience waits for the
	// deadline.
	patience, deadline time.Duration
	// worksOn lets a backend server go on with such a request after its connection closed.
	worksOn bool
	// fails returns what a backend server does in place of running a request, or zero.
	fails func(s *crashServer) failure
	// services are the services of the route, with equal weights.
	services []string
	// spares reports whether s answers requests that crash others. Nil stands for none.
	spares func(s *crashServer) bool
	// notices counts what backend servers say beside their answers, and what reaches them then.
	notices notices
	// newsDelay returns the time after which an instance receives a change of the state.
	newsDelay func() time.Duration
	// ctx ends with the run.
	ctx context.Context
	end context.CancelFunc

	// log is held while an entry is applied to state.
	log   sync.Mutex
	index uint64
	state fleet.State

	mu        sync.Mutex
	random    *rand.Rand
	instances []*crashInstance
	// servers holds the running backend server of each address, or the last one.
	servers []*crashServer
	started int
	// arrivals holds the requests that reached backend servers, by fingerprint for those that
	// crash servers, and further all beyond the first of their request.
	arrivals map[uint64][]crashArrival
	further  []time.Duration
	// reached holds the processes of backend servers that each request in flight reached.
	reached map[string][]process
	// overAttempts counts the requests that reached more backend servers than their route
	// allows, without those that ended before the request did.
	overAttempts int
	requests     []time.Duration
	// crashes holds when each request crashed a backend server.
	crashes map[uint64][]time.Duration
	// overtime counts the requests that reached a backend server with more time than their
	// caller had left.
	overtime int
	harmless harmless
}

// harmless counts the callers whose requests crash nothing: those that were answered and
// not answered, those that were refused as quarantined once at least, and those of them
// that were never answered. Rare requests have a content of their own; popular ones have
// the same content for many callers.
type harmless struct {
	answered, failed                    int
	rareQuarantined, popularQuarantined int
	rareLost, popularLost               int
}

// total returns the number of callers.
func (h harmless) total() float64 { return float64(h.answered + h.failed) }

// crashArrival is the arrival of a request that crashes backend servers at one of those that
// it crashes.
type crashArrival struct {
	at      time.Duration
	inTouch bool
}

// crashInstance is an instance of a crashFleet.
type crashInstance struct {
	fleet      *crashFleet
	name       string
	dataCentre string

	mu sync.Mutex
	// process is nil while the instance is down.
	process *crashProcess
	// cutUntil is the time until which it is cut off from the control quorum.
	cutUntil time.Time
	// disturbed is the end of the last event that took it out of touch.
	disturbed time.Time
}

// crashProcess is one process of an instance.
type crashProcess struct {
	*direct.Dispatcher
	cancel context.CancelFunc
}

const (
	// commitDelay is the time in which a command is committed.
	commitDelay = 10 * time.Millisecond
	// crashSlots is the number of slots of a backend server, and crashQueue the number of
	// further requests that it accepts.
	crashSlots, crashQueue = 3, 6
)

func newCrashFleet(size crashSize) *crashFleet {
	return newSplitFleet(size, service)
}

// newSplitFleet returns a fleet whose route is split between the services.
func newSplitFleet(size crashSize, services ...string) *crashFleet {
	f := &crashFleet{
		crashAfter: 5 * time.Millisecond, deadline: 1500 * time.Millisecond, services: services,
		begun: time.Now(), popularRate: 25, newsDelay: func() time.Duration { return 20 * time.Millisecond },
		routing: &snipefront.Routing{Services: map[string]snipefront.ServiceProfile{}},
		random:  rand.New(rand.NewPCG(1, 9)), arrivals: map[uint64][]crashArrival{}, crashes: map[uint64][]time.Duration{},
		reached: map[string][]process{},
	}
	f.ctx, f.end = context.WithCancel(context.Background())
	for _, name := range services {
		f.routing.Services[name] = snipefront.ServiceProfile{Name: name}
	}
	for i := range size.servers {
		name := services[i/dataCentres%len(services)]
		f.servers = append(f.servers, &crashServer{address: fmt.Sprint("a", i), service: name, version: "v1", dataCentre: fmt.Sprint("dc", i%dataCentres)})
		f.startServer(f.servers[i], true)
	}
	for i := range size.instances {
		var n fleet.Instance
		n.Name, n.DataCentre, n.Ready = fmt.Sprint("e", i), fmt.Sprint("dc", i%dataCentres), true
		f.apply(fleet.Command{Join: &n})
		f.instances = append(f.instances, &crashInstance{fleet: f, name: n.Name, dataCentre: n.DataCentre})
	}
	return f
}

// apply commits a command immediately.
func (f *crashFleet) apply(c fleet.Command) {
	b, err := c.Encode()
	if err != nil {
		panic(err)
	}
	f.applyEncoded(b)
}

func (f *crashFleet) applyEncoded(b []byte) []byte {
	f.log.Lock()
	defer f.log.Unlock()
	f.index++
	return f.state.Apply(f.index, b)
}

// since returns the time since the start of the run.
func (f *crashFleet) since() time.Duration { return time.Since(f.begun) }

// chance returns a random number below n.
func (f *crashFleet) chance(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// start starts a process of the instance, with the view of that moment.
func (n *crashInstance) start() {
	f := n.fleet
	if f.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(f.ctx)
	set := &health.Set{Self: snipefront.Instance{Name: n.name, DataCentre: n.dataCentre}}
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	reports := &submit.Reports{Submitter: n, Logger: logger}
	set.Sharer = reports
	spread := &submit.Replicator{Submitter: n, Logger: logger}
	register := &poison.Register{Spread: spread, Trials: true}
	edges, servers := len(f.instances), len(f.servers)
	probes := newProbes(servers, edges)
	checks := &direct.Checks{Targets: set, Link: crashLink{f, n, set, ctx}, Probes: probes, Poison: register, Logger: logger}
	d := &direct.Dispatcher{
		Targets: set, Link: crashLink{f, n, set, ctx}, Counter: noCounter{}, Attempts: noCounter{}, Poison: register,
		Trials:  &submit.Trials{Submitter: n, Logger: logger},
		Retries: newRetries(edges, 0), Probes: probes, Checks: checks, Logger: logger,
	}
	receiver := &submit.Receiver{Register: register}
	view := n.follow(set, receiver, fleet.View{})
	go func() { _ = spread.Run(ctx) }()
	go func() { _ = checks.Run(ctx) }()
	go func() { _ = reports.Run(ctx) }()
	go func() {
		for n.await(ctx, view.Index) {
			view = n.follow(set, receiver, view)
		}
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = &crashProcess{Dispatcher: d, cancel: cancel}
}

// follow brings a view up to the present state.
func (n *crashInstance) follow(set *health.Set, r *submit.Receiver, v fleet.View) fleet.View {
	d := n.fleet.state.DeltaSince(v.Index)
	v = v.Apply(d)
	if !d.OnlySuspects() {
		set.Update(time.Now(), v, n.fleet.routing)
	}
	r.Apply(time.Now(), v, d)
	return v
}

// await waits until the state is newer than index and that has reached the instance. It
// returns false when ctx ends.
func (n *crashInstance) await(ctx context.Context, index uint64) bool {
	for {
		changed := n.fleet.state.Changed()
		if n.fleet.state.Index() > index {
			break
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
	return timer.Sleep(ctx, n.fleet.newsDelay()) && timer.Sleep(ctx, max(1, n.cutLeft()))
}

// cutLeft returns the time for which the instance is still cut off.
func (n *crashInstance) cutLeft() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Until(n.cutUntil)
}

// Submit implements submit.Submitter.
func (n *crashInstance) Submit(ctx context.Context, command []byte) ([]byte, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(commitDelay + max(0, n.cutLeft())):
	}
	return n.fleet.applyEncoded(command), nil
}

// cutOff cuts the instance off from the control quorum for the given time.
func (n *crashInstance) cutOff(length time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutUntil = time.Now().Add(length)
	n.disturbed = n.cutUntil
}

// stop ends the process of the instance, and start begins a new one after the given time.
func (n *crashInstance) restart(pause time.Duration) {
	n.mu.Lock()
	if n.process != nil {
		n.process.cancel()
	}
	n.process = nil
	n.disturbed = time.Now().Add(pause)
	n.mu.Unlock()
	time.AfterFunc(pause, n.start)
}

// inTouch reports whether the users' rules with a time bound hold for the instance.
func (n *crashInstance) inTouch() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.disturbed) >= touchWindow
}

// dispatcher returns the process of the instance, or nil if it is down.
func (n *crashInstance) dispatcher() *crashProcess {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// any returns a process of a random instance that runs.
func (f *crashFleet) any() *crashProcess {
	for {
		if p := f.instances[f.chance(len(f.instances))].dispatcher(); p != nil {
			return p
		}
	}
}

// popularContents is the number of popular requests.
const popularContents = 5

// run starts the instances, sends rare harmless requests at the given rate and popular ones
// for the given time, and ends all.
func (f *crashFleet) run(t *testing.T, length time.Duration, rate float64) {
	t.Helper()
	for _, n := range f.instances {
		if n.dispatcher() == nil {
			n.start()
		}
	}
	var all sync.WaitGroup
	callers := func(first uint64, contents int, rate float64) {
		random := rand.New(rand.NewPCG(7, first))
		for i := 0; f.since() < length; i++ {
			time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			all.Go(func() { f.callHarmless(first+uint64(i%contents), contents == popularContents) })
		}
	}
	all.Go(func() { callers(100, popularContents, f.popularRate) })
	callers(1000, 1e9, rate)
	all.Wait()
	f.end()
	time.Sleep(10 * time.Second)
}
