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

// gapRecorder is a driver.Caller that records the longest time between two heartbeats to
// the same address.
type gapRecorder struct {
	driver.Caller
	mu      sync.Mutex
	last    map[string]time.Time
	longest time.Duration
}

// Step implements driver.Caller.
func (g *gapRecorder) Step(ctx context.Context, address string, messages []raft.Message) ([]raft.Message, error) {
	g.mu.Lock()
	for _, m := range messages {
		if m.Kind != raft.Heartbeat {
			continue
		}
		if last, ok := g.last[address]; ok {
			g.longest = max(g.longest, time.Since(last))
		}
		g.last[address] = time.Now()
	}
	g.mu.Unlock()
	return g.Caller.Step(ctx, address, messages)
}

// countingFolder is a disk.Folder that counts the snapshots and their bytes.
type countingFolder struct {
	*disk.Folder
	snapshots int
	bytes     int64
}

// Stage implements driver.Storage.
func (f *countingFolder) Stage(h raft.HardState, s raft.Snapshot) error {
	f.snapshots++
	f.bytes += int64(len(s.State))
	return f.Folder.Stage(h, s)
}

// BenchmarkSnapshot reports the longest time between two heartbeats of the leader, and
// the bytes written for snapshots. 64 proposers add to a state of 100,000 claims, and a
// snapshot is due every 2000 entries.
func BenchmarkSnapshot(b *testing.B) {
	const claims, proposers = 100_000, 64
	recorders := map[*driver.Log]*gapRecorder{}
	folders := map[*driver.Log]*countingFolder{}
	l := startLoopbackGroup(b, func(l *driver.Log) {
		m := &state.State{}
		for i := range claims {
			c, _ := state.Command{Claim: &state.Claim{Key: fmt.Sprint("old", i), Token: "t"}}.Encode()
			m.Apply(0, c)
		}
		l.Machine = m
		l.SnapshotEntries = 2000
		l.SnapshotBytes = 1
		g := &gapRecorder{Caller: l.Caller, last: map[string]time.Time{}}
		l.Caller = g
		recorders[l] = g
		f := &countingFolder{Folder: l.Storage.(*disk.Folder)}
		l.Storage = f
		folders[l] = f
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
	g := recorders[l]
	g.mu.Lock()
	defer g.mu.Unlock()
	b.ReportMetric(float64(g.longest.Milliseconds()), "longest-gap-ms")
	b.ReportMetric(float64(folders[l].snapshots), "snapshots")
	b.ReportMetric(float64(folders[l].bytes)/float64(b.N), "snapshot-B/proposal")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
}
