package submit

import (
	"context"
	"log/slog"
	"reflect"
	"time"

	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/canary"
)

const (
	// countsInterval is the time between two checks for new counts. quietInterval is the time
	// after which counts are submitted although those of the new version haven't changed.
	countsInterval = 300 * time.Millisecond
	quietInterval  = 2 * time.Second
	// countsTimeout bounds one submission. Later counts replace those that are lost.
	countsTimeout = 900 * time.Millisecond
)

// Counts submits the counts of the rollouts that run. Set the exported fields before Run.
type Counts struct {
	Submitter Submitter
	Counter   *canary.Counter
	// OldInFlight returns the number of requests of this instance in flight at backend servers
	// of the earlier versions of a service.
	OldInFlight func(service string) int
	Logger      *slog.Logger

	// sent holds what was submitted last, and sentAt when that was.
	sent   []fleet.Counts
	sentAt time.Time
}

// Run submits counts until ctx ends.
func (c *Counts) Run(ctx context.Context) error {
	for timer.Sleep(ctx, countsInterval) {
		list := c.Counter.Counts()
		if len(list) == 0 {
			c.sent = nil
			continue
		}
		for i := range list {
			list[i].OldInFlight = c.OldInFlight(list[i].Service)
		}
		if isWaiting(list) || time.Since(c.sentAt) >= quietInterval || differs(list, c.sent) {
			c.submit(ctx, list)
		}
	}
	return nil
}

// isWaiting reports whether a rollout waits for instances to have applied its step.
func isWaiting(list []fleet.Counts) bool {
	for _, v := range list {
		if v.Waiting {
			return true
		}
	}
	return false
}

// differs reports whether the counts of the new versions in the lists differ.
func differs(list, other []fleet.Counts) bool {
	if len(list) != len(other) {
		return true
	}
	for i, v := range list {
		o := other[i]
		if v.Order != o.Order || v.Sent != o.Sent || !reflect.DeepEqual(newAnswers(v), newAnswers(o)) {
			return true
		}
	}
	return false
}

// newAnswers returns the answers of the new version by route.
func newAnswers(c fleet.Counts) map[string]fleet.Answers {
	m := map[string]fleet.Answers{}
	for _, r := range c.Routes {
		m[r.Route] = r.New
	}
	return m
}

// submit submits the counts of list once.
func (c *Counts) submit(ctx context.Context, list []fleet.Counts) {
	b, err := fleet.Command{Counts: list}.Encode()
	if err != nil {
		c.Logger.Error("cannot encode the counts of a rollout", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, countsTimeout)
	defer cancel()
	if _, err := c.Submitter.Submit(ctx, b); err != nil {
		c.Logger.Warn("could not submit the counts of a rollout; the next ones replace them", "rollouts", len(list), "error", err)
		return
	}
	c.sent, c.sentAt = list, time.Now()
}
