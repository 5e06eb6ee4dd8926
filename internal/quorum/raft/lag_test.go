package raft_test

import (
	"strings"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/quorum/raft"
)

// TestSilentPeerGetsEntriesOnce guards against a leader that sends all entries that a peer
// lacks again with each heartbeat while the peer is silent: what waits for a frozen instance,
// or for one behind a broken link, grows by up to 1 MiB each time, in memory and on the wire.
// It also guards against a peer that returns, as after a loss of power, and waits for a second
// heartbeat until it gets them.
func TestSilentPeerGetsEntriesOnce(t *testing.T) {
	const (
		entries, entryBytes = 10, 50_000
		silence             = 5 * time.Second
		catchUp             = heartbeat + 4*step
	)
	for phase := time.Duration(0); phase < heartbeat; phase += step {
		f := newFleet(1, 3)
		f.heal()
		leader, silent := f.leaderAndPeer()
		f.crash(silent)
		for range entries {
			leader.Propose([][]byte{[]byte(strings.Repeat("x", entryBytes))})
			f.process(leader, false)
		}
		sent := f.runFor(silence+phase, silent, 0)
		if sent > 2*entries*entryBytes {
			t.Errorf("the silent peer was sent %d bytes of entries, want those of the backlog, %d, twice at most", sent, entries*entryBytes)
		}
		f.restart(silent.Name)
		f.runFor(catchUp, silent, 0)
		if !f.converged() || f.failure != nil {
			t.Errorf("the peer has applied %d of %d entries %v after its return (%v)", silent.applied, leader.applied, catchUp, f.failure)
		}
	}
}

// TestSlowPeerGetsEntriesOnce guards against a leader that sends entries again since a peer
// has not acknowledged them yet, each time that others have committed one: the peer is only
// slower than they are.
func TestSlowPeerGetsEntriesOnce(t *testing.T) {
	const (
		entries, entryBytes = 300, 1_000
		delay               = 80 * time.Millisecond
	)
	f := newFleet(1, 3)
	f.configure = setOpen
	f.heal()
	leader, slow := f.leaderAndPeer()
	sent := 0
	for range entries {
		leader.Propose([][]byte{[]byte(strings.Repeat("x", entryBytes))})
		f.process(leader, false)
		sent += f.runFor(step, slow, delay)
	}
	f.runFor(time.Second, slow, delay)
	if sent > 3*entries*entryBytes/2 || slow.applied < leader.applied || f.failure != nil {
		t.Errorf("the slow peer was sent %d bytes of entries for %d, want half as much again at most, and has applied %d of %d (%v)",
			sent, entries*entryBytes, slow.applied, leader.applied, f.failure)
	}
}

// leaderAndPeer returns the leader and one other node.
func (f *fleet) leaderAndPeer() (leader, peer *node) {
	for _, name := range f.names {
		if n := f.nodes[name]; n.Leads() {
			leader = n
		} else {
			peer = n
		}
	}
	return leader, peer
}

// step is the time between two ticks of runFor.
const step = 10 * time.Millisecond

// runFor runs the fleet without further faults, with the given delay of each message to the
// node peer. It returns the bytes of the commands that were sent to it.
func (f *fleet) runFor(length time.Duration, peer *node, delay time.Duration) (bytes int) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		for _, n := range f.names {
			f.tick(f.nodes[n], false)
		}
		list := f.network
		f.network = nil
		for _, m := range list {
			if m.ToName != peer.Name {
				f.deliverTo(f.nodes[m.ToName], m)
				continue
			}
			for _, e := range m.Entries {
				bytes += len(e.Command)
			}
			f.late = append(f.late, lateMessage{at: f.now.Add(delay), Message: m})
		}
		for len(f.late) > 0 && !f.now.Before(f.late[0].at) {
			m := f.late[0]
			f.late = f.late[1:]
			f.deliverTo(f.nodes[m.ToName], m.Message)
		}
	}
	return bytes
}

// deliverTo delivers m to n if n is up.
func (f *fleet) deliverTo(n *node, m raft.Message) {
	if n.up {
		n.Step(f.clock(n), m)
		f.process(n, false)
	}
}

// lateMessage is a message that arrives at a time.
type lateMessage struct {
	raft.Message
	at time.Time
}
