package sender_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/sender"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

const (
	// endlessTimeout is the time that an attempt has. Only a failing test uses all of it
	// where the bytes come fast.
	endlessTimeout = 5 * time.Second
	// maxEndlessBytes bounds what an attempt allocates, in bytes.
	maxEndlessBytes = 2 << 20
)

// startEndless starts a backend server whose answers never end in the given part.
func startEndless(t *testing.T, part rawtcp.Endless, pause time.Duration) snipefront.BackendServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go rawtcp.Serve(l, rawtcp.HTTPHandler(func(c net.Conn, r *http.Request) {
		part.Write(c, sender.AttemptHeader+": "+r.Header.Get(sender.AttemptHeader)+"\r\n", pause)
	}))
	return snipefront.BackendServer{Name: "b", Address: l.Addr().String()}
}

// TestAnswerWithoutEndIsCutOff guards against a backend server that writes bytes without
// end in any part of an answer, which is read on or kept in memory until the deadline.
func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	for _, part := range rawtcp.AllEndless {
		t.Run(string(part), func(t *testing.T) {
			b := startEndless(t, part, 0)
			s := &sender.Sender{MaxAnswerBytes: 1 << 18, OverdueFloor: testTimeout}
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			a := s.Send(ctx, b, &snipefront.Request{Method: http.MethodGet, Target: "/1", Idempotent: true, Deadline: time.Now().Add(endlessTimeout)}, snipefront.Service{})
			runtime.ReadMemStats(&after)
			if a.Response != nil || a.Verdict != snipefront.MayHaveRun || ctx.Err() != nil {
				t.Errorf("the attempt ended with %+v, %v, want no answer and may-have-run before its deadline", a, ctx.Err())
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > maxEndlessBytes {
				t.Errorf("%d bytes were allocated, want %d at most", n, maxEndlessBytes)
			}
		})
	}
}

// TestSlowAnswerWithoutEndIsCutOff guards against the same where the bytes come slowly. A
// new connection works, so the attempt ends once its answer is overdue, or at its deadline.
func TestSlowAnswerWithoutEndIsCutOff(t *testing.T) {
	for _, part := range rawtcp.AllEndless {
		t.Run(string(part), func(t *testing.T) {
			t.Parallel()
			b := startEndless(t, part, 5*time.Millisecond)
			s := &sender.Sender{MaxAnswerBytes: 1 << 18, OverdueFloor: 50 * time.Millisecond}
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
			defer cancel()
			a := s.Send(ctx, b, &snipefront.Request{Method: http.MethodGet, Target: "/1", Idempotent: true, Deadline: time.Now().Add(endlessTimeout)}, snipefront.Service{})
			if a.Response != nil || a.Verdict != snipefront.MayHaveRun || ctx.Err() != nil {
				t.Errorf("the attempt ended with %+v, %v, want no answer and may-have-run before its deadline", a, ctx.Err())
			}
		})
	}
}

// TestProbeWithoutEndFails guards against a backend server that answers its probe path with
// bytes without end and counts as working.
func TestProbeWithoutEndFails(t *testing.T) {
	for _, part := range rawtcp.AllEndless {
		for name, pause := range map[string]time.Duration{"fast": 0, "slow": 5 * time.Millisecond} {
			t.Run(string(part)+" "+name, func(t *testing.T) {
				t.Parallel()
				b := startEndless(t, part, pause)
				if (&sender.Sender{}).Probe(t.Context(), b, "/health") {
					t.Error("the probe counts as answered")
				}
			})
		}
	}
}
