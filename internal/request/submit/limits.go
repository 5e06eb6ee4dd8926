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
	// maxPendingLimits bounds the backend servers whose limits wait to be submitted.
	// Further ones are dropped; their next answers bring them again.
	maxPendingLimits = 256
	// limitInterval is the least time between two limits of one backend server that this
	// instance submits, since a limit may change with each answer.
	limitInterval = 250 * time.Millisecond
	// limitTimeout bounds the submission of one limit.
	limitTimeout = 2 * time.Second
)

// Limits implements health.LimitSharer: it submits the rate limits that this instance
// hears of to the control quorum, and others receive them with their view of the fleet.
// Of several limits of one backend server only the last is submitted. Set the exported
// fields before Run.
type Limits struct {
	Submitter Submitter
	Logger    *slog.Logger

	once sync.Once
	// signal receives a value when pending gets an entry.
	signal chan struct{}

	mu sync.Mutex
	// pending holds the limits that are to be submitted, by name of the backend server.
	pending map[string]fleet.Limit
	// submitted holds when a limit of a backend server was last submitted, for
	// limitInterval.
	submitted map[string]time.Time
}

func (l *Limits) init() {
	l.once.Do(func() {
		l.signal = make(chan struct{}, 1)
		l.pending = map[string]fleet.Limit{}
		l.submitted = map[string]time.Time{}
	})
}

// ShareLimit implements health.LimitSharer.
func (l *Limits) ShareLimit(n fleet.Server, said snipefront.RateLimit, source quota.Source) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.pending[n.Name]; !ok && len(l.pending) >= maxPendingLimits {
		return
	}
	l.pending[n.Name] = fleet.Limit{Server: n.Name, Incarnation: n.Incarnation, RateLimit: said, Source: string(source)}
	select {
	case l.signal <- struct{}{}:
	default:
	}
}

// Run submits limits until ctx ends. A limit whose submission fails is dropped: the next
// answer that names it brings it again.
func (l *Limits) Run(ctx context.Context) error {
	l.init()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.signal:
		}
		for {
			due, left := l.takeDue(time.Now())
			for _, c := range due {
				l.submit(ctx, c)
			}
			if !left {
				break
			}
			if len(due) == 0 && !timer.Sleep(ctx, limitInterval/4) {
				return nil
			}
		}
	}
}

// takeDue returns the pending limits that may be submitted now, and reports whether others
// are left.
func (l *Limits) takeDue(now time.Time) (due []fleet.Limit, left bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, at := range l.submitted {
		if now.Sub(at) >= limitInterval {
			delete(l.submitted, name)
		}
	}
	for name, c := range l.pending {
		if _, ok := l.submitted[name]; ok {
			continue
		}
		due = append(due, c)
		delete(l.pending, name)
		l.submitted[name] = now
	}
	return due, len(l.pending) > 0
}

func (l *Limits) submit(ctx context.Context, c fleet.Limit) {
	b, err := fleet.Command{Limit: &c}.Encode()
	if err != nil {
		l.Logger.Error("cannot encode a rate limit; other instances do not receive it", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limitTimeout)
	defer cancel()
	begun := time.Now()
	if _, err := l.Submitter.Submit(ctx, b); err != nil {
		l.Logger.Warn("could not submit a rate limit; other instances may not receive it", "server", c.Server, "limit", c.PerSecond, "error", err)
		return
	}
	l.Logger.Info("rate limit shared", "server", c.Server, "incarnation", c.Incarnation, "named", c.Named, "limit", c.PerSecond, "source", c.Source, "taken", time.Since(begun))
}
