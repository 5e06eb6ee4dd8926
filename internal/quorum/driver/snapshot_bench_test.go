package driver_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/control/state"
	"github.com/snipefront/snipefront/internal/quorum/disk"
	"github.com/snipefront/snipefront/internal/quorum/driver"
	"github.com/snipefront/snipefront/internal/quorum/raft"
)

// noted is a Caller that notes the longest time between the heartbeats that it is
// given for an address.
type noted struct {
	driver.Caller
	mu   sync.Mutex
	last map[string]time.Time
	gap  time.Duration
}

// Step implements driver.Caller.
func (n *noted) Step(ctx context.Context, address string, messages []raft.Message) ([]raft.Message, error) {
	n.mu.Lock()
	for _, m := range messages {
		if m.Kind != raft.Heartbeat {
			continue
		}
		if last, ok := n.last[address]; ok {
			n.gap = max(n.gap, time.Since(last))
		}
		n.last[address] = time.Now()
	}
	n.mu.Unlock()
	return n.Caller.Step(ctx, address, messages)
}

// written is a folder that counts what is written for snapshots.
type written struct {
	*disk.Folder
	snapshots int
	bytes     int64
}

// Draft implements driver.Storage.
func (w *written) Draft(h raft.HardState, s raft.Snapshot) error {
	w.snapshots++
	w.bytes += int64(len(s.State))
	return w.Folder.Draft(h, s)
}

// BenchmarkSnapshot reports, for proposals by 64 proposers over a state of 100,000
// claims, the longest time between two heartbeats of the leader and the bytes
// written for snapshots. The log between two of them is kept short.
func BenchmarkSnapshot(b *testing.B) {
	const claims, proposers = 100_000, 64
	notes := map[*driver.Log]*noted{}
	writes := map[*driver.Log]*written{}
	l := loopback(b, func(l *driver.Log) {
		m := &state.State{}
		for i := range claims {
			c, _ := state.Command{Claim: &state.Claim{Key: fmt.Sprint("old", i), Token: "t"}}.Encode()
			m.Apply(0, c)
		}
		l.Machine = m
		l.SnapshotEntries = 2000
		l.SnapshotBytes = 1
		n := &noted{Caller: l.Caller, last: map[string]time.Time{}}
		l.Caller = n
		notes[l] = n
		w := &written{Folder: l.Storage.(*disk.Folder)}
		l.Storage = w
		writes[l] = w
	})
	var work sync.WaitGroup
	b.ResetTimer()
	for p := range proposers {
		work.Go(func() {
			for i := p; i < b.N; i += proposers {
				c, _ := state.Command{Claim: &state.Claim{Key: fmt.Sprint("k", i), Token: "t"}}.Encode()
				if _, err := l.Propose(b.Context(), c); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	work.Wait()
	b.StopTimer()
	n := notes[l]
	n.mu.Lock()
	defer n.mu.Unlock()
	b.ReportMetric(float64(n.gap.Milliseconds()), "longest-gap-ms")
	b.ReportMetric(float64(writes[l].snapshots), "snapshots")
	b.ReportMetric(float64(writes[l].bytes)/float64(b.N), "snapshot-B/proposal")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
}
