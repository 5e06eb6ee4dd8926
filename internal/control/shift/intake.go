package shift

import (
	"context"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
)

// noChange is the encoded result of a command that changes nothing.
var noChange = []byte("{}")

// Intake implements snipefront.Log. It hands counts to the Driver, if this instance leads, and
// any other command to Log. Counts are no entries of the log: each instance submits them again
// and again (submit.Counts), and since they only grow, a new leader soon has them all.
type Intake struct {
	snipefront.Log
	Driver *Driver
}

// Propose implements snipefront.Log.
func (i *Intake) Propose(ctx context.Context, command []byte) ([]byte, error) {
	list, ok, err := fleet.DecodeCounts(command)
	switch {
	case !ok:
		return i.Log.Propose(ctx, command)
	case err != nil:
		return nil, err
	case !i.Driver.leads():
		return nil, snipefront.ErrNotLeader
	}
	i.Driver.Add(list)
	return noChange, nil
}

// Add adds the counts of an instance.
func (d *Driver) Add(list []fleet.Counts) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range list {
		if r, ok := d.State.Rollout(c.Service); !ok || r.Order != c.Order || r.State.HasEnded() {
			continue
		}
		m := d.byOrder[c.Order]
		if m == nil {
			m = &Aggregate{}
			if d.byOrder == nil {
				d.byOrder = map[uint64]*Aggregate{}
			}
			d.byOrder[c.Order] = m
		}
		m.Add(c)
	}
}
