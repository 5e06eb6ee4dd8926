package keeper

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/control/fleet"
)

var (
	// ErrRolloutRuns means that a rollout of another version of the service is running.
	ErrRolloutRuns = errors.New("a rollout of another version is running")
	// ErrNoRollout means that the service never had a rollout.
	ErrNoRollout = errors.New("the service has no rollout")
)

// Begin starts the rollout that c orders, unless the last order of the service was the same. It
// returns ErrRolloutRuns while the rollout of another version is running. It returns
// ErrCallerLeft, and changes nothing, if the caller may have left: c may be a late copy of an
// earlier order, which would start a rollout again that has ended since.
func (k *Keeper) Begin(ctx context.Context, c fleet.Begin, caller Caller) error {
	waits, cancel := context.WithDeadline(ctx, caller.Since().Add(callerPatience))
	defer cancel()
	for newer := uint64(0); ; {
		// The caller still waits after this instant, so whatever is ordered next makes c stale.
		last, _ := k.State.Rollout(c.Service)
		c.Basis = max(newer, last.Order)
		if !k.callerWaits(waits, caller) {
			k.Logger.Warn("the caller of the rollout may have left; it is not begun", "service", c.Service, "version", c.Version, "waited", time.Since(caller.Since()))
			return ErrCallerLeft
		}
		r, err := k.propose(ctx, fleet.Command{Begin: &c})
		switch {
		case err != nil:
			return err
		case r.Conflict:
			return errors.Wrapf(ErrRolloutRuns, "to %q", r.Rollout.Version)
		case r.Newer == 0:
			k.Logger.Info("rollout ordered", "service", c.Service, "version", c.Version, "durationMillis", c.DurationMillis, "begun", r.Changed, "order", r.Rollout.Order)
			return nil
		}
		newer = r.Newer
	}
}

// Rollout returns the last rollout of a service, or ErrNoRollout. It reflects every order and
// step that was acknowledged before the call.
func (k *Keeper) Rollout(ctx context.Context, service string) (fleet.Rollout, error) {
	r, err := k.propose(ctx, fleet.Command{ReadRollout: service})
	if err != nil {
		return fleet.Rollout{}, err
	}
	if r.Rollout == nil {
		return fleet.Rollout{}, ErrNoRollout
	}
	return *r.Rollout, nil
}
