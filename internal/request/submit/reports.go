package submit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
)

const (
	// maxPendingReports bounds the reports that wait to be submitted. Further ones are
	// dropped; the next answers of their backend servers bring them again. That a backend
	// server drains is never dropped, since nothing more is sent to it.
	maxPendingReports = 256
	// reportInterval is the least time between two reports of one kind of one backend
	// server that this instance submits, since a limit may change with each answer.
	reportInterval = 250 * time.Millisecond
	// reportTimeout bounds the submission of one report.
	reportTimeout = 2 * time.Second
)

// Reports implements health.Sharer: it submits what this instance hears from backend
// servers to the control quorum, and others receive it with their view of the fleet. Of
// several reports of one kind from one backend server only the last is submitted. Set the
// exported fields before Run.
type Reports struct {
	Submitter Submitter
	Logger    *slog.Logger

	once sync.Once
	// signal receives a value when pending gets an entry.
	signal chan struct{}

	mu sync.Mutex
	// pending holds the reports that are to be submitted.
	pending map[subject]fleet.Command
	// submitted holds when a report was last submitted, for reportInterval.
	submitted map[subject]time.Time
}

// subject is a kind of report from one backend server.
type subject struct{ server, kind string }

func (r *Reports) init() {
	r.once.Do(func() {
		r.signal = make(chan struct{}, 1)
		r.pending = map[subject]fleet.Command{}
		r.submitted = map[subject]time.Time{}
	})
}

// ShareLimit implements health.Sharer.
func (r *Reports) ShareLimit(n fleet.Server, said snipefront.RateLimit, source quota.Source) {
	r.share(n.Name, fleet.Command{Limit: &fleet.Limit{Server: n.Name, Incarnation: n.Incarnation, RateLimit: said, Source: string(source)}})
}

// ShareCold implements health.Sharer.
func (r *Reports) ShareCold(n fleet.Server, left time.Duration) {
	r.share(n.Name, fleet.Command{Cold: &fleet.Cold{Server: n.Name, Incarnation: n.Incarnation, Millis: left.Milliseconds()}})
}

// ShareDraining implements health.Sharer.
func (r *Reports) ShareDraining(n fleet.Server) {
	r.share(n.Name, fleet.Command{Draining: &fleet.Draining{Server: n.Name, Incarnation: n.Incarnation}})
}

// share queues a report of the named backend server.
func (r *Reports) share(server string, c fleet.Command) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := subject{server: server, kind: c.Kind()}
	if _, ok := r.pending[s]; !ok && len(r.pending) >= maxPendingReports && c.Draining == nil {
		return
	}
	r.pending[s] = c
	select {
	case r.signal <- struct{}{}:
	default:
	}
}

// Run submits reports until ctx ends. A report whose submission fails is dropped: the next
// answer that brings it is submitted again. One of a backend server that drains, to which
// nothing more is sent, is queued again.
func (r *Reports) Run(ctx context.Context) error {
	r.init()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signal:
		}
		for left := true; left; {
			var due map[subject]fleet.Command
			due, left = r.takeDue(time.Now())
			for s, c := range due {
				r.submit(ctx, s, c)
			}
			if len(due) == 0 && left && !timer.Sleep(ctx, reportInterval/4) {
				return nil
			}
		}
	}
}

// takeDue returns the pending reports that may be submitted now, and reports whether
// others are left.
func (r *Reports) takeDue(now time.Time) (due map[subject]fleet.Command, left bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, at := range r.submitted {
		if now.Sub(at) >= reportInterval {
			delete(r.submitted, s)
		}
	}
	due = map[subject]fleet.Command{}
	for s, c := range r.pending {
		if _, ok := r.submitted[s]; ok {
			continue
		}
		due[s] = c
		delete(r.pending, s)
		r.submitted[s] = now
	}
	return due, len(r.pending) > 0
}

func (r *Reports) submit(ctx context.Context, s subject, c fleet.Command) {
	b, err := c.Encode()
	if err != nil {
		r.Logger.Error("cannot encode a report of a backend server; other instances do not receive it", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	begun := time.Now()
	if _, err := r.Submitter.Submit(ctx, b); err != nil {
		r.Logger.Warn("could not submit a report of a backend server; other instances may not receive it", "server", s.server, "kind", s.kind, "error", err)
		if c.Draining != nil {
			r.share(s.server, c)
		}
		return
	}
	r.Logger.Info("report of backend server shared", "server", s.server, "kind", s.kind, "taken", time.Since(begun))
}
