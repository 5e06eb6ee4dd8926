package tally_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/observe/stats"
	"github.com/snipefront/snipefront/internal/observe/tally"
)

// TestCountsTellWhoseArrivals guards against counts that don't tell apart retries, hedges
// and misdirected attempts, and against a line for a service without any, or for a second
// without any.
func TestCountsTellWhoseArrivals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := stats.New()
		tl := &tally.Tally{Next: s, Logger: slog.New(slog.NewTextHandler(&out, nil))}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- tl.Run(ctx) }()
		tl.Received("balance")
		tl.Received("balance")
		tl.Received("charge")
		for _, c := range []snipefront.Cause{snipefront.CauseFirst, snipefront.CauseFirst, snipefront.CauseRetry, snipefront.CauseHedge, snipefront.CauseMisdirected} {
			tl.Attempted("balance", c)
		}
		tl.Attempted("charge", snipefront.CauseFirst)
		tl.Denied("balance")
		time.Sleep(2500 * time.Millisecond)
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		want := "service=balance requests=2 first=2 retries=1 hedges=1 misdirected=1 denied=1\n"
		if n := strings.Count(out.String(), "\n"); n != 1 || !strings.HasSuffix(out.String(), want) {
			t.Errorf("the log is %q, want one line that ends in %q", out.String(), want)
		}
		metrics := `
# HELP snipefront_attempts_total Attempts at backend servers, by service and cause.
# TYPE snipefront_attempts_total counter
snipefront_attempts_total{cause="first",service="balance"} 2
snipefront_attempts_total{cause="first",service="charge"} 1
snipefront_attempts_total{cause="hedge",service="balance"} 1
snipefront_attempts_total{cause="misdirected",service="balance"} 1
snipefront_attempts_total{cause="retry",service="balance"} 1
# HELP snipefront_requests_total Requests of callers, by service.
# TYPE snipefront_requests_total counter
snipefront_requests_total{service="balance"} 2
snipefront_requests_total{service="charge"} 1
# HELP snipefront_retries_denied_total Retries and hedges that the retry budget did not allow, by service.
# TYPE snipefront_retries_denied_total counter
snipefront_retries_denied_total{service="balance"} 1
`
		names := []string{"snipefront_attempts_total", "snipefront_requests_total", "snipefront_retries_denied_total"}
		if err := testutil.GatherAndCompare(s.Gatherer(), strings.NewReader(metrics), names...); err != nil {
			t.Error(err)
		}
	})
}
