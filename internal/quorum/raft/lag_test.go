package raft_test

import (
	"strings"
	"testing"
	"time"
)

// TestSilentPeerGetsEntriesOnce guards against a leader that sends all entries that a peer
// lacks again with each heartbeat while the peer is silent: what waits for a frozen instance,
// or for one behind a broken link, grows by up to 1 MiB each time, in memory and on the wire.
// Once the peer answers, it must catch up soon.
func TestSilentPeerGetsEntriesOnce(t *testing.T) {
	const (
		entries, entryBytes = 10, 50_000
		silence             = 5 * time.Second
		catchUp             = 500 * time.Millisecond
	)
	f := newFleet(1, 3)
	f.heal()
	leader, silent := f.nodes["a"], f.nodes["b"]
	for _, n := range f.nodes {
		if n.Leads() {
			leader = n
		}
	}
	if leader == silent {
		silent = f.nodes["a"]
	}
	f.crash(silent)
	for range entries {
		leader.Propose([][]byte{[]byte(strings.Repeat("x", entryBytes))})
		f.process(leader, false)
	}
	sent := f.runFor(silence, silent.Name)
	if sent > 2*entries*entryBytes {
		t.Errorf("the silent peer was sent %d bytes of entries, want those of the backlog, %d, twice at most", sent, entries*entryBytes)
	}
	f.restart(silent.Name)
	f.runFor(catchUp, silent.Name)
	if !f.converged() || f.failure != nil {
		t.Errorf("the peer has applied %d of %d entries %v after its return (%v)", silent.applied, leader.applied, catchUp, f.failure)
	}
}

// runFor runs the fleet without further faults and returns the bytes of the commands that
// were sent to the node named to.
func (f *fleet) runFor(length time.Duration, to string) (bytes int) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		for _, n := range f.names {
			f.tick(f.nodes[n], false)
		}
		list := f.network
		f.network = nil
		for _, m := range list {
			n := f.nodes[m.ToName]
			if m.ToName == to {
				for _, e := range m.Entries {
					bytes += len(e.Command)
				}
			}
			if n.up {
				n.Step(f.clock(n), m)
				f.process(n, false)
			}
		}
	}
	return bytes
}
