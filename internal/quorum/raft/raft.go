// Package raft is the state machine of a replicated log, by the published Raft
// rules. It has no goroutine, clock, disk or socket: Step, Tick and Propose take
// the instant, and Take returns what is to be sent, saved and applied.
//
// # Identity
//
// A replica is identified by its disk. A blank disk gets a random identity, and
// votes and acknowledgements count for that identity alone, so a replaced disk
// can never vote as the one it replaces. The name of an instance only says where
// to send messages.
//
// # First start
//
// A blank replica asks all configured instances to let it join. A blank one
// answers with its identity. When the first configured instance is blank and has
// such a recent answer from every other, it writes the configuration of all these
// identities as the first entry and leads term 1. Its own identity becomes the
// name of the group. A replica adopts the first group that addresses it by its
// identity, durably, and ignores any other. Only the first instance can found a
// group, and never while any other holds state, so a second group cannot gather
// a majority of the first.
//
// # Replaced disk
//
// A leader that is asked by an unknown identity takes the old identity of that
// instance out of the configuration, adds the new one as a learner, and makes it
// a voter once it has the log. Each is one committed change, and one at a time.
//
// # Leases
//
// A replica that heard a leader, or started, within the minimum election timeout
// grants no vote. A leader that a quorum has answered therefore leads alone until
// that time has passed since it sent what they answered. Lease returns this
// instant, reduced for clocks of different rates.
package raft

import (
	"time"
)

const (
	maxBatchEntries = 1024
	maxBatchBytes   = 1 << 20
	// maxInFlight is the most entries sent ahead of the acknowledged ones.
	maxInFlight = 8192
	// leaseShare is the part of the minimum election timeout, in tenths, that a
	// lease lasts.
	leaseShare = 9
	// installPause is the number of heartbeats between two sends of a snapshot.
	installPause = 20
	// replaceTimeouts is the number of election timeouts without an answer after
	// which a voter gives its place to a learner.
	replaceTimeouts = 3
	// forgetTimeouts is the number of election timeouts without an answer after
	// which a learner is taken out.
	forgetTimeouts = 12
	// firstElectionPart is the part of the election timeout within which a Leaseless
	// group that starts together holds its first election.
	firstElectionPart = 4
	// lonelyTimeouts is the number of election timeouts without a leader after
	// which a replica asks to join.
	lonelyTimeouts = 10
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leading
)

// Replica is one replica. Set the exported fields, then call Start.
type Replica struct {
	// Name is the instance, and one of Names.
	Name string
	// Identity is that of the disk.
	Identity string
	// Names are the configured instances, the same list at each. Where MaxVoters is
	// set they are only the instances to ask first.
	Names []string
	// MaxVoters opens the group to instances outside of Names and bounds the
	// voters. Zero keeps the group to Names.
	MaxVoters int
	// JoinOnly is true where this replica must not start a group.
	JoinOnly bool
	// Leaseless is true where nobody relies on Lease, so that a replica may vote as
	// soon as it has started.
	Leaseless bool
	// Heartbeat is the time between heartbeats.
	Heartbeat time.Duration
	// Election is the minimum election timeout. The maximum is twice that.
	Election time.Duration
	// Random returns a number from 0 to n-1.
	Random func(n int64) int64

	hard     HardState
	log      history
	snapshot Snapshot
	commit   uint64
	applied  uint64
	// saved is the last entry given to the driver, synced the last it saved.
	saved  uint64
	synced uint64
	// changes are the configurations that hold from an index on, oldest first.
	changes []change

	role   role
	leader string
	// start is the instant from which Sent counts, now that of the last call.
	start time.Time
	now   time.Time
	// heard is when a leader was last heard or the replica started.
	heard    time.Time
	deadline time.Time
	nextJoin time.Time
	votes    map[string]bool
	blank    map[string]sighting

	elected  time.Time
	first    uint64
	nextBeat time.Time
	peers    map[string]*peer

	// newCommit is true where followers are to learn of a commit at once.
	newCommit bool
	dirty     bool
	received  *Snapshot
	before    []Message
	after     []Message
}

// change is a configuration and the index of its entry.
type change struct {
	index   uint64
	members []Member
}

// sighting is the answer of a blank replica, and when it was asked.
type sighting struct {
	identity string
	asked    time.Duration
}

// peer is what a leader knows of another replica.
type peer struct {
	Member
	match uint64
	next  uint64
	// known is true once an Append was accepted, so that match is exact.
	known bool
	// met is when this leader began to send to the peer, counted from start.
	met time.Duration
	// beaten is match at the last heartbeat.
	beaten uint64
	// answered is the latest Sent that the peer echoed.
	answered time.Duration
	// resume is when a snapshot may be sent again.
	resume time.Time
}

// Start takes in what was saved.
func (r *Replica) Start(now time.Time, h HardState, s Snapshot, entries []Entry) {
	r.start = now
	r.now = now
	r.heard = now
	r.hard = h
	r.snapshot = s
	r.log = history{offset: s.Index, offsetTerm: s.Term, entries: entries}
	r.commit = s.Index
	r.applied = s.Index
	r.saved = r.log.last()
	r.synced = r.saved
	r.changes = []change{{index: s.Index, members: s.Members}}
	r.note(entries)
	r.blank = map[string]sighting{}
	r.resetDeadline(now)
	if r.Leaseless {
		r.heard = now.Add(-r.Election)
		r.deadline = now.Add(time.Duration(r.Random(int64(r.Election / firstElectionPart))))
	}
}

// Propose appends commands where this replica leads, and returns the index of
// the first and the term.
func (r *Replica) Propose(commands [][]byte) (index, term uint64, ok bool) {
	if r.role != leading {
		return 0, 0, false
	}
	index = r.log.last() + 1
	entries := make([]Entry, len(commands))
	for i, c := range commands {
		entries[i] = Entry{Command: c}
	}
	r.extend(entries)
	r.replicate()
	return index, r.hard.Term, true
}

// Take returns what is to be done, once.
func (r *Replica) Take() Ready {
	d := Ready{Before: r.before, After: r.after, Snapshot: r.received}
	if r.dirty {
		h := r.hard
		d.Hard = &h
		d.After = append(d.Before, d.After...)
		d.Before = nil
	}
	d.Entries = r.log.slice(r.saved, r.log.last())
	d.Committed = r.log.slice(r.applied, r.commit)
	r.saved = r.log.last()
	r.applied = r.commit
	r.before, r.after, r.received, r.dirty = nil, nil, nil, false
	return d
}

// Synced says that all that Take returned is saved.
func (r *Replica) Synced() {
	r.synced = r.saved
	if r.role == leading {
		r.advance()
	}
}

// SnapshotAt returns the snapshot after the entry at index, which was applied, but
// for the machine's state.
func (r *Replica) SnapshotAt(index uint64) Snapshot {
	t, _ := r.log.term(index)
	return Snapshot{Index: index, Term: t, Members: r.MembersAt(index)}
}

// Compact says that state is the machine's state after the entry at index,
// which was applied. Up to keep entries before it stay for slow replicas. It
// returns the snapshot and the kept entries, to be saved in place of the log.
func (r *Replica) Compact(index uint64, state []byte, keep uint64) (HardState, Snapshot, []Entry) {
	r.snapshot = r.SnapshotAt(index)
	r.snapshot.State = state
	if index > keep {
		r.log.discard(index - keep)
	}
	for len(r.changes) > 1 && r.changes[1].index <= index {
		r.changes = r.changes[1:]
	}
	return r.hard, r.snapshot, r.log.slice(index, r.saved)
}

// Leader returns the name of the leader, or empty where it is unknown.
func (r *Replica) Leader() string {
	if r.leader == "" {
		return ""
	}
	for _, m := range r.members() {
		if m.Identity == r.leader {
			return m.Name
		}
	}
	return ""
}

// Leads returns whether this replica is the leader of its term.
func (r *Replica) Leads() bool { return r.role == leading }

// LastIndex returns the index of the last entry of the log.
func (r *Replica) LastIndex() uint64 { return r.log.last() }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.hard.Term }

// Lease returns the instant until which no other replica can be elected, and
// the entry that must be applied before the machine shows all that earlier
// leaders committed. Where ok is false there is no such instant. In a Leaseless
// group another may be elected before it.
func (r *Replica) Lease() (until time.Time, from uint64, ok bool) {
	if r.role != leading || r.commit < r.first {
		return time.Time{}, 0, false
	}
	a, ok := r.answered()
	if !ok {
		return time.Time{}, 0, false
	}
	return r.start.Add(a + r.Election/10*leaseShare), r.first, true
}

func (r *Replica) resetDeadline(now time.Time) {
	r.deadline = now.Add(r.Election + time.Duration(r.Random(int64(r.Election))))
}

// extend appends entries of this leader's term.
func (r *Replica) extend(entries []Entry) {
	for i := range entries {
		entries[i].Index = r.log.last() + 1 + uint64(i)
		entries[i].Term = r.hard.Term
	}
	r.log.entries = append(r.log.entries, entries...)
	r.note(entries)
}

// send queues m, to go before the next save, or with promise after it.
func (r *Replica) send(m Message, promise bool) {
	m.From = r.Identity
	m.FromName = r.Name
	m.Group = r.hard.Group
	if promise {
		r.after = append(r.after, m)
		return
	}
	r.before = append(r.before, m)
}
