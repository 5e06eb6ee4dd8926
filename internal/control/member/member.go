// Package member maintains the membership lease of an instance and its view of
// the fleet.
//
// A Member renews its lease with the leader of the control quorum. The lease
// counts from the instant at which the renewal was sent, so it expires here
// before the leader may consider it expired. Each grant carries the membership
// epoch and the changes of the configuration, which are published together as a
// View that readers load without a lock.
//
// An instance confirms an epoch only when it has no request in flight for the
// cells that it lost. It dispatches for the cells that it gained only after all
// lease holders have confirmed the epoch. Therefore no two instances dispatch to
// one backend server at the same time.
package member

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"math"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/config/intent"
	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/control/state"
)

// pendingDivisor shortens the interval between renewals while the epoch is not
// settled, or while this instance has an epoch or a configuration to confirm.
const pendingDivisor = 8

// Renewer sends a renewal to the control instance at address.
type Renewer interface {
	Renew(ctx context.Context, address string, r leader.Renewal) (leader.Grant, error)
}

// Cells opens and closes the cells of this instance as each view requires.
type Cells interface {
	// Apply starts dispatch for the cells for which v allows it, and stops it for
	// all others. It is called before the instance confirms the epoch of v.
	Apply(v *View)
	// Drained reports whether no request is in flight for the cells for which the
	// last applied view does not allow dispatch.
	Drained() bool
}

// Member renews the lease of one instance. Set the exported fields before Run.
type Member struct {
	Instance snipefront.Instance
	// Control lists the control instances, at least one.
	Control []snipefront.Instance
	Renewer Renewer
	Cells   Cells
	// Interval is the time between renewals, at most a third of the lease.
	Interval time.Duration
	Logger   *slog.Logger
	// Lease is checked before each request is dispatched or forwarded.
	Lease Lease

	view           atomic.Pointer[View]
	leaving        atomic.Bool
	probeRate      atomic.Uint64
	merger         intent.Merger
	confirmedEpoch uint64
	// configUnconfirmed is true if the last grant brought a new configuration, which
	// the next renewal confirms.
	configUnconfirmed bool
	// next is the index in Control of the instance to call next.
	next int
}

// View returns the current view. It is never nil.
func (m *Member) View() *View {
	if v := m.view.Load(); v != nil {
		return v
	}
	return &View{Self: m.Instance.Name, Config: &snipefront.Config{}}
}

// ProbeRate returns the most probes per second that this instance may send now,
// which is 0 without a lease.
func (m *Member) ProbeRate() float64 {
	if !m.Lease.Held(time.Now()) {
		return 0
	}
	return math.Float64frombits(m.probeRate.Load())
}

// Leave makes each later renewal report that the instance is leaving the fleet, so
// that it owns no cells in later epochs.
func (m *Member) Leave() {
	m.leaving.Store(true)
}

// Leaving reports whether Leave was called.
func (m *Member) Leaving() bool {
	return m.leaving.Load()
}

// Run renews the lease until ctx ends, and then releases it.
func (m *Member) Run(ctx context.Context) error {
	for {
		m.renew(ctx, false)
		select {
		case <-ctx.Done():
			m.release(ctx)
			return nil
		case <-time.After(m.renewalDelay()):
		}
	}
}

// release ends the lease and reports to the leader that this instance has
// stopped.
func (m *Member) release(ctx context.Context) {
	m.Lease.drop()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), m.Interval)
	defer cancel()
	m.renew(ctx, true)
}

func (m *Member) renewalDelay() time.Duration {
	v := m.View()
	if v.Waiting || v.Epoch.Number != m.confirmedEpoch || m.configUnconfirmed {
		return m.Interval / pendingDivisor
	}
	return m.Interval
}

// renew calls the control instances in turn until one renews the lease, starting
// with the one that renewed it last. It makes at most as many calls as there are
// control instances. After a redirect it may call one of them twice.
func (m *Member) renew(ctx context.Context, stopped bool) {
	for range m.Control {
		if m.sendRenewal(ctx, m.Control[m.next], stopped) || ctx.Err() != nil {
			return
		}
		m.next = (m.next + 1) % len(m.Control)
	}
}

// sendRenewal sends a renewal to the control instance c and applies the grant. It
// reports whether c renewed the lease.
func (m *Member) sendRenewal(ctx context.Context, c snipefront.Instance, stopped bool) bool {
	ctx, cancel := context.WithTimeout(ctx, m.Interval)
	defer cancel()
	sent := time.Now()
	g, err := m.Renewer.Renew(ctx, c.PeerAddress, m.renewal(stopped))
	if err != nil {
		m.Logger.Debug("failed to renew the lease at a control instance", "control", c.Name, "error", err)
		return false
	}
	if !g.Granted {
		m.redirect(g.Leader)
		return false
	}
	if stopped {
		return true
	}
	m.applyGrant(g, sent)
	return true
}

// redirect makes renew call the named leader next, if it is in Control. It stores
// the index before the leader's, since renew adds one to next after each call that
// did not renew the lease.
func (m *Member) redirect(name string) {
	n := len(m.Control)
	for i, c := range m.Control {
		if c.Name == name {
			m.next = (i + n - 1) % n
		}
	}
}

// renewal returns the renewal to send. It confirms the epoch of the current view if
// no request is in flight for the cells that this instance lost.
func (m *Member) renewal(stopped bool) leader.Renewal {
	v := m.View()
	if m.Cells.Drained() {
		m.confirmedEpoch = v.Epoch.Number
	}
	return leader.Renewal{
		Instance:  m.Instance,
		Epoch:     m.confirmedEpoch,
		Held:      v.Epoch.Number,
		Revision:  v.Config.Revision,
		Leaving:   m.leaving.Load(),
		ProbeRate: m.ProbeRate(),
		Gone:      stopped,
	}
}

// applyGrant applies a grant. It publishes the new view before it extends the
// lease, so that no request is dispatched under an old view and a new lease.
func (m *Member) applyGrant(g leader.Grant, sent time.Time) {
	old := m.View()
	next := *old
	if g.Epoch.Number > old.Epoch.Number {
		next.Epoch = g.Epoch
		next.Before = old
		if !m.Lease.Held(time.Now()) {
			next.Before = nil
		}
		next.Waiting = true
	}
	if g.Epoch.Number == next.Epoch.Number && g.Settled >= next.Epoch.Number {
		next.Waiting = false
		next.Before = nil
	}
	m.applyConfig(&next, g)
	if next.Epoch.Number != old.Epoch.Number || next.Waiting != old.Waiting || next.Config != old.Config {
		m.view.Store(&next)
		m.Cells.Apply(&next)
	}
	m.configUnconfirmed = next.Config != old.Config
	m.probeRate.Store(math.Float64bits(g.ProbeRate))
	m.Lease.extend(sent.Add(g.Lease))
	if next.Epoch.Number != old.Epoch.Number {
		m.Logger.Info("applied a new membership epoch", "epoch", next.Epoch.Number, "instances", len(next.Epoch.Instances))
	}
}

// applyConfig applies the configuration of a grant to next, if it is newer.
func (m *Member) applyConfig(next *View, g leader.Grant) {
	d := g.Config
	if d.Revision <= next.Config.Revision {
		return
	}
	files := applyDelta(next.Files, d)
	list := make([]intent.File, 0, len(files))
	for n, c := range files {
		list = append(list, intent.File{Name: n, Content: c})
	}
	c, problems := m.merger.Merge(list)
	if len(problems) > 0 {
		m.Logger.Error("cannot apply the configuration; keeping the previous one", "revision", d.Revision, "problem", problems[0].Error())
		return
	}
	c.Revision = d.Revision
	next.Config = &c
	next.Files = files
	m.Logger.Info("applied a new configuration", "revision", d.Revision, "files", len(files))
}

// applyDelta returns a copy of old with d applied.
func applyDelta(old map[string]json.RawMessage, d state.Delta) map[string]json.RawMessage {
	files := make(map[string]json.RawMessage, len(old)+len(d.Files))
	if !d.Whole {
		maps.Copy(files, old)
	}
	for _, n := range d.Removed {
		delete(files, n)
	}
	for _, f := range d.Files {
		files[f.Name] = f.Content
	}
	return files
}
