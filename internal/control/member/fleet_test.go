package member_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/control/state"
)

const (
	lease = 2 * time.Second
	// interval is the time between renewals.
	interval = 400 * time.Millisecond
	// probeBudget is the most probes per second of the whole fleet.
	probeBudget = 20.0
)

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

// fleet is a set of instances that renew their leases at two control instances,
// of which one leads.
type fleet struct {
	mu               sync.Mutex
	state            state.State
	leaderIndex      int
	term             uint64
	controlInstances []*leader.Leader
	nodes            []*node
}

// node is one instance with the network faults that the test injects.
type node struct {
	member      *member.Member
	fleet       *fleet
	unreachable bool
	answersLost bool
	delay       time.Duration
	// busy is true while requests are in flight for the cells in inFlight. The
	// instance then confirms no epoch.
	busy         bool
	inFlight     map[snipefront.Cell]bool
	cancel       context.CancelFunc
	done         chan error
	lastRevision uint64
}

var errNoAnswer = errors.New("no answer from the control instance")

// controlLog is the replicated log as the control instance self sees it.
type controlLog struct {
	fleet *fleet
	self  int
}

func (l controlLog) Leadership() snipefront.Leadership {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return snipefront.Leadership{
		Leader: fmt.Sprint("c", l.fleet.leaderIndex),
		Self:   l.fleet.leaderIndex == l.self,
		Term:   l.fleet.term,
	}
}

func (l controlLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	if !l.Leadership().Self {
		return nil, snipefront.ErrNotLeader
	}
	return l.fleet.state.Apply(0, command), nil
}

// Renew implements member.Renewer with the injected faults.
func (n *node) Renew(ctx context.Context, address string, r leader.Renewal) (leader.Grant, error) {
	n.fleet.mu.Lock()
	unreachable, answersLost, delay := n.unreachable, n.answersLost, n.delay
	n.fleet.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return leader.Grant{}, errNoAnswer
	}
	time.Sleep(delay / 2)
	l := n.fleet.controlInstances[int(address[1]-'0')]
	g := l.Renew(time.Now(), r)
	if answersLost {
		<-ctx.Done()
		return leader.Grant{}, errNoAnswer
	}
	time.Sleep(delay / 2)
	return g, ctx.Err()
}

// Apply implements member.Cells.
func (n *node) Apply(*member.View) {}

// Drained implements member.Cells.
func (n *node) Drained() bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return !n.busy
}

func newFleet(ctx context.Context, size int) *fleet {
	f := &fleet{term: 1}
	for i := range 2 {
		f.controlInstances = append(f.controlInstances, &leader.Leader{
			Log:         controlLog{f, i},
			State:       &f.state,
			Lease:       lease,
			ProbeBudget: func() float64 { return probeBudget },
			Logger:      discardLogger,
		})
	}
	for _, l := range f.controlInstances {
		go func() { _ = l.Run(ctx) }()
	}
	for i := range size {
		n := &node{fleet: f}
		f.nodes = append(f.nodes, n)
		n.start(ctx, i, 1)
	}
	return f
}

// start starts an incarnation of the i-th instance.
func (n *node) start(ctx context.Context, i int, incarnation uint64) {
	ctx, n.cancel = context.WithCancel(ctx)
	n.done = make(chan error, 1)
	n.lastRevision = 0
	n.member = &member.Member{
		Instance: snipefront.Instance{
			Name:        fmt.Sprint("i", i),
			DataCentre:  fmt.Sprint("dc", i%2),
			Incarnation: incarnation,
		},
		Control:  []snipefront.Instance{{Name: "c0", PeerAddress: "c0"}, {Name: "c1", PeerAddress: "c1"}},
		Renewer:  n,
		Cells:    n,
		Interval: interval,
		Logger:   discardLogger,
	}
	m := n.member
	go func() { n.done <- m.Run(ctx) }()
}

// kill stops the instance so that its last renewal does not reach the leader. It then
// makes the instance reachable and idle again for the next start.
func (n *node) kill() {
	n.fleet.mu.Lock()
	n.unreachable = true
	n.fleet.mu.Unlock()
	n.stop()
	n.fleet.mu.Lock()
	n.unreachable, n.busy, n.inFlight = false, false, nil
	n.fleet.mu.Unlock()
}

// stop stops the instance and waits until Run has returned.
func (n *node) stop() {
	n.cancel()
	if err := <-n.done; err != nil {
		panic(err)
	}
}

// stop stops all instances.
func (f *fleet) stop(cancel context.CancelFunc) {
	cancel()
	for _, n := range f.nodes {
		n.stop()
	}
}

// elect makes the other control instance the leader.
func (f *fleet) elect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaderIndex = 1 - f.leaderIndex
	f.term++
}

// configure commits a configuration that differs by n. The fixed probeBudget stays in
// use.
func (f *fleet) configure(n int) {
	content := fmt.Appendf(nil, `{"Kind":"MeasuringBudget","ProbesPerSecond":%d}`, n)
	c := state.Diff(nil, f.state.Revision(), []state.File{{Name: "a.json", Content: content}})
	c.ChangeID = fmt.Sprint("change", n)
	b, err := state.Command{Config: &c}.Encode()
	if err != nil {
		panic(err)
	}
	f.state.Apply(0, b)
}

// testCells are cells of dc0 and dc1, and a cell of dc9, a data centre without an
// instance.
var testCells = []snipefront.Cell{
	{Service: "balance", DataCentre: "dc0"}, {Service: "charge", DataCentre: "dc0"},
	{Service: "balance", DataCentre: "dc1"}, {Service: "charge", DataCentre: "dc1"},
	{Service: "balance", DataCentre: "dc9"},
}

type fataler interface {
	Fatalf(format string, args ...any)
}

// checkInvariants fails the test if an instance returns to an older revision, the
// fleet exceeds its probe budget, several instances may dispatch for one cell, or a
// revision is reported in force before every lease holder has applied it. Messages
// begin with phase, the part of the test that runs.
func (f *fleet) checkInvariants(t fataler, phase string) {
	now := time.Now()
	rate := 0.0
	for i, n := range f.nodes {
		rate += n.member.ProbeRate()
		if r := n.member.View().Config.Revision; r < n.lastRevision {
			t.Fatalf("%s: instance %d returned from revision %d to %d", phase, i, n.lastRevision, r)
		} else {
			n.lastRevision = r
		}
	}
	if rate > probeBudget*1.0001 {
		t.Fatalf("%s: %.2f probes a second are granted, over the budget of %.0f", phase, rate, probeBudget)
	}
	for _, c := range testCells {
		if dispatchers := f.dispatchers(now, c); len(dispatchers) > 1 {
			t.Fatalf("%s: cell %v: %v may dispatch or have requests in flight, want one instance at most", phase, c, dispatchers)
		}
	}
	f.checkInForce(t, now, phase)
}

// dispatchers returns the lease holders that may dispatch for c or have requests
// for it in flight.
func (f *fleet) dispatchers(now time.Time, c snipefront.Cell) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, n := range f.nodes {
		if n.mayHaveRequests(c) && n.member.Lease.Held(now) {
			list = append(list, n.member.Instance.Name)
		}
	}
	return list
}

// mayHaveRequests reports whether the instance may dispatch for c or has requests for
// it in flight. While n is busy, mayHaveRequests adds c to inFlight if the view allows
// dispatch for c; once n is not busy, it clears inFlight.
func (n *node) mayHaveRequests(c snipefront.Cell) bool {
	allowed := n.member.View().MayDispatch(c)
	if !n.busy {
		n.inFlight = nil
		return allowed
	}
	if allowed && n.inFlight == nil {
		n.inFlight = map[snipefront.Cell]bool{}
	}
	if allowed {
		n.inFlight[c] = true
	}
	return allowed || n.inFlight[c]
}

// checkInForce fails the test if the leader reports a revision as in force that a
// lease holder has not applied.
func (f *fleet) checkInForce(t fataler, now time.Time, phase string) {
	latest := f.state.Revision()
	for _, l := range f.controlInstances {
		if inForce, _, ok := l.InForce(now, latest); !ok || !inForce {
			continue
		}
		for _, n := range f.nodes {
			if n.member.Lease.Held(now) && n.member.View().Config.Revision < latest {
				t.Fatalf("%s: revision %d is reported in force, but %s has applied %d", phase, latest, n.member.Instance.Name, n.member.View().Config.Revision)
			}
		}
	}
}

// runFor lets the fleet run for d, and checks the invariants every 11 ms.
func runFor(f *fleet, t *testing.T, phase string, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(11 * time.Millisecond)
		f.checkInvariants(t, phase)
	}
}
