package grant

import (
	"log/slog"
	"time"
)

const (
	// logInterval is the shortest time between two log lines of one kind.
	logInterval = time.Second
	// calmTime is the time without a refusal after which a workspace counts as no longer
	// denied.
	calmTime = 5 * time.Second
)

// transitions logs changes of owners, and workspaces that begin or cease to be denied.
type transitions struct {
	logger *slog.Logger
	// refused holds the refusals of each workspace that is denied.
	refused map[string]refusals
	// The limits of the lines on changes of owners, and on workspaces that begin and cease to
	// be denied.
	owners, begins, ends lineLimit
}

// refusals counts the refused requests of a workspace since it began to be denied.
type refusals struct {
	since, last time.Time
	count       int
}

// lineLimit allows one line per logInterval and counts the others.
type lineLimit struct {
	at      time.Time
	skipped int
}

// take reports whether a line may be logged, and the number of those left out before.
func (l *lineLimit) take(now time.Time) (skipped int, ok bool) {
	if !l.at.IsZero() && now.Sub(l.at) < logInterval {
		l.skipped++
		return 0, false
	}
	skipped = l.skipped
	l.at, l.skipped = now, 0
	return skipped, true
}

// ownerChanged logs that the owner of a workspace has changed.
func (t *transitions) ownerChanged(now time.Time, workspace, from, to string) {
	if skipped, ok := t.owners.take(now); ok {
		t.logger.Info("another instance owns the quota of a workspace", "workspace", workspace, "from", from, "to", to, "skipped", skipped)
	}
}

// decided records a decision on a request.
func (t *transitions) decided(now time.Time, workspace string, d Decision) {
	if d.Outcome != Denied {
		t.admitted(now, workspace)
		return
	}
	if t.refused == nil {
		t.refused = map[string]refusals{}
	}
	r, known := t.refused[workspace]
	if !known {
		r.since = now
		if skipped, ok := t.begins.take(now); ok {
			t.logger.Info("requests of a workspace are denied", "workspace", workspace, "cause", string(d.Cause), "retryAfter", d.RetryAfter, "skipped", skipped)
		}
	}
	r.last = now
	r.count++
	t.refused[workspace] = r
}

// admitted records an admitted request.
func (t *transitions) admitted(now time.Time, workspace string) {
	r, ok := t.refused[workspace]
	if !ok || now.Sub(r.last) < calmTime {
		return
	}
	delete(t.refused, workspace)
	if skipped, ok := t.ends.take(now); ok {
		t.logger.Info("requests of a workspace are no longer denied", "workspace", workspace, "refused", r.count, "taken", now.Sub(r.since), "skipped", skipped)
	}
}
