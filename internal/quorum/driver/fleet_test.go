package driver_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/state"
	"github.com/snipefront/snipefront/internal/quorum/disk"
	"github.com/snipefront/snipefront/internal/quorum/driver"
	"github.com/snipefront/snipefront/internal/quorum/raft"
)

var errDown = errors.New("down")

// memoryStorage is a driver.Storage in memory whose writes can be made to fail.
type memoryStorage struct {
	mu    sync.Mutex
	saved disk.Saved
	bytes int64
	fail  bool
	// stalledUntil is the time until which Save waits for the disk.
	stalledUntil time.Time
	staged       raft.Snapshot
	// commit is the commit index that the next write saves.
	commit uint64
	// snapshotBytes and entryBytes are the bytes written for snapshots and for entries.
	snapshotBytes, entryBytes int64
	// stageDelay is the time that Stage takes.
	stageDelay time.Duration
	// event is called before and after each Save, and before each Stage.
	event func()
}

func (m *memoryStorage) SetCommit(index uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commit = index
}

func (m *memoryStorage) Save(h *raft.HardState, entries []raft.Entry) error {
	m.event()
	defer m.event()
	time.Sleep(m.stallLeft())
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fail {
		return errDown
	}
	m.saved.Commit = m.commit
	if h != nil {
		m.saved.Hard = *h
	}
	for _, e := range entries {
		m.saved.Entries = append(slices.Clone(m.saved.Entries[:e.Index-m.saved.Snapshot.Index-1]), e)
		m.bytes += int64(len(e.Command))
		m.entryBytes += int64(len(e.Command))
	}
	return nil
}

func (m *memoryStorage) Compact(h raft.HardState, s raft.Snapshot, entries []raft.Entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fail {
		return errDown
	}
	m.saved.Hard, m.saved.Snapshot, m.saved.Entries = h, s, slices.Clone(entries)
	m.saved.Commit = m.commit
	m.bytes = int64(len(s.State))
	return nil
}

func (m *memoryStorage) Stage(_ raft.HardState, s raft.Snapshot) error {
	m.event()
	time.Sleep(m.stageDelay)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fail {
		return errDown
	}
	m.staged = s
	m.snapshotBytes += int64(len(s.State))
	return nil
}

func (m *memoryStorage) Promote(h raft.HardState, entries []raft.Entry) error {
	m.mu.Lock()
	s := m.staged
	m.mu.Unlock()
	return m.Compact(h, s, entries)
}

func (m *memoryStorage) Bytes() int64 { return m.bytes }

func (m *memoryStorage) Close() error { return nil }

func (m *memoryStorage) hard() raft.HardState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.saved.Hard
}

// stall lets the disk answer nothing for the given time.
func (m *memoryStorage) stall(length time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stalledUntil = time.Now().Add(length)
}

func (m *memoryStorage) stallLeft() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Until(m.stalledUntil)
}

func (m *memoryStorage) failWrites() {
	m.mu.Lock()
	m.fail = true
	m.mu.Unlock()
}

// replica is one running replica.
type replica struct {
	*driver.Log
	state   *state.State
	storage *memoryStorage
	cancel  context.CancelFunc
	ended   chan error
}

// group is a set of replicas that deliver messages to each other without a network.
type group struct {
	t         *testing.T
	names     []string
	diskCount int
	// event is called with the name of a replica at each of its saves and calls.
	event atomic.Pointer[func(name string)]
	// open lets replicas of other names join, as leaseless voters, up to five.
	open bool

	mu      sync.Mutex
	running map[string]*replica
	// inboundCut is the name of the replica that receives nothing, and outboundCut of
	// the one that sends nothing.
	inboundCut, outboundCut string
	// calls and replies count the calls by each replica and the replies sent in them.
	calls, replies map[string]int
}

func newGroup(t *testing.T, names ...string) *group {
	g := &group{t: t, names: names, running: map[string]*replica{}, calls: map[string]int{}, replies: map[string]int{}}
	for _, n := range names {
		g.start(n, g.newDisk(n))
	}
	return g
}

// newDisk returns an empty storage with a new identity.
func (g *group) newDisk(name string) *memoryStorage {
	g.diskCount++
	return &memoryStorage{saved: disk.Saved{Identity: fmt.Sprint(name, g.diskCount)}}
}

func (g *group) start(name string, m *memoryStorage) {
	m.event = func() { g.fireEvent(name) }
	m.fail = false
	ctx, cancel := context.WithCancel(g.t.Context())
	r := &replica{state: &state.State{}, storage: m, cancel: cancel, ended: make(chan error, 1)}
	r.Log = &driver.Log{
		Name: name, Machine: r.state, Storage: m, Saved: m.saved, Caller: caller{g, name}, Lease: 2 * time.Second,
		Random: rand.New(rand.NewPCG(uint64(g.diskCount), uint64(name[0]))).Int64N, SnapshotEntries: 16, SnapshotBytes: 1, Logger: slog.New(slog.DiscardHandler),
	}
	if g.open {
		r.MaxVoters, r.MinVoters, r.Leaseless = 5, 3, true
	}
	for _, n := range g.names {
		r.Control = append(r.Control, snipefront.Instance{Name: n, PeerAddress: n})
	}
	g.mu.Lock()
	g.running[name] = r
	g.mu.Unlock()
	go func() { r.ended <- r.Run(ctx) }()
}

func (g *group) fireEvent(name string) {
	if e := g.event.Load(); e != nil {
		(*e)(name)
	}
}

func (g *group) replica(name string) *replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running[name]
}

// partitioned reports whether messages between the two replicas are lost.
func (g *group) partitioned(from, to string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return from == g.outboundCut || to == g.inboundCut
}

// kill simulates a crash of a replica: from now on it saves and sends nothing.
func (g *group) kill(name string) *replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.running[name]
	r.storage.failWrites()
	r.cancel()
	delete(g.running, name)
	return r
}

// killAndWait kills a replica and waits until Run has returned.
func (g *group) killAndWait(name string) *replica {
	r := g.kill(name)
	if err := <-r.ended; err != nil {
		g.t.Fatal(err)
	}
	return r
}

// restart kills and starts all replicas, once they are idle and have saved their
// terms.
func (g *group) restart() {
	g.waitForAgreement()
	time.Sleep(time.Second)
	for _, n := range g.names {
		if r := g.replica(n); r.storage.hard().Term != r.Leadership().Term {
			g.t.Fatalf("%s has saved %+v, want term %d", n, r.storage.hard(), r.Leadership().Term)
		}
	}
	for _, n := range g.names {
		defer g.start(n, g.killAndWait(n).storage)
	}
}

func (g *group) stop() {
	for _, n := range g.names {
		if r := g.replica(n); r != nil {
			r.cancel()
			if err := <-r.ended; err != nil {
				g.t.Fatal(err)
			}
		}
	}
}

// waitForLeader returns the leader, once one has the leader lease.
func (g *group) waitForLeader() *replica {
	for range 1200 {
		for _, n := range g.names {
			if r := g.replica(n); r != nil && r.Leadership().Self {
				return r
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.t.Fatal("no leader in a minute")
	return nil
}

// callerTimeout is the time without an answer after which callers propose a change again.
const callerTimeout = time.Second

// changeConfig proposes a change of the configuration until it gets a result.
func (g *group) changeConfig(id string, version uint64) state.ConfigResult {
	c := state.Diff(nil, version, []state.File{{Name: id, Content: []byte(`{}`)}})
	c.ChangeID = id
	b, err := state.Command{Config: &c}.Encode()
	if err != nil {
		g.t.Fatal(err)
	}
	for range 100 {
		var r state.ConfigResult
		ctx, cancel := context.WithTimeout(g.t.Context(), callerTimeout)
		text, err := g.waitForLeader().Propose(ctx, b)
		cancel()
		if err == nil && state.Decode(text, &r) == nil {
			return r
		}
	}
	g.t.Fatal("no result of a change after 100 proposals")
	return state.ConfigResult{}
}

// waitForAgreement waits until all replicas have the same state.
func (g *group) waitForAgreement() {
	for range 1200 {
		var states []string
		for _, n := range g.names {
			s, err := g.replica(n).state.Snapshot()
			if err != nil {
				g.t.Fatal(err)
			}
			states = append(states, string(s))
		}
		if len(slices.Compact(states)) == 1 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.t.Fatal("the replicas have different states after a minute")
}

func (g *group) countCall(name string, messages []raft.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls[name]++
	for _, m := range messages {
		if m.Kind.IsReply() {
			g.replies[name]++
		}
	}
}

// takeCounts returns the number of calls by a replica and of the replies in them, and
// resets the counts of all replicas.
func (g *group) takeCounts(name string) (calls, replies int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	calls, replies = g.calls[name], g.replies[name]
	clear(g.calls)
	clear(g.replies)
	return calls, replies
}

// caller is the driver.Caller of the replica called name.
type caller struct {
	group *group
	name  string
}

func (c caller) Step(ctx context.Context, address string, messages []raft.Message) ([]raft.Message, error) {
	c.group.fireEvent(c.name)
	c.group.countCall(c.name, messages)
	to := c.group.replica(address)
	if to == nil || c.group.replica(c.name) == nil || c.group.partitioned(c.name, address) {
		return nil, errDown
	}
	time.Sleep(time.Millisecond)
	replies, err := to.Deliver(ctx, messages)
	if c.group.partitioned(address, c.name) || c.group.replica(address) != to {
		return nil, errDown
	}
	return replies, err
}
