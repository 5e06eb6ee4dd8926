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
	// closeNotice is the time in which an instance notices that the caller of an order
	// closed the connection before the instance read the order.
	closeNotice = 20 * time.Millisecond
)

// Serve takes a data centre out of service or returns it to service. It returns
// ErrCallerLeft, and changes nothing, if the caller may have sent the order to another
// instance since: an order of the caller that followed it would be undone.
func (k *Keeper) Serve(ctx context.Context, c fleet.Serve) error {
	received := time.Now()
	timer.Sleep(ctx, closeNotice)
	basis := k.State.OutIndex()
	for k.callerWaits(ctx, received) {
		c.Basis = &basis
		r, err := k.propose(ctx, fleet.Command{Serve: &c})
		if err != nil {
			return err
		}
		if r.Newer == 0 {
			k.Logger.Info("data centre service order accepted", "dataCentre", c.DataCentre, "out", c.Out, "changed", r.Changed)
			return nil
		}
		basis = r.Newer
	}
	k.Logger.Warn("order has waited for longer than its caller does; it is not proposed", "dataCentre", c.DataCentre, "out", c.Out, "waited", time.Since(received))
	return ErrCallerLeft
}

// callerWaits reports whether the caller of an order certainly waits for its answer. The
// instance has read the order at the instant received.
func (k *Keeper) callerWaits(ctx context.Context, received time.Time) bool {
	now := time.Now()
	return ctx.Err() == nil && now.Sub(received) <= callerPatience && !k.stalls.Recent(now)
}
