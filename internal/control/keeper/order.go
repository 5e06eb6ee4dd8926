package keeper

import (
	"context"
	"time"

	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/control/fleet"
)

const (
	// callerPatience is the time after which callers send an order to another instance.
	callerPatience = time.Second
	// closeNotice is the time in which an instance notices that the caller of an order has
	// closed its connection, if an intermediary acknowledged the interim response for it.
	closeNotice = 20 * time.Millisecond
)

// Caller is the caller of an order.
type Caller interface {
	// Since returns an instant since which the caller has waited, at least.
	Since() time.Time
	// Confirm returns nil once it is certain that the caller has waited for the answer at
	// some instant since Confirm was called, and an error if that isn't certain when ctx ends.
	Confirm(ctx context.Context) error
}

// Serve takes a data centre out of service or returns it to service. It returns
// ErrCallerLeft, and changes nothing, if the caller may have sent the order to another
// instance since: an order of the caller that followed it would be undone.
func (k *Keeper) Serve(ctx context.Context, c fleet.Serve, caller Caller) error {
	waits, cancel := context.WithDeadline(ctx, caller.Since().Add(callerPatience))
	defer cancel()
	for newer := uint64(0); ; {
		// The caller still waits after this instant, so whatever it orders next makes c stale.
		basis := max(newer, k.State.OutIndex())
		if !k.callerWaits(waits, caller) {
			k.Logger.Warn("the caller of the order may have left; it is not proposed", "dataCentre", c.DataCentre, "out", c.Out, "waited", time.Since(caller.Since()))
			return ErrCallerLeft
		}
		c.Basis = &basis
		r, err := k.propose(ctx, fleet.Command{Serve: &c})
		if err != nil {
			return err
		}
		if r.Newer == 0 {
			k.Logger.Info("data centre service order accepted", "dataCentre", c.DataCentre, "out", c.Out, "changed", r.Changed)
			return nil
		}
		newer = r.Newer
	}
}

// callerWaits reports whether the caller of an order certainly waits for its answer. ctx ends
// when its patience does.
func (k *Keeper) callerWaits(ctx context.Context, caller Caller) bool {
	if ctx.Err() != nil || k.stalls.Recent(time.Now()) || caller.Confirm(ctx) != nil {
		return false
	}
	return timer.Sleep(ctx, closeNotice) && !k.stalls.Recent(time.Now())
}
