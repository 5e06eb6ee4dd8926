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

// memory is a storage that keeps what was saved and may be told to fail.
type memory struct {
	mu    sync.Mutex
	saved disk.Saved
	bytes int64
	fail  bool
	draft raft.Snapshot
	// drafted and logged are the bytes written for snapshots and for entries.
	drafted, logged int64
	// slow is how long a draft takes.
	slow time.Duration
	// event is called before and after each save.
	event func()
}

func (m *memory) Save(h *raft.HardState, entries []raft.Entry) error {
	m.event()
	defer m.event()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fail {
		return errDown
	}
	if h != nil {
		m.saved.Hard = *h
	}
	for _, e := range entries {
		m.saved.Entries = append(slices.Clone(m.saved.Entries[:e.Index-m.saved.Snapshot.Index-1]), e)
		m.bytes += int64(len(e.Command))
		m.logged += int64(len(e.Command))
	}
	return nil
}

func (m *memory) Compact(h raft.HardState, s raft.Snapshot, entries []raft.Entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fail {
		return errDown
	}
	m.saved.Hard, m.saved.Snapshot, m.saved.Entries = h, s, slices.Clone(entries)
	m.bytes = int64(len(s.State))
	return nil
}

func (m *memory) Draft(_ raft.HardState, s raft.Snapshot) error {
	m.event()
	time.Sleep(m.slow)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fail {
		return errDown
	}
	m.draft = s
	m.drafted += int64(len(s.State))
	return nil
}

func (m *memory) Adopt(h raft.HardState, entries []raft.Entry) error {
	m.mu.Lock()
	s := m.draft
	m.mu.Unlock()
	return m.Compact(h, s, entries)
}

func (m *memory) Bytes() int64 { return m.bytes }

func (m *memory) Close() error { return nil }

func (m *memory) hard() raft.HardState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.saved.Hard
}

func (m *memory) breakDown() {
	m.mu.Lock()
	m.fail = true
	m.mu.Unlock()
}

// member is one running replica.
type member struct {
	*driver.Log
	state  *state.State
	memory *memory
	cancel context.CancelFunc
	ended  chan error
}

// fleet is a set of replicas that call each other directly.
type fleet struct {
	t     *testing.T
	names []string
	disks int
	// event is called with the name of a replica at each of its saves and sends.
	event atomic.Pointer[func(name string)]

	mu sync.Mutex
	up map[string]*member
	// deaf receives nothing and mute sends nothing.
	deaf, mute string
	// calls and replies count the calls of each replica and the replies in them.
	calls, replies map[string]int
}

func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{t: t, names: names, up: map[string]*member{}, calls: map[string]int{}, replies: map[string]int{}}
	for _, n := range names {
		f.start(n, f.blank(n))
	}
	return f
}

func (f *fleet) blank(name string) *memory {
	f.disks++
	return &memory{saved: disk.Saved{Identity: fmt.Sprint(name, f.disks)}}
}

func (f *fleet) start(name string, m *memory) {
	m.event = func() { f.happen(name) }
	m.fail = false
	ctx, cancel := context.WithCancel(f.t.Context())
	b := &member{state: &state.State{}, memory: m, cancel: cancel, ended: make(chan error, 1)}
	b.Log = &driver.Log{
		Name: name, Machine: b.state, Storage: m, Saved: m.saved, Caller: caller{f, name}, Lease: 2 * time.Second,
		Random: rand.New(rand.NewPCG(uint64(f.disks), uint64(name[0]))).Int64N, SnapshotEntries: 16, SnapshotBytes: 1, Logger: slog.New(slog.DiscardHandler),
	}
	for _, n := range f.names {
		b.Control = append(b.Control, snipefront.Instance{Name: n, PeerAddress: n})
	}
	f.mu.Lock()
	f.up[name] = b
	f.mu.Unlock()
	go func() { b.ended <- b.Run(ctx) }()
}

func (f *fleet) happen(name string) {
	if e := f.event.Load(); e != nil {
		(*e)(name)
	}
}

func (f *fleet) at(name string) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.up[name]
}

func (f *fleet) cut(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return from == f.mute || to == f.deaf
}

// kill ends a replica at once: nothing is saved or sent after it.
func (f *fleet) kill(name string) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.up[name]
	b.memory.breakDown()
	b.cancel()
	delete(f.up, name)
	return b
}

// end kills a replica and waits for its end.
func (f *fleet) end(name string) *member {
	b := f.kill(name)
	if err := <-b.ended; err != nil {
		f.t.Fatal(err)
	}
	return b
}

// restart ends and starts all replicas, once they are at rest with their terms
// saved.
func (f *fleet) restart() {
	f.agree()
	time.Sleep(time.Second)
	for _, n := range f.names {
		if b := f.at(n); b.memory.hard().Term != b.Leadership().Term {
			f.t.Fatalf("%s saved %+v in term %d", n, b.memory.hard(), b.Leadership().Term)
		}
	}
	for _, n := range f.names {
		defer f.start(n, f.end(n).memory)
	}
}

func (f *fleet) stop() {
	for _, n := range f.names {
		if b := f.at(n); b != nil {
			b.cancel()
			if err := <-b.ended; err != nil {
				f.t.Fatal(err)
			}
		}
	}
}

// leader waits for a leader that may act.
func (f *fleet) leader() *member {
	for range 1200 {
		for _, n := range f.names {
			if b := f.at(n); b != nil && b.Leadership().Self {
				return b
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatal("no leader in a minute")
	return nil
}

// change proposes a change of the configuration until it has a result.
func (f *fleet) change(id string, version uint64) state.ConfigResult {
	c := state.Compare(nil, version, []state.File{{Name: id, Content: []byte(`{}`)}})
	c.ChangeID = id
	b, err := state.Command{Config: &c}.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	for range 100 {
		var r state.ConfigResult
		text, err := f.leader().Propose(f.t.Context(), b)
		if err == nil && state.Decode(text, &r) == nil {
			return r
		}
	}
	f.t.Fatal("no result")
	return state.ConfigResult{}
}

// agree waits until all replicas have the same state.
func (f *fleet) agree() {
	for range 1200 {
		var states []string
		for _, n := range f.names {
			s, err := f.at(n).state.Snapshot()
			if err != nil {
				f.t.Fatal(err)
			}
			states = append(states, string(s))
		}
		if len(slices.Compact(states)) == 1 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatal("the replicas differ")
}

func (f *fleet) count(name string, messages []raft.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[name]++
	for _, m := range messages {
		if m.Kind.Reply() {
			f.replies[name]++
		}
	}
}

// counts returns the calls of a replica and the replies in them, and forgets all.
func (f *fleet) counts(name string) (calls, replies int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls, replies = f.calls[name], f.replies[name]
	clear(f.calls)
	clear(f.replies)
	return calls, replies
}

// caller delivers messages for the replica that it names.
type caller struct {
	fleet *fleet
	name  string
}

func (c caller) Step(ctx context.Context, address string, messages []raft.Message) ([]raft.Message, error) {
	c.fleet.happen(c.name)
	c.fleet.count(c.name, messages)
	to := c.fleet.at(address)
	if to == nil || c.fleet.at(c.name) == nil || c.fleet.cut(c.name, address) {
		return nil, errDown
	}
	time.Sleep(time.Millisecond)
	replies, err := to.Deliver(ctx, messages)
	if c.fleet.cut(address, c.name) || c.fleet.at(address) != to {
		return nil, errDown
	}
	return replies, err
}
