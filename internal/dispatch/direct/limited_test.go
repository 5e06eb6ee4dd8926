package direct_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
	"github.com/snipefront/snipefront/internal/stand/model"
)

// The users' rule on rate limits: from limitDelay after a backend server first named a
// limit, it receives in any limitWindow at most limitFactor times what the limit allows,
// plus limitSlack requests. These tests count what all instances send, whether a backend
// server has told them or not, and load probes, too.
const (
	limitDelay  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// lowerDelay is the time from which a limit that was lowered counts. The rule names no
	// time of its own for it.
	lowerDelay = time.Second
)

// limitedFleet has many instances send to backend servers that name rate limits. It runs
// in virtual time.
type limitedFleet struct {
	servers *model.Servers
	view    fleet.View
	routing *snipefront.Routing
	begun   time.Time

	mu          sync.Mutex
	random      *rand.Rand
	dispatchers []*direct.Dispatcher
	// isCutOff holds the instances that receive no updates of the view.
	isCutOff map[int]bool
	// named holds the limits of each backend server, in the order of time.
	named map[string][]namedLimit
	// requests and answered count the requests and the answered ones, by rank, and inGoal
	// those that were answered within the latency goal of their caller.
	requests, answered [2]int
	inGoal             int
	// refusals holds the refusals, by rank.
	refusals [2][]refusal
}

// namedLimit is a limit that a backend server names from a time on.
type namedLimit struct {
	from  time.Time
	limit snipefront.RateLimit
}

// refusal is a request that was refused.
type refusal struct {
	taken, retryAfter time.Duration
	reason            snipefront.Reason
}

// limitedSize is the size of a limitedFleet. Slots are those of each backend server.
type limitedSize struct{ instances, servers, slots int }

func newLimitedFleet(size limitedSize) *limitedFleet {
	f := &limitedFleet{
		servers: &model.Servers{
			Behaviour: model.Behaviour{Slots: size.slots, Queue: 4, Work: 60 * time.Millisecond, Spread: 0.2, Period: time.Second, FullShare: 1, Delay: 2 * time.Millisecond},
			Random:    rand.New(rand.NewPCG(1, 3)), RecordArrivals: true,
		},
		view:   fleet.View{Servers: map[string]fleet.Server{}, Instances: map[string]fleet.Instance{}},
		begun:  time.Now(),
		random: rand.New(rand.NewPCG(1, 4)),
		named:  map[string][]namedLimit{}, isCutOff: map[int]bool{},
		routing: &snipefront.Routing{
			Services: map[string]snipefront.ServiceProfile{service: {Name: service}},
			Routes: []snipefront.Route{
				{Name: "urgent", Rank: 0, Split: []snipefront.ServiceWeight{{Service: service, Weight: 1}}},
				{Name: "background", Rank: 1, Split: []snipefront.ServiceWeight{{Service: service, Weight: 1}}},
			},
		},
	}
	for i := range size.servers {
		var n fleet.Server
		n.Name, n.Service, n.DataCentre, n.Slots, n.Incarnation = fmt.Sprint("s", i), service, fmt.Sprint("dc", i%dataCentres), size.slots, 1
		f.view.Servers[n.Name] = n
	}
	for i := range size.instances {
		var n fleet.Instance
		n.Name, n.DataCentre, n.Ready = fmt.Sprint("e", i), fmt.Sprint("dc", i%dataCentres), true
		f.view.Instances[n.Name] = n
	}
	for i := range size.instances {
		f.dispatchers = append(f.dispatchers, f.start(i))
	}
	return f
}

// start returns the dispatcher of a process of instance i that has just started.
func (f *limitedFleet) start(i int) *direct.Dispatcher {
	set := &health.Set{Self: f.view.Instances[fmt.Sprint("e", i)].Instance, Sharer: sharer{f, i}}
	set.Update(time.Now(), f.view, f.routing)
	return &direct.Dispatcher{
		Targets: set, Link: f.servers, Counter: noCounter{}, Attempts: noCounter{},
		Retries: newRetries(len(f.view.Instances), 0), Probes: newProbes(len(f.view.Servers), len(f.view.Instances)),
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

// shareDelay is the time in which a shared limit reaches the other instances.
const shareDelay = 50 * time.Millisecond

// sharer shares what an instance hears from backend servers, unless it is cut off.
type sharer struct {
	fleet    *limitedFleet
	instance int
}

// ShareLimit implements health.Sharer.
func (s sharer) ShareLimit(n fleet.Server, said snipefront.RateLimit, source quota.Source) {
	time.AfterFunc(shareDelay, func() { s.fleet.shareLimit(s.instance, n, said, source) })
}

// ShareCold implements health.Sharer.
func (s sharer) ShareCold(n fleet.Server, left time.Duration) {
	time.AfterFunc(shareDelay, func() {
		s.fleet.update(func(v *fleet.View) {
			current := v.Servers[n.Name]
			current.ColdMillis = left.Milliseconds()
			v.Servers[n.Name] = current
		})
	})
}

// ShareDraining implements health.Sharer. No backend server of these tests drains.
func (sharer) ShareDraining(fleet.Server) {}

// shareLimit records a limit in the view of the fleet.
func (f *limitedFleet) shareLimit(instance int, n fleet.Server, said snipefront.RateLimit, source quota.Source) {
	f.mu.Lock()
	cutOff := f.isCutOff[instance]
	f.mu.Unlock()
	if cutOff {
		return
	}
	f.update(func(v *fleet.View) {
		current := v.Servers[n.Name]
		if current.Incarnation != n.Incarnation || current.Limit == said {
			return
		}
		current.Limit, current.LimitSource = said, string(source)
		current.LimitIndex++
		v.Servers[n.Name] = current
	})
}

// restart replaces the process of instance i.
func (f *limitedFleet) restart(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatchers[i] = f.start(i)
}

// update changes the view of the fleet and shows it to all instances.
func (f *limitedFleet) update(change func(v *fleet.View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.view)
	for i, d := range f.dispatchers {
		if !f.isCutOff[i] {
			d.Targets.Update(time.Now(), f.view, f.routing)
		}
	}
}

// cutOff keeps updates of the view from the given instances.
func (f *limitedFleet) cutOff(instances ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range instances {
		f.isCutOff[i] = true
	}
}

// name makes the answers of a backend server say c.Limit.
func (f *limitedFleet) name(server string, c model.Condition) {
	f.servers.Set(server, c)
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Limit.Readable {
		f.named[server] = append(f.named[server], namedLimit{from: time.Now(), limit: c.Limit.RateLimit})
	}
}

// limitOf returns a condition in which a backend server names a limit.
func limitOf(perSecond float64) model.Condition {
	return model.Condition{Limit: quota.Statement{RateLimit: snipefront.RateLimit{Named: true, PerSecond: perSecond}, Readable: true}}
}

// noLimit is a condition in which a backend server names no limit.
var noLimit = model.Condition{Limit: quota.Statement{Readable: true}}

// run sends requests to random instances for the given time, one in four of them less
// urgent than the others.
func (f *limitedFleet) run(t *testing.T, length time.Duration, rate float64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go f.servers.Run(ctx)
	random := rand.New(rand.NewPCG(5, 6))
	var all sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		rank := 0
		if random.IntN(4) == 0 {
			rank = 1
		}
		all.Go(func() { f.call(rank) })
	}
	all.Wait()
	cancel()
	time.Sleep(settleTime)
}

// call acts as one caller, which sends its request again once if it is refused.
func (f *limitedFleet) call(rank int) {
	begun := time.Now()
	end := begun.Add(1500 * time.Millisecond)
	for range 2 {
		sent := time.Now()
		_, err := f.receive(rank).Serve(context.Background(), &direct.Call{
			ID: "r", Route: f.routing.Routes[rank].Name, Attempts: 2, Rank: rank, Goal: begun.Add(callerGoal),
			Request: &snipefront.Request{Service: service, Idempotent: true, Deadline: end},
		})
		if err == nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.answered[rank]++
			if time.Since(begun) <= callerGoal {
				f.inGoal++
			}
			return
		}
		var e *snipefront.Error
		if !errors.As(err, &e) {
			return
		}
		f.mu.Lock()
		f.refusals[rank] = append(f.refusals[rank], refusal{taken: time.Since(sent), retryAfter: e.RetryAfter, reason: e.Reason})
		f.mu.Unlock()
		time.Sleep(min(e.RetryAfter, time.Until(end)/3))
	}
}

// callerGoal is the latency goal of the callers, from their first attempt on.
const callerGoal = 400 * time.Millisecond

// receive counts a request and returns a random instance.
func (f *limitedFleet) receive(rank int) *direct.Dispatcher {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests[rank]++
	return f.dispatchers[f.random.IntN(len(f.dispatchers))]
}

// checkLimits checks the rule in each window at each backend server.
func (f *limitedFleet) checkLimits(t *testing.T) {
	t.Helper()
	for server, named := range f.named {
		arrivals := f.servers.Arrivals(server)
		excess, worst := 0.0, ""
		for i, arrival := range arrivals {
			from := arrival.At
			if from.Before(named[0].from.Add(limitDelay)) {
				continue
			}
			end, _ := slices.BinarySearchFunc(arrivals, from.Add(limitWindow), func(a model.Arrival, at time.Time) int { return a.At.Compare(at) })
			allowed, limited := allowedIn(named, from)
			if over := float64(end-i) - allowed; limited && over > excess {
				excess, worst = over, fmt.Sprintf("%s received %d requests in the 4 s from %v on, want %.1f at most", server, end-i, from.Sub(f.begun), allowed)
			}
		}
		if worst != "" {
			t.Error(worst)
		}
	}
}

// allowedIn returns the number of requests that the rule allows in the window from the
// given time on, and false if no limit was named in a part of it.
func allowedIn(named []namedLimit, from time.Time) (allowed float64, limited bool) {
	const step = 10 * time.Millisecond
	sum := 0.0
	for at := from; at.Before(from.Add(limitWindow)); at = at.Add(step) {
		highest := 0.0
		for i, n := range named {
			ended := i+1 < len(named) && named[i+1].from.Add(lowerDelay).Before(at)
			if n.from.After(at) || ended {
				continue
			}
			if !n.limit.Named {
				return 0, false
			}
			highest = max(highest, n.limit.PerSecond)
		}
		sum += highest * step.Seconds()
	}
	return limitFactor*sum + limitSlack, true
}

// received returns how many requests and load probes per second a backend server received
// from one time since the start to another.
func (f *limitedFleet) received(server string, from, to time.Duration) (requests, probes float64) {
	for _, a := range f.servers.Arrivals(server) {
		switch since := a.At.Sub(f.begun); {
		case since < from || since >= to:
		case a.Probe:
			probes++
		default:
			requests++
		}
	}
	return requests / (to - from).Seconds(), probes / (to - from).Seconds()
}
