package submit_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
	"github.com/snipefront/snipefront/internal/request/submit"
)

// startReports starts a Reports and returns it with a function that stops it.
func startReports(t *testing.T, s submit.Submitter) (*submit.Reports, func()) {
	t.Helper()
	r := &submit.Reports{Submitter: s, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	return r, func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

func serverNamed(name string) fleet.Server {
	var n fleet.Server
	n.Name, n.Incarnation = name, 3
	return n
}

func limitOf(perSecond float64) snipefront.RateLimit {
	return snipefront.RateLimit{Named: true, PerSecond: perSecond}
}

// TestChangingLimitIsSubmittedSeldom guards against a log that is flooded by a backend
// server whose limit changes with each answer, and against a last change that is lost.
func TestChangingLimitIsSubmittedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := make(submitter, 1000)
		r, stop := startReports(t, s)
		const changes = 500
		for i := range changes {
			r.ShareLimit(serverNamed("s"), limitOf(float64(i)), quota.Answer)
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(time.Second)
		stop()
		if n := len(s); n > 7 {
			t.Errorf("%d commands in a second, want 7 at most", n)
		}
		var last fleet.Command
		for len(s) > 0 {
			last = <-s
		}
		if last.Limit == nil || last.Limit.PerSecond != changes-1 || last.Limit.Incarnation != 3 {
			t.Errorf("the last command is %+v, want the last limit of the incarnation", last.Limit)
		}
	})
}

// failing is a Submitter that has lost the control quorum.
type failing struct{}

// Submit implements submit.Submitter.
func (failing) Submit(ctx context.Context, _ []byte) ([]byte, error) {
	<-ctx.Done()
	return nil, errors.New("no quorum")
}

// TestSharingReportsNeverBlocks guards against requests that wait for a control quorum that
// does not answer, and against reports that pile up meanwhile.
func TestSharingReportsNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, stop := startReports(t, failing{})
		for i := range 5000 {
			r.ShareLimit(serverNamed(fmt.Sprint("s", i)), limitOf(1), quota.Answer)
		}
		time.Sleep(time.Second)
		stop()
	})
}

// outage is a Submitter that has lost the control quorum for some time.
type outage struct {
	submitter
	end time.Time
}

// Submit implements submit.Submitter.
func (o outage) Submit(ctx context.Context, command []byte) ([]byte, error) {
	if time.Now().Before(o.end) {
		return failing{}.Submit(ctx, command)
	}
	return o.submitter.Submit(ctx, command)
}

// TestDrainingIsSubmittedAfterOutage guards against a backend server that has said to one
// instance that it drains, and gets requests from the others for good: the control quorum was
// lost when it said so, many other reports waited, and no further answer tells it again.
func TestDrainingIsSubmittedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := outage{make(submitter, 1000), time.Now().Add(5 * time.Second)}
		r, stop := startReports(t, s)
		for i := range 300 {
			r.ShareLimit(serverNamed(fmt.Sprint("s", i)), limitOf(1), quota.Answer)
		}
		r.ShareDraining(serverNamed("leaving"))
		time.Sleep(15 * time.Minute)
		stop()
		for len(s.submitter) > 0 {
			if c := <-s.submitter; c.Draining != nil && c.Draining.Server == "leaving" && c.Draining.Incarnation == 3 {
				return
			}
		}
		t.Error("the report was never submitted")
	})
}
