package raft_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/snipefront/snipefront/internal/quorum/raft"
)

const (
	heartbeat = 100 * time.Millisecond
	election  = 400 * time.Millisecond
)

// node is a replica with a disk. A restart keeps only what was saved.
type node struct {
	*raft.Replica
	up        bool
	clockRate float64
	hard      raft.HardState
	snapshot  raft.Snapshot
	log       []raft.Entry
	// commit is the commit index that was saved with the last write.
	commit  uint64
	state   []string
	applied uint64
	// leaseEnd is the end of the lease that this node reports to readers, zero if it
	// has none.
	leaseEnd time.Time
}

// fleet is a set of replicas on a lossy network. One random source decides all that
// happens, and failure is the first broken rule.
type fleet struct {
	*rand.Rand
	now       time.Time
	names     []string
	nodes     map[string]*node
	network   []raft.Message
	cutLinks  map[[2]string]bool
	diskCount int
	// mayLoseQuorum allows disks to be replaced at any time, so a quorum may be lost.
	mayLoseQuorum bool
	// proposeOneIn is how rarely a leader proposes: at random, at one in proposeOneIn
	// steps that would let it propose.
	proposeOneIn int
	proposed     int
	// compactAfter is the number of entries after which a log is compacted, and retained that
	// of the entries before a snapshot that stay in memory.
	compactAfter, retained uint64
	// configure sets further fields of each replica before it starts. It may be nil.
	configure func(r *raft.Replica)
	// late holds the messages that runFor delays, in the order of their arrival.
	late []lateMessage

	// leaders is keyed by group and term, votes by group, term and voter, and
	// committed by index.
	leaders   map[string]string
	votes     map[string]string
	committed map[uint64]raft.Entry
	group     string
	failure   error
}

func newFleet(seed uint64, size int) *fleet {
	f := &fleet{
		Rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), nodes: map[string]*node{},
		cutLinks: map[[2]string]bool{}, leaders: map[string]string{}, votes: map[string]string{}, committed: map[uint64]raft.Entry{},
		compactAfter: 20, retained: 5,
	}
	f.mayLoseQuorum = f.IntN(4) == 0
	f.proposeOneIn = 1 + f.IntN(2)*100
	for i := range size {
		f.names = append(f.names, string(rune('a'+i)))
	}
	for _, n := range f.names {
		f.replace(n)
	}
	return f
}

func (f *fleet) fail(format string, args ...any) {
	if f.failure == nil {
		f.failure = fmt.Errorf(format, args...)
	}
}

// clock returns the current time on the node's clock, which runs at its own rate.
func (f *fleet) clock(n *node) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(f.now.Sub(time.Unix(0, 0))) * n.clockRate))
}

// replace gives the named node a blank disk and starts it.
func (f *fleet) replace(name string) {
	f.diskCount++
	f.nodes[name] = &node{Replica: &raft.Replica{Name: name, Identity: fmt.Sprint(name, f.diskCount)}, clockRate: 0.97 + 0.06*f.Float64()}
	f.restart(name)
}

// restart starts the named node from what it has saved.
func (f *fleet) restart(name string) {
	n := f.nodes[name]
	n.Replica = &raft.Replica{
		Name: name, Identity: n.Identity, Names: f.names, Heartbeat: heartbeat, Election: election, Random: f.Int64N,
		SavedCommit: n.commit,
	}
	if f.configure != nil {
		f.configure(n.Replica)
	}
	n.up, n.leaseEnd = true, time.Time{}
	n.applied, n.state = n.snapshot.Index, splitState(n.snapshot.State)
	n.Start(f.clock(n), n.hard, n.snapshot, slices.Clone(n.log))
}

func (f *fleet) crash(n *node) { n.up, n.leaseEnd = false, time.Time{} }

// process sends, saves and applies what Take returns, as the driver does. With mayCrash,
// the node may crash before it saves.
func (f *fleet) process(n *node, mayCrash bool) {
	f.updateLease(n)
	for d := n.Take(); !d.Empty(); d = n.Take() {
		f.sendAll(n, d.Before)
		if mayCrash && f.IntN(100) == 0 {
			f.crash(n)
			if f.IntN(2) == 0 {
				f.restart(n.Name)
			}
			return
		}
		f.save(n, &d)
		n.Synced()
		f.sendAll(n, d.After)
		f.apply(n, &d)
	}
	f.updateLease(n)
	if n.applied > n.snapshot.Index+f.compactAfter {
		n.hard, n.snapshot, n.log = n.Compact(n.applied, joinState(n.state), f.retained)
	}
}

func (f *fleet) updateLease(n *node) {
	n.leaseEnd = time.Time{}
	if until, from, ok := n.Lease(); ok && n.applied >= from {
		n.leaseEnd = until
	}
}

func (f *fleet) save(n *node, d *raft.Ready) {
	if d.Hard != nil || d.Snapshot != nil || len(d.Entries) > 0 {
		n.commit = d.Commit
	}
	if d.Hard != nil {
		n.hard = *d.Hard
	}
	if d.Snapshot != nil {
		n.snapshot, n.log = *d.Snapshot, nil
	}
	for _, e := range d.Entries {
		n.log = append(slices.Clone(n.log[:e.Index-n.snapshot.Index-1]), e)
	}
	f.checkLogs(n)
}

func (f *fleet) apply(n *node, d *raft.Ready) {
	if d.Snapshot != nil {
		n.applied, n.state = d.Snapshot.Index, splitState(d.Snapshot.State)
	}
	for _, e := range d.Committed {
		if e.Index != n.applied+1 {
			f.fail("%s applied entry %d after entry %d", n.Identity, e.Index, n.applied)
		}
		n.applied = e.Index
		if e.Kind == raft.Command {
			n.state = append(n.state, string(e.Command))
		}
		if c, ok := f.committed[e.Index]; ok && (c.Term != e.Term || string(c.Command) != string(e.Command)) || f.group != "" && f.group != n.hard.Group {
			f.fail("%s applied %v of group %s, others applied %v of group %s", n.Identity, e, n.hard.Group, c, f.group)
		}
		f.committed[e.Index], f.group = e, n.hard.Group
	}
}

func (f *fleet) sendAll(n *node, list []raft.Message) {
	for _, m := range list {
		if m.Kind == raft.VoteReply && !m.Reject {
			key := fmt.Sprint(m.Group, m.Term, m.From)
			if v, ok := f.votes[key]; ok && v != m.To {
				f.fail("%s voted twice in term %d", m.From, m.Term)
			}
			f.votes[key] = m.To
		}
		if m.From != n.Identity {
			f.fail("%s sent a message as %s", n.Identity, m.From)
		}
		f.network = append(f.network, m)
	}
}

// checkLogs checks the log of n against those of its group: entries of one index and
// term must be the same, and so must all entries before them.
func (f *fleet) checkLogs(n *node) {
	for _, name := range f.names {
		other := f.nodes[name]
		if other.hard.Group != n.hard.Group {
			continue
		}
		matched := false
		for i := min(n.snapshot.Index+uint64(len(n.log)), other.snapshot.Index+uint64(len(other.log))); i > max(n.snapshot.Index, other.snapshot.Index); i-- {
			a, b := n.log[i-n.snapshot.Index-1], other.log[i-other.snapshot.Index-1]
			if a.Term == b.Term && string(a.Command) == string(b.Command) {
				matched = true
			} else if matched || a.Term == b.Term {
				f.fail("logs of %s and %s differ at entry %d, want the same entry", n.Identity, other.Identity, i)
			}
		}
	}
}

// checkLeaders checks that no term has two leaders, and that no two nodes hold a lease
// at once.
func (f *fleet) checkLeaders() {
	holder := ""
	for _, name := range f.names {
		n := f.nodes[name]
		if !n.up {
			continue
		}
		if n.Leads() {
			groupTerm := fmt.Sprint(n.hard.Group, n.Term())
			if l, ok := f.leaders[groupTerm]; ok && l != n.Identity {
				f.fail("%s and %s lead term %d", l, n.Identity, n.Term())
			}
			f.leaders[groupTerm] = n.Identity
		}
		if f.clock(n).Before(n.leaseEnd) {
			if holder != "" {
				f.fail("%s and %s hold a lease at the same time", holder, n.Identity)
			}
			holder = n.Identity
		}
	}
}

// randomStep delivers a message, lets time pass, proposes a command, or causes or ends
// a fault, at random.
func (f *fleet) randomStep() {
	n := f.nodes[f.names[f.IntN(len(f.names))]]
	switch k := f.IntN(1000); {
	case k < 600:
		f.deliver()
	case k < 850:
		f.now = f.now.Add(time.Duration(f.IntN(20)) * time.Millisecond)
		for _, n := range f.names {
			if f.IntN(3) > 0 {
				f.tick(f.nodes[n], true)
			}
		}
	case k < 940:
		if n.up && n.Leads() && f.IntN(f.proposeOneIn) == 0 {
			f.proposed++
			n.Propose([][]byte{fmt.Appendf(nil, "%d", f.proposed)})
		}
	case k < 946:
		f.cutLinks[[2]string{n.Name, f.names[f.IntN(len(f.names))]}] = true
	case k < 950:
		clear(f.cutLinks)
	case k < 953:
		f.crash(n)
		if f.IntN(2) == 0 {
			f.restart(n.Name)
		}
	case k < 995:
		if !n.up {
			f.restart(n.Name)
		}
	case n.Name != f.names[len(f.names)-1] && (f.mayLoseQuorum && f.IntN(20) == 0 || f.converged()):
		f.replace(n.Name)
	}
	f.checkLeaders()
}

func (f *fleet) tick(n *node, mayCrash bool) {
	if n.up {
		n.Tick(f.clock(n))
		f.process(n, mayCrash)
	}
}

// deliver delivers a random message. It drops some messages and duplicates others.
func (f *fleet) deliver() {
	if len(f.network) == 0 {
		return
	}
	i := f.IntN(len(f.network))
	m := f.network[i]
	if f.IntN(10) > 0 {
		f.network = slices.Delete(f.network, i, i+1)
	}
	if n := f.nodes[m.ToName]; n.up && !f.cutLinks[[2]string{m.FromName, m.ToName}] && f.IntN(20) > 0 {
		n.Step(f.clock(n), m)
		if f.IntN(3) > 0 {
			f.process(n, true)
		}
	}
}

// converged reports whether a leader that holds a lease has the current disk of every
// node as a voter, and all nodes have applied what it has.
func (f *fleet) converged() bool {
	for _, name := range f.names {
		l := f.nodes[name]
		if !l.up || !l.Leads() || l.leaseEnd.IsZero() {
			continue
		}
		voters := 0
		for _, m := range l.MembersAt(l.applied) {
			if m.Voter && f.nodes[m.Name].Identity == m.Identity {
				voters++
			}
		}
		return voters == len(f.names) && f.allApplied(l)
	}
	return false
}

// allApplied reports whether every node is up and has applied what the leader l has.
func (f *fleet) allApplied(l *node) bool {
	for _, name := range f.names {
		n := f.nodes[name]
		if !n.up || n.applied < l.applied {
			return false
		}
	}
	return true
}

// heal restarts all nodes and runs without faults until the fleet has converged. It
// fails after a minute.
func (f *fleet) heal() {
	clear(f.cutLinks)
	for _, n := range f.names {
		f.restart(n)
	}
	for range 6000 {
		f.now = f.now.Add(10 * time.Millisecond)
		for _, n := range f.names {
			f.tick(f.nodes[n], false)
		}
		list := f.network
		f.network = nil
		for _, m := range list {
			n := f.nodes[m.ToName]
			n.Step(f.clock(n), m)
			f.process(n, false)
		}
		f.checkLeaders()
		if f.converged() {
			return
		}
	}
	f.fail("the fleet did not converge within a minute without faults")
}
