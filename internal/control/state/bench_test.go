package state_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/snipefront/snipefront/internal/control/state"
)

// BenchmarkClaim measures a Claim and the Settle that stores an answer of 512 bytes.
// After 200,000 iterations the keys repeat: the Claim then finds the request recorded
// as run, and the Settle stores nothing.
func BenchmarkClaim(b *testing.B) {
	s := &state.State{}
	for n := 0; b.Loop(); n++ {
		k := fmt.Sprint("k", n%200_000)
		claim(b, s, k, k)
		var r state.SettleResult
		apply(b, s, state.Command{Settle: &state.Settle{Key: k, Token: k, Answer: &state.Answer{Status: 200, Body: make([]byte, 512)}}}, &r)
	}
}

// BenchmarkClaimMemory reports the heap and the snapshot bytes per stored claim.
func BenchmarkClaimMemory(b *testing.B) {
	const claims = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := &state.State{}
		for n := range claims {
			claim(b, s, fmt.Sprint("k", n), "x")
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		snapshot, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claims, "heap-B/claim")
		b.ReportMetric(float64(len(snapshot))/claims, "snapshot-B/claim")
		runtime.KeepAlive(s)
	}
}
