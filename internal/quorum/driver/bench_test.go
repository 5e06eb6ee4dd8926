package driver_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/control/state"
	"github.com/snipefront/snipefront/internal/quorum/disk"
	"github.com/snipefront/snipefront/internal/quorum/driver"
	"github.com/snipefront/snipefront/internal/quorum/raft"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// startLoopbackGroup starts three replicas that store their logs on disk and call each
// other over Twirp on the loopback interface, and returns the leader. It calls prepare
// with each replica before its start.
func startLoopbackGroup(b *testing.B, prepare func(l *driver.Log)) *driver.Log {
	var control []snipefront.Instance
	var listeners []net.Listener
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners = append(listeners, l)
		control = append(control, snipefront.Instance{Name: fmt.Sprint("i", i), PeerAddress: l.Addr().String()})
	}
	ctx, cancel := context.WithCancel(b.Context())
	var logs []*driver.Log
	var servers []*http.Server
	ended := make(chan error)
	for i, c := range control {
		f := &disk.Folder{Path: filepath.Join(b.TempDir(), c.Name)}
		saved, err := f.Open()
		if err != nil {
			b.Fatal(err)
		}
		l := &driver.Log{
			Name: c.Name, Control: control, Machine: &state.State{}, Storage: f, Saved: saved, Caller: &peers.Client{},
			Lease: 2 * time.Second, Random: rand.Int64N, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		}
		prepare(l)
		r := mux.NewRouter()
		(&peers.Server{Leader: &leader.Leader{}, Log: l, Steps: l.Deliver}).Route(r)
		s := &http.Server{Handler: r}
		go func() { ended <- s.Serve(listeners[i]) }()
		go func() { ended <- l.Run(ctx) }()
		logs = append(logs, l)
		servers = append(servers, s)
	}
	b.Cleanup(func() {
		cancel()
		for _, s := range servers {
			s.Close()
		}
		for range 2 * len(servers) {
			if err := <-ended; err != nil && !errors.Is(err, http.ErrServerClosed) {
				b.Error(err)
			}
		}
	})
	for {
		for _, l := range logs {
			if l.Leadership().Self {
				return l
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// BenchmarkPropose reports the latency and the rate of proposals by 1, 16 and 256
// concurrent proposers.
func BenchmarkPropose(b *testing.B) {
	for _, proposers := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(proposers), func(b *testing.B) {
			l := startLoopbackGroup(b, func(*driver.Log) {})
			var mu sync.Mutex
			var times []time.Duration
			var work sync.WaitGroup
			b.ResetTimer()
			for p := range proposers {
				work.Go(func() {
					for i := p; i < b.N; i += proposers {
						c, _ := state.Command{Claim: &state.Claim{Key: fmt.Sprint("k", i), Token: "t"}}.Encode()
						start := time.Now()
						if _, err := l.Propose(b.Context(), c); err != nil {
							b.Error(err)
							return
						}
						d := time.Since(start)
						mu.Lock()
						times = append(times, d)
						mu.Unlock()
					}
				})
			}
			work.Wait()
			b.StopTimer()
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
			b.ReportMetric(float64(len(times))/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}

// BenchmarkRestart reports the time to open a log of 100, 1000 and 4000 configuration
// changes and to apply them, and the stored bytes per change.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []uint64{100, 1000, 4000} {
		b.Run(fmt.Sprint(changes), func(b *testing.B) {
			f := &disk.Folder{Path: b.TempDir()}
			if _, err := f.Open(); err != nil {
				b.Fatal(err)
			}
			empty := f.Bytes()
			for i := range changes {
				n := state.Diff(nil, i, []state.File{{
					Name:    "10-budget.json",
					Content: fmt.Appendf(nil, `{"Kind":"MeasuringBudget","ProbesPerSecond":%d}`, i),
				}})
				n.ChangeID = fmt.Sprint("change-", i)
				c, err := state.Command{UnixMillis: 1 << 40, Config: &n}.Encode()
				if err != nil {
					b.Fatal(err)
				}
				if err := f.Save(nil, []raft.Entry{{Index: i + 1, Term: 1, Command: c}}); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				if err := f.Close(); err != nil {
					b.Fatal(err)
				}
				s, err := f.Open()
				if err != nil {
					b.Fatal(err)
				}
				var m state.State
				for _, e := range s.Entries {
					m.Apply(e.Index, e.Command)
				}
			}
			b.ReportMetric(float64(f.Bytes()-empty)/float64(changes), "bytes/change")
		})
	}
}
