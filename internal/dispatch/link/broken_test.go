package link_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

// brokenFields are the fields of an answer that would make it the one to the request 7, or a load
// report, with a notice and a rate limit.
const brokenFields = "Id: 7\r\nSignature: x\r\nLoad: 1,0,2,100\r\nLeaving: 1\r\nLimit: 0.5\r\n"

// reportFields are those of a load report.
const reportFields = "Server: s\r\nLoad: 1,0,2,100\r\nLeaving: 1\r\nLimit: 0.5\r\n"

// checkFaulty checks that each of the answers counts against the backend server as one that is no
// answer, and that no notice is taken from its head unless hears is true.
func checkFaulty(t *testing.T, answers func(field string) map[string]string, hears bool) {
	for name := range answers("") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var begun atomic.Int64
			l, target := startServer(t, func(c net.Conn, r *http.Request) {
				fields := brokenFields
				if r.URL.Path == "/health" {
					fields = reportFields
				}
				begun.Store(time.Now().UnixNano())
				_, _ = io.WriteString(c, answers(fields)[name])
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			a := l.Send(ctx, call(), target)
			if a.Response != nil || a.Verdict != snipefront.MayHaveRun || a.Outcome != health.Faulty || a.Complete || a.Limit.Named || ctx.Err() != nil {
				t.Errorf("the attempt is %+v, %v, want no answer at once, may-have-run and a faulty backend server", a, ctx.Err())
			}
			if err := probeBegun(t, l, target, &begun); err == nil || errors.Is(err, health.ErrProbeTimeout) {
				t.Errorf("the load probe ended with %v, want a failure of the backend server", err)
			}
			if target.Draining() && !hears {
				t.Error("the backend server counts as leaving")
			}
			c, err := l.Pool.Get(t.Context(), target.Server.Address, false)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if c.Reused {
				t.Error("a connection is used again after a broken answer")
			}
		})
	}
}

// TestInvalidStatusIsFaulty guards against a backend server that answers requests or load probes
// with the status 000 or another one that doesn't exist, and counts as healthy or as silent, or whose
// request is said not to have run.
func TestInvalidStatusIsFaulty(t *testing.T) {
	checkFaulty(t, rawtcp.InvalidStatuses, false)
}

// TestInvalidFieldIsFaulty guards against a backend server that answers requests or load probes with
// a blank or a control byte in the name of a field, and counts as healthy, or whose load, notice or
// refusal is believed.
func TestInvalidFieldIsFaulty(t *testing.T) {
	checkFaulty(t, rawtcp.InvalidFields, false)
}

// TestInvalidTrailerIsFaulty guards against the same in the trailer behind a body. The head is that
// of an answer.
func TestInvalidTrailerIsFaulty(t *testing.T) {
	checkFaulty(t, rawtcp.InvalidTrailers, true)
}
