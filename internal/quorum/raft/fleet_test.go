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

// node is a replica with a disk that keeps only what was saved.
type node struct {
	*raft.Replica
	up    bool
	rate  float64
	hard  raft.HardState
	snap  raft.Snapshot
	log   []raft.Entry
	state []string
	index uint64
	// until is the end of the lease that readers of this node see.
	until time.Time
}

// fleet is a set of replicas on a lossy network, driven by one random source.
type fleet struct {
	*rand.Rand
	now     time.Time
	names   []string
	nodes   map[string]*node
	network []raft.Message
	cut     map[[2]string]bool
	disks   int
	// reckless replaces disks at any time, so a quorum may be lost.
	reckless bool
	// calls is the share of chances to propose that are taken, one in calls.
	calls int
	sent  int

	leaders map[string]string
	votes   map[string]string
	chosen  map[uint64]raft.Entry
	group   string
	problem error
}

func newFleet(seed uint64, size int) *fleet {
	f := &fleet{
		Rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), nodes: map[string]*node{},
		cut: map[[2]string]bool{}, leaders: map[string]string{}, votes: map[string]string{}, chosen: map[uint64]raft.Entry{},
	}
	f.reckless = f.IntN(4) == 0
	f.calls = 1 + f.IntN(2)*100
	for i := range size {
		f.names = append(f.names, string(rune('a'+i)))
	}
	for _, n := range f.names {
		f.replace(n)
	}
	return f
}

func (f *fleet) fail(format string, args ...any) {
	if f.problem == nil {
		f.problem = fmt.Errorf(format, args...)
	}
}

// clock is the instant as the node's clock shows it.
func (f *fleet) clock(n *node) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(f.now.Sub(time.Unix(0, 0))) * n.rate))
}

func (f *fleet) replace(name string) {
	f.disks++
	f.nodes[name] = &node{Replica: &raft.Replica{Name: name, Identity: fmt.Sprint(name, f.disks)}, rate: 0.97 + 0.06*f.Float64()}
	f.restart(name)
}

func (f *fleet) restart(name string) {
	n := f.nodes[name]
	n.Replica = &raft.Replica{
		Name: name, Identity: n.Identity, Names: f.names, Heartbeat: heartbeat, Election: election, Random: f.Int64N,
	}
	n.up, n.until = true, time.Time{}
	n.index, n.state = n.snap.Index, words(n.snap.State)
	n.Start(f.clock(n), n.hard, n.snap, slices.Clone(n.log))
}

func (f *fleet) crash(n *node) { n.up, n.until = false, time.Time{} }

// settle does what the driver does. With tear, the process may end halfway.
func (f *fleet) settle(n *node, tear bool) {
	f.publish(n)
	for d := n.Take(); !d.Empty(); d = n.Take() {
		f.post(n, d.Before)
		if tear && f.IntN(100) == 0 {
			f.crash(n)
			if f.IntN(2) == 0 {
				f.restart(n.Name)
			}
			return
		}
		f.save(n, &d)
		n.Synced()
		f.post(n, d.After)
		f.apply(n, &d)
	}
	f.publish(n)
	if n.index > n.snap.Index+20 {
		n.hard, n.snap, n.log = n.Compact(n.index, bytesOf(n.state), 5)
	}
}

func (f *fleet) publish(n *node) {
	n.until = time.Time{}
	if until, from, ok := n.Lease(); ok && n.index >= from {
		n.until = until
	}
}

func (f *fleet) save(n *node, d *raft.Ready) {
	if d.Hard != nil {
		n.hard = *d.Hard
	}
	if d.Snapshot != nil {
		n.snap, n.log = *d.Snapshot, nil
	}
	for _, e := range d.Entries {
		n.log = append(slices.Clone(n.log[:e.Index-n.snap.Index-1]), e)
	}
	f.checkLogs(n)
}

func (f *fleet) apply(n *node, d *raft.Ready) {
	if d.Snapshot != nil {
		n.index, n.state = d.Snapshot.Index, words(d.Snapshot.State)
	}
	for _, e := range d.Committed {
		if e.Index != n.index+1 {
			f.fail("%s applies %d after %d", n.Identity, e.Index, n.index)
		}
		n.index = e.Index
		if e.Kind == raft.Command {
			n.state = append(n.state, string(e.Command))
		}
		if c, ok := f.chosen[e.Index]; ok && (c.Term != e.Term || string(c.Command) != string(e.Command)) || f.group != "" && f.group != n.hard.Group {
			f.fail("%s applies %v of %s, others %v of %s", n.Identity, e, n.hard.Group, c, f.group)
		}
		f.chosen[e.Index], f.group = e, n.hard.Group
	}
}

func (f *fleet) post(n *node, list []raft.Message) {
	for _, m := range list {
		if m.Kind == raft.VoteReply && !m.Reject {
			key := fmt.Sprint(m.Group, m.Term, m.From)
			if v, ok := f.votes[key]; ok && v != m.To {
				f.fail("%s votes twice in %d", m.From, m.Term)
			}
			f.votes[key] = m.To
		}
		if m.From != n.Identity {
			f.fail("%s speaks as %s", n.Identity, m.From)
		}
		f.network = append(f.network, m)
	}
}

// checkLogs looks for entries that agree after ones that do not.
func (f *fleet) checkLogs(n *node) {
	for _, name := range f.names {
		o := f.nodes[name]
		if o.hard.Group != n.hard.Group {
			continue
		}
		same := false
		for i := min(n.snap.Index+uint64(len(n.log)), o.snap.Index+uint64(len(o.log))); i > max(n.snap.Index, o.snap.Index); i-- {
			a, b := n.log[i-n.snap.Index-1], o.log[i-o.snap.Index-1]
			if a.Term == b.Term && string(a.Command) == string(b.Command) {
				same = true
			} else if same || a.Term == b.Term {
				f.fail("logs of %s and %s differ at %d", n.Identity, o.Identity, i)
			}
		}
	}
}

// checkLeaders looks for two leaders in a term, or two leases at an instant.
func (f *fleet) checkLeaders() {
	held := ""
	for _, name := range f.names {
		n := f.nodes[name]
		if !n.up {
			continue
		}
		if n.Leads() {
			key := fmt.Sprint(n.hard.Group, n.Term())
			if l, ok := f.leaders[key]; ok && l != n.Identity {
				f.fail("%s and %s lead term %d", l, n.Identity, n.Term())
			}
			f.leaders[key] = n.Identity
		}
		if f.clock(n).Before(n.until) {
			if held != "" {
				f.fail("%s and %s hold leases at once", held, n.Identity)
			}
			held = n.Identity
		}
	}
}

// act does one random thing.
func (f *fleet) act() {
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
		if n.up && n.Leads() && f.IntN(f.calls) == 0 {
			f.sent++
			n.Propose([][]byte{fmt.Appendf(nil, "%d", f.sent)})
		}
	case k < 946:
		f.cut[[2]string{n.Name, f.names[f.IntN(len(f.names))]}] = true
	case k < 950:
		clear(f.cut)
	case k < 953:
		f.crash(n)
		if f.IntN(2) == 0 {
			f.restart(n.Name)
		}
	case k < 995:
		if !n.up {
			f.restart(n.Name)
		}
	case n.Name != f.names[len(f.names)-1] && (f.reckless && f.IntN(20) == 0 || f.whole()):
		f.replace(n.Name)
	}
	f.checkLeaders()
}

func (f *fleet) tick(n *node, tear bool) {
	if n.up {
		n.Tick(f.clock(n))
		f.settle(n, tear)
	}
}

// deliver takes any message off the network, and drops or repeats some.
func (f *fleet) deliver() {
	if len(f.network) == 0 {
		return
	}
	i := f.IntN(len(f.network))
	m := f.network[i]
	if f.IntN(10) > 0 {
		f.network = slices.Delete(f.network, i, i+1)
	}
	if n := f.nodes[m.ToName]; n.up && !f.cut[[2]string{m.FromName, m.ToName}] && f.IntN(20) > 0 {
		n.Step(f.clock(n), m)
		if f.IntN(3) > 0 {
			f.settle(n, true)
		}
	}
}

// whole returns whether a leader has every present disk as a voter.
func (f *fleet) whole() bool {
	for _, name := range f.names {
		l := f.nodes[name]
		if !l.up || !l.Leads() || l.until.IsZero() {
			continue
		}
		voters := 0
		for _, m := range l.MembersAt(l.index) {
			if m.Voter && f.nodes[m.Name].Identity == m.Identity {
				voters++
			}
		}
		return voters == len(f.names) && f.calm(l)
	}
	return false
}

// calm returns whether every node has applied what the leader l has.
func (f *fleet) calm(l *node) bool {
	for _, name := range f.names {
		n := f.nodes[name]
		if !n.up || n.index < l.index {
			return false
		}
	}
	return true
}

// heal runs without faults until all nodes are whole, or for a minute.
func (f *fleet) heal() {
	clear(f.cut)
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
			f.settle(n, false)
		}
		f.checkLeaders()
		if f.whole() {
			return
		}
	}
	f.fail("the fleet does not come together")
}
