package link_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/dispatch/link"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

// TestAnswerWithoutEndIsFaulty guards against a backend server that writes bytes without
// end, fast or slowly, and counts as healthy, or whose request is said not to have run: in
// answers to requests and to load probes.
func TestAnswerWithoutEndIsFaulty(t *testing.T) {
	for _, part := range rawtcp.AllEndless {
		for name, pause := range map[string]time.Duration{"fast": 0, "slow": 5 * time.Millisecond} {
			t.Run(string(part)+" "+name, func(t *testing.T) {
				t.Parallel()
				var begun atomic.Int64
				l, target := startServer(t, func(c net.Conn, r *http.Request) {
					begun.Store(time.Now().UnixNano())
					part.Write(c, "Id: "+r.Header.Get("Id")+"\r\n", pause)
				})
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				a := l.Send(ctx, &direct.Call{ID: "r1", Request: &snipefront.Request{
					Method: http.MethodGet, Target: "/1", Header: http.Header{"Host": {"x"}, "Id": {"r1"}}, Deadline: time.Now().Add(time.Second),
				}}, target)
				if a.Response != nil || a.Verdict != snipefront.MayHaveRun || a.Outcome != health.Faulty {
					t.Errorf("the attempt is %+v, want no answer, may-have-run and a faulty backend server", a)
				}
				if err := probeBegun(t, l, target, &begun); err == nil || errors.Is(err, health.ErrProbeTimeout) {
					t.Errorf("the load probe ended with %v, want a failure of the backend server", err)
				}
			})
		}
	}
}

// probeBegun sends load probes until an answer has begun soon enough to be read within the
// time of a probe, which on a busy machine it may not, and returns the error of that probe.
// The answer to the last request began at the time begun, in Unix nanoseconds.
func probeBegun(t *testing.T, l *link.Link, target *health.Target, begun *atomic.Int64) error {
	t.Helper()
	const inTime = 75 * time.Millisecond
	for t.Context().Err() == nil {
		sent := time.Now()
		_, err := l.Probe(target)
		if at := begun.Load(); at >= sent.UnixNano() && at <= sent.Add(inTime).UnixNano() {
			return err
		}
	}
	return t.Context().Err()
}
