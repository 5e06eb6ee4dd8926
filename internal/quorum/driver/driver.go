// Package driver runs a replica of the log. It connects the Raft state machine of
// package raft with the clock, the storage, the network and the replicated machine.
//
// One goroutine owns the replica. It handles all queued messages and proposals as a
// batch, saves the outcome in one synced write, and only then sends the messages
// that depend on that write and applies the committed entries. For each other
// replica, another goroutine sends messages, one call at a time. Messages to a
// replica whose queue is full are dropped; Raft sends again what is still needed.
//
// A call from another replica is answered after the save, with the replies to its
// messages. If the caller has stopped waiting, the replies are sent in a separate
// call.
//
// After a failed write the replica stops until the process restarts: it sends
// nothing, acknowledges nothing and does not lead. The rest of the instance keeps
// running.
package driver

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/quorum/disk"
	"github.com/snipefront/snipefront/internal/quorum/raft"
)

const (
	// heartbeatsPerLease and electionsPerLease are the numbers of heartbeat intervals
	// and of minimum election timeouts in a membership lease. A new leader is thus
	// elected before the leases that the old one granted expire.
	heartbeatsPerLease = 15
	electionsPerLease  = 5
	// queueLength is the capacity of the proposal queue and of the delivery queue.
	queueLength = 1024
	// maxBatch is the maximum number of proposals and deliveries handled before a save.
	maxBatch = 1024
	// defaultSnapshotEntries and defaultSnapshotBytes are the minimum growth of the
	// log between snapshots.
	defaultSnapshotEntries = 4096
	defaultSnapshotBytes   = 4 << 20
	// minGrowthPerState is the minimum growth of the log between snapshots, as a
	// multiple of the state's length in the last snapshot.
	minGrowthPerState = 2
	// retainedEntries is the maximum number of entries before a snapshot that stay in
	// memory for replicas that lag behind.
	retainedEntries = 1024
	// memberSeparator joins member names into one string, so that two views can be
	// compared with ==. No name contains it.
	memberSeparator = "\n"
)

// Storage saves the state of a replica. Each call returns once its data is durable.
type Storage interface {
	// SetCommit sets the commit index that the next Save, Compact or Promote saves with
	// its data. The entries up to it are saved by then.
	SetCommit(index uint64)
	Save(h *raft.HardState, entries []raft.Entry) error
	// Compact replaces the whole log.
	Compact(h raft.HardState, s raft.Snapshot, entries []raft.Entry) error
	// Stage writes a new log that starts with s. It may run concurrently with Save.
	// Promote adds entries to the staged log and replaces the current log by it.
	Stage(h raft.HardState, s raft.Snapshot) error
	Promote(h raft.HardState, entries []raft.Entry) error
	// Bytes returns the length of the log.
	Bytes() int64
	Close() error
}

// Capturer is a StateMachine whose state can be encoded while later commands change it.
// The state of any other StateMachine is encoded synchronously.
type Capturer interface {
	// Capture returns a function that encodes the state at the time of this call.
	Capture() func() ([]byte, error)
}

// Caller sends messages to other replicas.
type Caller interface {
	// Step delivers messages to the control instance at address, and returns the
	// replies that come with the answer.
	Step(ctx context.Context, address string, messages []raft.Message) ([]raft.Message, error)
}

// Log implements snipefront.Log. Set the exported fields before Run.
type Log struct {
	// Name is the name of this instance. It is one of Control, unless MaxVoters is set.
	Name string
	// Control lists the instances that run a replica, in the same order on each. If
	// MaxVoters is set, these are only the first to contact, and the name of an
	// instance is its peer address.
	Control []snipefront.Instance
	// MaxVoters, if not zero, lets any instance join the group and is the maximum
	// number of voters. Zero limits the group to Control.
	MaxVoters int
	// MinVoters is the number of voters of an open group that a removal leaves at least, if
	// no other member takes the place. Zero is MaxVoters.
	MinVoters int
	// Place returns the data centre of the instance with a name, or "" if it isn't known, by
	// which the voters of an open group are spread. Nil knows none.
	Place func(name string) string
	// JoinOnly is true if the group has been started before. The replica then starts one only to
	// finish a first start that was interrupted.
	JoinOnly bool
	// Leaseless is true if nothing requires that Leadership.Self holds for at most one
	// replica at a time. A replica may then vote as soon as it has started.
	Leaseless bool
	Machine   snipefront.StateMachine
	Storage   Storage
	// Saved is what Storage contained at the start.
	Saved  disk.Saved
	Caller Caller
	// Lease is the length of a membership lease. The heartbeat interval and the
	// election timeout are fractions of it.
	Lease time.Duration
	// Random returns a number from 0 to n-1.
	Random func(n int64) int64
	// SnapshotEntries is the minimum number of entries between two snapshots. Zero
	// selects the default, 4096.
	SnapshotEntries uint64
	// SnapshotBytes is the minimum growth of the log between two snapshots. Zero
	// selects the default, 4 MiB.
	SnapshotBytes int64
	Logger        *slog.Logger

	once      sync.Once
	proposals chan proposal
	inbox     chan *delivery
	// stopped is closed once the replica handles no more proposals and deliveries.
	stopped chan struct{}
	// leave is closed by the first call of Leave, and left once that is answered.
	leave     chan struct{}
	leaveOnce sync.Once
	left      chan struct{}
	view      atomic.Pointer[view]

	replica *raft.Replica
	hard    raft.HardState
	links   map[string]*link
	// sendContext stops the links when it ends. Each then sends a token on linkClosed.
	sendContext context.Context
	linkClosed  chan struct{}
	// pending holds the proposals that wait to be applied, by index.
	pending map[uint64]pendingProposal
	// openCalls are the deliveries handled since the last save that need an answer.
	openCalls []*delivery
	applied   uint64
	// snapshotIndex is the index of the last snapshot, compactedBytes the length of
	// the log right after that snapshot, and stateBytes the length of its state.
	snapshotIndex  uint64
	compactedBytes int64
	stateBytes     int64
	// staging is true from the start of a snapshot until its outcome is received from
	// staged.
	staging bool
	staged  chan stagedSnapshot
}

// stagedSnapshot is the outcome of staging a snapshot.
type stagedSnapshot struct {
	snapshot raft.Snapshot
	err      error
}

// view is the state that Leadership, Members and Unresponsive read.
type view struct {
	leader string
	term   uint64
	// members holds the names of the members, sorted.
	members string
	// unresponsive holds the names of the members that do not answer this leader,
	// sorted.
	unresponsive string
	// leaseEnd is the end of this replica's leader lease. Zero means that it has none.
	leaseEnd time.Time
}

type proposal struct {
	command []byte
	// result has a capacity of one.
	result chan outcome
}

// delivery is a batch of messages from another replica.
type delivery struct {
	// context is done once the sender has stopped waiting. Nil means that nobody
	// waits, as for messages that were the replies to a call by this replica.
	context  context.Context
	messages []raft.Message
	replies  []raft.Message
	// answered has a capacity of one and receives a token once replies are complete.
	answered chan struct{}
}

type outcome struct {
	result []byte
	err    error
}

// pendingProposal is a proposal that was appended to the log in term and waits to be
// applied.
type pendingProposal struct {
	term   uint64
	result chan outcome
}

var (
	errStopped        = errors.New("log replica has stopped")
	errLeadershipLost = errors.New("leadership lost; the pending command may or may not be applied")
)

// Propose implements snipefront.Log.
func (l *Log) Propose(ctx context.Context, command []byte) ([]byte, error) {
	l.init()
	p := proposal{command: command, result: make(chan outcome, 1)}
	select {
	case l.proposals <- p:
	case <-l.stopped:
		return nil, errStopped
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "propose")
	}
	select {
	case o := <-p.result:
		return o.result, o.err
	case <-l.stopped:
		return nil, errStopped
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "propose")
	}
}

// Leadership implements snipefront.Log.
func (l *Log) Leadership() snipefront.Leadership {
	v := l.view.Load()
	if v == nil {
		return snipefront.Leadership{}
	}
	return snipefront.Leadership{Leader: v.leader, Term: v.term, Self: time.Now().Before(v.leaseEnd)}
}

// Members returns the names of the group's members in this replica's configuration.
func (l *Log) Members() []string {
	v := l.view.Load()
	if v == nil {
		return nil
	}
	return splitNames(v.members)
}

// Unresponsive returns the names of the members that are unresponsive to this replica.
// It is empty if this replica does not lead.
func (l *Log) Unresponsive() []string {
	v := l.view.Load()
	if v == nil {
		return nil
	}
	return splitNames(v.unresponsive)
}

func splitNames(joined string) []string {
	if joined == "" {
		return nil
	}
	return strings.Split(joined, memberSeparator)
}

// Deliver handles messages from another replica and returns the replies to them, once
// what they depend on is saved. It fails if the replica stops or ctx ends first.
func (l *Log) Deliver(ctx context.Context, messages []raft.Message) ([]raft.Message, error) {
	if len(messages) == 0 {
		return nil, nil
	}
	l.init()
	d := &delivery{context: ctx, messages: messages, answered: make(chan struct{}, 1)}
	if err := l.enqueue(ctx, d); err != nil {
		return nil, err
	}
	select {
	case <-d.answered:
		return d.replies, nil
	case <-l.stopped:
		return nil, errStopped
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "deliver")
	}
}

// enqueue puts d into the replica's inbox.
func (l *Log) enqueue(ctx context.Context, d *delivery) error {
	select {
	case l.inbox <- d:
		return nil
	case <-l.stopped:
		return errStopped
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "deliver")
	}
}

// Run runs the replica until ctx ends, and closes its storage. If the storage fails, the
// replica stops, and Run waits for ctx to end.
func (l *Log) Run(ctx context.Context) error {
	l.init()
	if err := l.start(); err != nil {
		close(l.stopped)
		return err
	}
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	l.openLinks(sending)
	err := l.loop(ctx)
	l.view.Store(nil)
	close(l.stopped)
	cancel()
	for range l.links {
		<-l.linkClosed
	}
	if l.staging {
		<-l.staged
	}
	if err != nil {
		l.Logger.Error("log storage failed; replica is stopped until the process restarts", "error", err)
		<-ctx.Done()
	}
	return errors.Wrap(l.Storage.Close(), "close log storage")
}

// Stopped returns a channel that is closed once the replica has stopped, since the storage
// failed or the context of Run ended.
func (l *Log) Stopped() <-chan struct{} {
	l.init()
	return l.stopped
}

func (l *Log) init() {
	l.once.Do(func() {
		l.proposals = make(chan proposal, queueLength)
		l.inbox = make(chan *delivery, queueLength)
		l.stopped = make(chan struct{})
		l.leave = make(chan struct{})
		l.left = make(chan struct{})
		l.pending = map[uint64]pendingProposal{}
		l.staged = make(chan stagedSnapshot, 1)
	})
}

func (l *Log) start() error {
	s := l.Saved
	if s.Snapshot.Index > 0 {
		if err := l.Machine.Restore(s.Snapshot.State); err != nil {
			return errors.Wrap(err, "restore saved snapshot")
		}
	}
	l.hard = s.Hard
	l.applied = s.Snapshot.Index
	l.snapshotIndex = s.Snapshot.Index
	l.stateBytes = int64(len(s.Snapshot.State))
	l.compactedBytes = l.stateBytes
	l.replica = &raft.Replica{
		Name:      l.Name,
		Identity:  s.Identity,
		Heartbeat: l.Lease / heartbeatsPerLease,
		Election:  l.Lease / electionsPerLease,
		Random:    l.Random,
		MaxVoters: l.MaxVoters,
		MinVoters: l.MinVoters,
		Place:     l.Place,
		Seeds:     s.FirstStart,
		JoinOnly:  l.JoinOnly && len(s.FirstStart) == 0,
		Leaseless: l.Leaseless,

		SavedCommit: s.Commit,
	}
	for _, c := range l.Control {
		l.replica.Names = append(l.replica.Names, c.Name)
	}
	l.replica.Start(time.Now(), s.Hard, s.Snapshot, s.Entries)
	l.Logger.Info("log opened", "identity", s.Identity, "term", s.Hard.Term, "snapshot", s.Snapshot.Index, "entries", len(s.Entries), "commit", s.Commit, "tornBytes", s.Cut, "firstStart", s.FirstStart)
	return nil
}
