// Package raft is the state machine of a replicated log that follows the published
// Raft algorithm. It has no goroutine, clock, disk or socket: Step and Tick are given
// the current time, and Take returns what is to be sent, saved and applied.
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
// A blank replica sends a Join to all configured instances. Another blank replica
// replies with its identity. When the first of the seeds is blank and has
// such a reply, no older than an election timeout, from every other one, it writes
// the configuration of all these identities as the first entry and leads term 1.
// Its own identity becomes the name of the group. A replica durably adopts the
// first group that addresses it by its identity, and ignores any other. Only the
// first instance can start a group, and never while any other holds state, so a
// second group cannot gather a majority of the first.
//
// The first start may be interrupted. A disk that was there keeps the list of seeds, and
// a blank replica with such a disk says so in its replies. A first seed whose disk was not
// there, or no longer is, starts the group only if all others were: then no majority of
// an earlier group can hold state.
//
// # Replaced disk
//
// A leader that receives a Join from an unknown identity removes the old identity
// of that instance from the configuration, adds the new one as a learner, and makes
// it a voter once it has the log. Each of these is a configuration change of its
// own, which starts after the one before has committed.
//
// # Open groups
//
// In an open group, instances of any name may join as learners and become voters, up to
// MaxVoters. An instance that is removed for good and replaced by one of another name must not
// go on counting: a voter whose process ends as planned asks the leader to remove it first, and
// one that is gone is removed by the leader, both only if the group tolerates as many losses
// without it. An instance that was removed and comes back joins again. With MaxVoters voters,
// a learner takes the place of a voter if the voters are spread over more places then.
//
// # Leases
//
// A replica that received a message of a leader, or started, within the minimum
// election timeout grants no vote. After a quorum has answered a heartbeat of a
// leader, no other replica can be elected until this timeout has passed since the
// leader sent the heartbeat. Lease returns a slightly earlier instant, to allow for
// clocks that run at different rates.
package raft

import (
	"slices"
	"time"
)

const (
	// maxBatchEntries and maxBatchBytes limit the entries of an Append and the bytes
	// of their commands. One entry is sent even if it has more bytes.
	maxBatchEntries = 1024
	maxBatchBytes   = 1 << 20
	// maxInFlightEntries is the number of unacknowledged entries at which replicate
	// pauses for a peer.
	maxInFlightEntries = 8192
	// leaseTenths is the length of a lease in tenths of the minimum election timeout.
	// The rest allows for clocks that run at different rates.
	leaseTenths = 9
	// snapshotResendHeartbeats is the least time between two sends of a snapshot to
	// a peer, in heartbeat intervals, if it isn't known to be lost.
	snapshotResendHeartbeats = 20
	// replaceVoterTimeouts is the number of election timeouts without an answer after
	// which a voter is gone.
	replaceVoterTimeouts = 3
	// removeLearnerTimeouts is the number of election timeouts without an answer after
	// which a learner of an open group is removed.
	removeLearnerTimeouts = 12
	// firstElectionDivisor sets when a Leaseless replica starts its first election: at
	// random within the minimum election timeout divided by it.
	firstElectionDivisor = 8
	// startRoundDivisor and startElectionDivisor set the times between pre-votes and
	// between elections of a replica that has had no leader since its start. The first
	// ones are at random from one to two times the minimum election timeout divided by it.
	startRoundDivisor    = 16
	startElectionDivisor = 8
	// startVoters is the number of voters up to which startRoundDivisor holds.
	startVoters = 5
	// startRounds is the number of pre-votes after which the time between them doubles,
	// so that a replica that reaches no other doesn't keep sending them at that rate.
	startRounds = 8
	// rejoinTimeouts is the number of election timeouts without a leader after which a
	// replica sends Joins. A group that has a quorum has a leader again by then.
	rejoinTimeouts = 2
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Replica is one replica. Set the exported fields, then call Start.
type Replica struct {
	// Name is the name of the instance. It is one of Names, unless MaxVoters is set.
	Name string
	// Identity is the identity of the disk.
	Identity string
	// Names are the configured instances, the same list at each. If MaxVoters is
	// set, they are only the instances that get the first Joins.
	Names []string
	// MaxVoters, if not zero, opens the group to instances outside of Names and
	// limits the number of voters. Zero restricts the group to Names.
	MaxVoters int
	// MinVoters is the number of voters of an open group that a removal leaves at least, if no
	// learner takes the place: with a quorum of them, an entry outlives the loss of as many disks as
	// the group must tolerate. Zero is MaxVoters.
	MinVoters int
	// Seeds are the instances that start the group together, the same list at each; the first
	// one starts it. Empty means Names.
	Seeds []string
	// Place returns where the instance with a name is, such as its data centre, or "" if that
	// isn't known. The voters of an open group are spread over places, so that the loss of one
	// costs few of them. Nil knows no place.
	Place func(name string) string
	// JoinOnly states that the disk of this replica wasn't there at the first start of the
	// group. It then starts a group only with others that were.
	JoinOnly bool
	// Leaseless states that nothing relies on Lease, so that a replica may vote as
	// soon as it has started.
	Leaseless bool
	// Heartbeat is the interval between heartbeats.
	Heartbeat time.Duration
	// Election is the minimum election timeout. The maximum is twice that.
	Election time.Duration
	// SavedCommit is the commit index that was saved with the log, or zero. What is
	// committed up to it is applied as soon as the replica has started.
	SavedCommit uint64
	// Random returns a number from 0 to n-1.
	Random func(n int64) int64

	hard     HardState
	log      memoryLog
	snapshot Snapshot
	// commit is the index of the last committed entry, applied of the last one that
	// Take returned to be applied.
	commit  uint64
	applied uint64
	// taken is the index of the last entry that Take returned, synced of the last
	// one that the driver has saved.
	taken  uint64
	synced uint64
	// configurations are those of the snapshot and the log, oldest first.
	configurations []configuration

	role   role
	leader string
	// start is when the replica started; Message.Sent counts from it. now is the
	// time given to the last call of Start, Step or Tick.
	start time.Time
	now   time.Time
	// lastContact is when the last message of a leader arrived, or the replica started.
	lastContact      time.Time
	electionDeadline time.Time
	nextJoinRequest  time.Time
	// hadLeader is true once the replica has had a leader, or has led, since its start.
	hadLeader bool
	// rounds and elections count the pre-votes and elections of this replica since its
	// start. deferred is true if it has put off the next one for another replica's.
	rounds    int
	elections int
	deferred  bool
	// lostRound is what the next TakeLostRound returns.
	lostRound *Quorum
	// leaders holds when the last message of each leader arrived, by identity.
	leaders map[string]time.Time
	// votes holds the identities that granted the current pre-vote or vote.
	votes map[string]bool
	// blankReplicas holds the blank replicas that answered a Join, by name.
	blankReplicas map[string]blankReplica
	// groupFound is true once a member of a group has answered a Join.
	groupFound bool

	electedAt time.Time
	// firstIndex is the index of the first entry of this leader's term.
	firstIndex    uint64
	nextHeartbeat time.Time
	// earlierCommit was the commit index of this leader at least a heartbeat interval ago,
	// notedCommit at notedAt, which is later.
	earlierCommit uint64
	notedCommit   uint64
	notedAt       time.Time
	// peers holds the other members, by identity. It is set only on a leader.
	peers map[string]*peer

	// leaving holds the names of the members that have asked this leader to be removed, by
	// identity.
	leaving map[string]string
	// leaves is set once Leave was called, hasLeft once that was answered, and leaveRefused
	// if the replica stays. nextLeave is when the leader is asked again.
	leaves       bool
	hasLeft      bool
	leaveRefused bool
	nextLeave    time.Time

	// announceCommit makes the next Tick send heartbeats, so that followers receive
	// a new commit index without waiting for the interval. Only open groups set it.
	announceCommit bool
	// hardChanged is set while hard differs from what Take last returned.
	hardChanged bool
	// receivedSnapshot, beforeSave and afterSave are what the next Take returns as
	// Snapshot, Before and After.
	receivedSnapshot *Snapshot
	beforeSave       []Message
	afterSave        []Message
}

// Start initializes the replica at the time now with the saved hard state,
// snapshot and entries, which are all zero on a blank disk.
func (r *Replica) Start(now time.Time, h HardState, s Snapshot, entries []Entry) {
	r.start = now
	r.now = now
	r.lastContact = now
	r.hard = h
	r.snapshot = s
	r.log = memoryLog{offset: s.Index, offsetTerm: s.Term, entries: entries}
	r.commit = max(s.Index, min(r.SavedCommit, r.log.last()))
	r.applied = s.Index
	r.taken = r.log.last()
	r.synced = r.taken
	r.configurations = []configuration{{index: s.Index, members: s.Members}}
	r.recordConfigurations(entries)
	r.blankReplicas = map[string]blankReplica{}
	if len(r.Seeds) == 0 {
		r.Seeds = slices.Clone(r.Names)
	}
	r.leaders = map[string]time.Time{}
	r.resetElectionDeadline(now)
	if r.Leaseless {
		r.lastContact = now.Add(-r.Election)
		r.electionDeadline = now.Add(time.Duration(r.Random(int64(r.Election / firstElectionDivisor))))
	}
}

// Propose appends commands to the log if this replica is the leader, and returns
// the index of the first one and their term. Otherwise ok is false.
func (r *Replica) Propose(commands [][]byte) (index, term uint64, ok bool) {
	if r.role != leader {
		return 0, 0, false
	}
	index = r.log.last() + 1
	entries := make([]Entry, len(commands))
	for i, c := range commands {
		entries[i] = Entry{Command: c}
	}
	r.appendEntries(entries)
	r.replicate()
	return index, r.hard.Term, true
}

// Take returns what the driver must do since the last call. Nothing is returned twice.
func (r *Replica) Take() Ready {
	d := Ready{Before: r.beforeSave, After: r.afterSave, Snapshot: r.receivedSnapshot, Commit: r.commit}
	if r.hardChanged {
		// Messages may carry the new term, so none is sent before it is saved.
		h := r.hard
		d.Hard = &h
		d.After = append(d.Before, d.After...)
		d.Before = nil
	}
	d.Entries = r.log.slice(r.taken, r.log.last())
	d.Committed = r.log.slice(r.applied, r.commit)
	r.taken = r.log.last()
	r.applied = r.commit
	r.beforeSave, r.afterSave, r.receivedSnapshot, r.hardChanged = nil, nil, nil, false
	return d
}

// Synced tells the replica that the driver has saved all that Take returned.
func (r *Replica) Synced() {
	r.synced = r.taken
	if r.role == leader {
		r.advanceCommit()
	}
}

// SnapshotAt returns the snapshot after the entry at index, without State. The entry
// must be applied and not compacted.
func (r *Replica) SnapshotAt(index uint64) Snapshot {
	t, _ := r.log.term(index)
	return Snapshot{Index: index, Term: t, Members: r.MembersAt(index)}
}

// Compact replaces the start of the log by a snapshot. state is the state of the
// driven machine after the entry at index, which must be applied. The log keeps up
// to keep entries before the snapshot in memory for replicas that lag. Compact
// returns the hard state, the snapshot and the entries after it, which the driver
// saves in place of the log.
func (r *Replica) Compact(index uint64, state []byte, keep uint64) (HardState, Snapshot, []Entry) {
	r.snapshot = r.SnapshotAt(index)
	r.snapshot.State = state
	if index > keep {
		r.log.compact(index - keep)
	}
	for len(r.configurations) > 1 && r.configurations[1].index <= index {
		r.configurations = r.configurations[1:]
	}
	return r.hard, r.snapshot, r.log.slice(index, r.taken)
}

// Leader returns the name of the leader, or "" if it is unknown.
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

// Leads reports whether this replica is the leader of its term.
func (r *Replica) Leads() bool { return r.role == leader }

// LastIndex returns the index of the last entry of the log.
func (r *Replica) LastIndex() uint64 { return r.log.last() }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.hard.Term }

// Lease returns the instant until which no other replica can be elected. Once the
// entry at index from is applied, the driven machine reflects all that earlier
// leaders committed. If ok is false, the replica holds no lease. In a Leaseless group
// another replica may be elected earlier.
func (r *Replica) Lease() (until time.Time, from uint64, ok bool) {
	if r.role != leader || r.commit < r.firstIndex {
		return time.Time{}, 0, false
	}
	contact, ok := r.quorumContact()
	if !ok {
		return time.Time{}, 0, false
	}
	return r.start.Add(contact + r.Election/10*leaseTenths), r.firstIndex, true
}

// appendEntries appends entries to the leader's log in its term.
func (r *Replica) appendEntries(entries []Entry) {
	for i := range entries {
		entries[i].Index = r.log.last() + 1 + uint64(i)
		entries[i].Term = r.hard.Term
	}
	r.log.entries = append(r.log.entries, entries...)
	r.recordConfigurations(entries)
}

// send queues m. With afterSaving, m is sent only after the state that Take
// returns with it is saved, since m relies on that state.
func (r *Replica) send(m Message, afterSaving bool) {
	m.From = r.Identity
	m.FromName = r.Name
	m.Group = r.hard.Group
	if afterSaving {
		r.afterSave = append(r.afterSave, m)
		return
	}
	r.beforeSave = append(r.beforeSave, m)
}
