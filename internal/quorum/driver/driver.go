// Package driver runs a replica of the log: it joins the state machine of package
// raft with time, a disk, the network and the machine that the log drives.
//
// One goroutine owns the replica. It takes in all messages and proposals that
// wait, saves what follows from them in one synced write, and only then sends
// what that write promises and applies what is committed. Another goroutine for
// each other replica sends, one call at a time, and drops messages where the
// other is too slow; the replica repeats what matters.
//
// A call is answered after that save, with the replies that its messages led to.
// Where the caller no longer waits, they go in a call of their own.
//
// After a failed write the replica steps aside for good: it sends nothing,
// acknowledges nothing and does not lead. Its instance goes on without it.
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
	// heartbeatsPerLease and electionsPerLease divide a membership lease, so that
	// a new leader is found before the leases that the old one granted lapse.
	heartbeatsPerLease = 15
	electionsPerLease  = 5
	// queueLength bounds the proposals and deliveries that wait.
	queueLength = 1024
	// maxBatch is the most proposals and deliveries taken in before a save.
	maxBatch = 1024
	// defaultSnapshotEntries and defaultSnapshotBytes are the least that the log
	// grows by between snapshots.
	defaultSnapshotEntries = 4096
	defaultSnapshotBytes   = 4 << 20
	// logPerSnapshot is the least length of the log when a snapshot is taken, as a
	// multiple of the snapshot before.
	logPerSnapshot = 2
	// keptEntries stay in memory after a snapshot, for replicas that lag.
	keptEntries = 1024
	// memberSeparator stands in no name.
	memberSeparator = "\n"
)

// Storage saves a replica. Each call returns once its data are on the disk.
type Storage interface {
	Save(h *raft.HardState, entries []raft.Entry) error
	// Compact replaces the whole log.
	Compact(h raft.HardState, s raft.Snapshot, entries []raft.Entry) error
	// Draft writes a log that starts with s, beside calls of Save. Adopt makes it
	// the log.
	Draft(h raft.HardState, s raft.Snapshot) error
	Adopt(h raft.HardState, entries []raft.Entry) error
	// Bytes returns the length of what is saved.
	Bytes() int64
	Close() error
}

// Capturer is a Machine whose state is encoded beside later changes of it. The
// state of any other Machine is encoded at once.
type Capturer interface {
	// Capture returns a function that encodes the state as it is now.
	Capture() func() ([]byte, error)
}

// Caller delivers messages to the control instance at address.
type Caller interface {
	// Step returns the replies that are ready at once.
	Step(ctx context.Context, address string, messages []raft.Message) ([]raft.Message, error)
}

// Log implements snipefront.Log. Set the exported fields before Run.
type Log struct {
	// Name is this instance, one of Control.
	Name string
	// Control lists the instances with a replica, in the same order at each. Where
	// MaxVoters is set they are only those to ask first, and the name of an instance
	// is its peer address.
	Control []snipefront.Instance
	// MaxVoters opens the group to any instance and bounds the voters. Zero keeps
	// the group to Control.
	MaxVoters int
	// JoinOnly is true where this replica must not start a group.
	JoinOnly bool
	// Leaseless is true where nobody relies on Leadership.Self to be exclusive. A
	// replica may then vote as soon as it has started.
	Leaseless bool
	Machine   snipefront.Machine
	Storage   Storage
	// Saved is what Storage held at the start.
	Saved  disk.Saved
	Caller Caller
	// Lease is the length of a membership lease, from which the time between
	// heartbeats and the election timeout follow.
	Lease time.Duration
	// Random returns a number from 0 to n-1.
	Random func(n int64) int64
	// SnapshotEntries is the least number of entries between two snapshots. Zero
	// takes the default.
	SnapshotEntries uint64
	// SnapshotBytes is the least length of the log between two snapshots. Zero
	// takes the default.
	SnapshotBytes int64
	Logger        *slog.Logger

	once      sync.Once
	proposals chan proposal
	inbox     chan *delivery
	// ended is closed when the replica takes in nothing more.
	ended chan struct{}
	view  atomic.Pointer[view]

	replica *raft.Replica
	hard    raft.HardState
	links   map[string]*link
	// sending ends the links, each of which then reports on closed.
	sending context.Context
	closed  chan struct{}
	waiting map[uint64]waiter
	// calls are the deliveries taken in since the last save.
	calls   []*delivery
	applied uint64
	// snapped is the last entry in a snapshot, base the length of the log after it,
	// and size the length of its state.
	snapped uint64
	base    int64
	size    int64
	// drafting is true from the start of a draft until it is read from drafted.
	drafting bool
	drafted  chan draft
}

// draft is a snapshot of which a draft is saved.
type draft struct {
	snapshot raft.Snapshot
	err      error
}

// view is what Leadership and Members read.
type view struct {
	leader string
	term   uint64
	// members holds the names of the members, sorted.
	members string
	// silent holds those that do not answer this leader, sorted.
	silent string
	// until is the end of the leader's own lease. Zero is none.
	until time.Time
}

type proposal struct {
	command []byte
	// result has room for one outcome.
	result chan outcome
}

// delivery is messages of another replica.
type delivery struct {
	// context is done where the sender no longer waits. Nil means that nobody
	// waits, as for the replies that a call of this replica brought.
	context  context.Context
	messages []raft.Message
	replies  []raft.Message
	// answered has room for one token, after which replies are complete.
	answered chan struct{}
}

type outcome struct {
	result []byte
	err    error
}

// waiter is a proposal that was appended in term.
type waiter struct {
	term   uint64
	result chan outcome
}

var (
	errEnded = errors.New("the replica of the log has ended")
	errLost  = errors.New("the leadership was lost; the command may or may not be applied")
)

// Propose implements snipefront.Log.
func (l *Log) Propose(ctx context.Context, command []byte) ([]byte, error) {
	l.init()
	p := proposal{command: command, result: make(chan outcome, 1)}
	select {
	case l.proposals <- p:
	case <-l.ended:
		return nil, errEnded
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "propose")
	}
	select {
	case o := <-p.result:
		return o.result, o.err
	case <-l.ended:
		return nil, errEnded
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
	return snipefront.Leadership{Leader: v.leader, Term: v.term, Self: time.Now().Before(v.until)}
}

// Members returns the names of the members as this replica knows them.
func (l *Log) Members() []string {
	v := l.view.Load()
	if v == nil {
		return nil
	}
	return namesOf(v.members)
}

// Silent returns the names of the members that do not answer this replica. It is
// empty where this replica does not lead.
func (l *Log) Silent() []string {
	v := l.view.Load()
	if v == nil {
		return nil
	}
	return namesOf(v.silent)
}

func namesOf(joined string) []string {
	if joined == "" {
		return nil
	}
	return strings.Split(joined, memberSeparator)
}

// Deliver takes in messages of another replica and returns the replies to it.
func (l *Log) Deliver(ctx context.Context, messages []raft.Message) ([]raft.Message, error) {
	if len(messages) == 0 {
		return nil, nil
	}
	l.init()
	d := &delivery{context: ctx, messages: messages, answered: make(chan struct{}, 1)}
	if err := l.accept(ctx, d); err != nil {
		return nil, err
	}
	select {
	case <-d.answered:
		return d.replies, nil
	case <-l.ended:
		return nil, errEnded
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "deliver")
	}
}

// accept queues d for the replica.
func (l *Log) accept(ctx context.Context, d *delivery) error {
	select {
	case l.inbox <- d:
		return nil
	case <-l.ended:
		return errEnded
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "deliver")
	}
}

// Run runs the replica until ctx ends, and closes its storage.
func (l *Log) Run(ctx context.Context) error {
	l.init()
	if err := l.start(); err != nil {
		close(l.ended)
		return err
	}
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	l.open(sending)
	err := l.loop(ctx)
	l.view.Store(nil)
	close(l.ended)
	cancel()
	for range l.links {
		<-l.closed
	}
	if l.drafting {
		<-l.drafted
	}
	if err != nil {
		l.Logger.Error("log storage failed, replica steps aside", "error", err)
		<-ctx.Done()
	}
	return errors.Wrap(l.Storage.Close(), "close log storage")
}

func (l *Log) init() {
	l.once.Do(func() {
		l.proposals = make(chan proposal, queueLength)
		l.inbox = make(chan *delivery, queueLength)
		l.ended = make(chan struct{})
		l.waiting = map[uint64]waiter{}
		l.drafted = make(chan draft, 1)
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
	l.snapped = s.Snapshot.Index
	l.size = int64(len(s.Snapshot.State))
	l.base = l.size
	l.replica = &raft.Replica{
		Name:      l.Name,
		Identity:  s.Identity,
		Heartbeat: l.Lease / heartbeatsPerLease,
		Election:  l.Lease / electionsPerLease,
		Random:    l.Random,
		MaxVoters: l.MaxVoters,
		JoinOnly:  l.JoinOnly,
		Leaseless: l.Leaseless,
	}
	for _, c := range l.Control {
		l.replica.Names = append(l.replica.Names, c.Name)
	}
	l.replica.Start(time.Now(), s.Hard, s.Snapshot, s.Entries)
	l.Logger.Info("log opened", "identity", s.Identity, "term", s.Hard.Term, "snapshot", s.Snapshot.Index, "entries", len(s.Entries), "cut", s.Cut)
	return nil
}

// open starts a goroutine for each other replica, which reports its end on
// closed.
func (l *Log) open(ctx context.Context) {
	l.sending = ctx
	l.closed = make(chan struct{})
	l.links = map[string]*link{}
	for _, c := range l.Control {
		if c.Name != l.Name {
			l.connect(c)
		}
	}
}

// connect starts the goroutine that sends to c.
func (l *Log) connect(c snipefront.Instance) *link {
	k := &link{
		address: c.PeerAddress, caller: l.Caller, accept: l.accept,
		timeout: l.Lease / electionsPerLease, ready: make(chan struct{}, 1),
	}
	l.links[c.Name] = k
	go func() {
		k.run(l.sending)
		l.closed <- struct{}{}
	}()
	return k
}
