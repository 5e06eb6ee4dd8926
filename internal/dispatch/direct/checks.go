package direct

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/request/poison"
)

const (
	// minCheckInterval and maxCheckInterval bound the time between two checks of a target. It
	// doubles with each check.
	minCheckInterval = 25 * time.Millisecond
	maxCheckInterval = 200 * time.Millisecond
	// maxCheckTime bounds the time for which a target is checked after its last attempt whose
	// connection ended.
	maxCheckTime = 4 * time.Second
)

// Checks detects crashes of targets that may still run a request whose connection has
// ended: its caller left, its deadline passed or the connection broke. It probes such a
// target until the target answers a probe that was sent after the request must have ended,
// or until it accepts no new connection, which means that it has crashed. Set the exported
// fields before Run.
type Checks struct {
	Targets *health.Set
	Link    Link
	// Probes bounds the load probes. Nil sets no bound.
	Probes *budget.Probes
	Poison *poison.Register
	Logger *slog.Logger

	once sync.Once
	// signal receives a value when followed gets an entry.
	signal chan struct{}

	mu sync.Mutex
	// followed holds the targets that are checked, by name.
	followed map[string]*followed
}

// followed is a target that is checked.
type followed struct {
	target *health.Target
	// until is the time after which the target is not checked any more.
	until time.Time
	// next is the time of the next check, and interval the time from it to the one after.
	next     time.Time
	interval time.Duration
}

func (k *Checks) init() {
	k.once.Do(func() {
		k.signal = make(chan struct{}, 1)
		k.followed = map[string]*followed{}
	})
}

// add starts the checks of t, or starts them anew.
func (k *Checks) add(t *health.Target) {
	if k == nil {
		return
	}
	k.init()
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.followed[t.Server.Name] = &followed{target: t, until: now.Add(maxCheckTime), next: now.Add(minCheckInterval), interval: 2 * minCheckInterval}
	select {
	case k.signal <- struct{}{}:
	default:
	}
}

// Run checks the targets until ctx ends.
func (k *Checks) Run(ctx context.Context) error {
	k.init()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.signal:
		}
		for wait, ok := k.untilNext(); ok; wait, ok = k.untilNext() {
			if !timer.Sleep(ctx, max(wait, time.Millisecond)) {
				return nil
			}
			k.checkDue(ctx)
		}
	}
}

// untilNext returns the time until the next check, and false if no target is followed.
func (k *Checks) untilNext() (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var next time.Time
	for _, f := range k.followed {
		if next.IsZero() || f.next.Before(next) {
			next = f.next
		}
	}
	return time.Until(next), len(k.followed) > 0
}

// checkDue checks the targets that are due, at the same time.
func (k *Checks) checkDue(ctx context.Context) {
	var all sync.WaitGroup
	for _, t := range k.takeDue(time.Now()) {
		all.Go(func() {
			if k.check(ctx, t) {
				k.drop(t)
			}
		})
	}
	all.Wait()
}

// takeDue returns the targets that are due, and sets the times of their next checks.
func (k *Checks) takeDue(now time.Time) []*health.Target {
	k.mu.Lock()
	defer k.mu.Unlock()
	var due []*health.Target
	for name, f := range k.followed {
		switch {
		case now.After(f.until):
			delete(k.followed, name)
		case !now.Before(f.next):
			f.next = now.Add(f.interval)
			f.interval = min(2*f.interval, maxCheckInterval)
			due = append(due, f.target)
		}
	}
	return due
}

// drop ends the checks of t, unless they have been started for another incarnation.
func (k *Checks) drop(t *health.Target) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if f := k.followed[t.Server.Name]; f != nil && f.target == t {
		delete(k.followed, t.Server.Name)
	}
}

// check checks t once and reports whether no further check is needed.
func (k *Checks) check(ctx context.Context, t *health.Target) (done bool) {
	key := t.Server.CrashKey()
	if current, _ := k.Targets.Current(t.Server.Name); current == nil || current.Server.Incarnation != t.Server.Incarnation || !k.Poison.MayCrash(key) {
		return true
	}
	t.Refresh(ctx, k.Link, func() bool { return k.Probes.Take(time.Now()) })
	if t.Available(time.Now()) {
		k.Poison.Heard(t.HeardAt(), key)
		return !k.Poison.MayCrash(key)
	}
	if k.Link.Up(ctx, t) || ctx.Err() != nil {
		return false
	}
	k.Logger.Info("backend server crashed after the connections of its requests had ended; these are suspects", "server", t.Server.Name, "incarnation", t.Server.Incarnation)
	k.Poison.Crashed(time.Now(), key)
	return true
}
