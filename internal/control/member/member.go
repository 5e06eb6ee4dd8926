// Package member keeps an instance's lease and its view of the fleet.
//
// A Member renews its lease at the leader of the control quorum. The lease
// counts from the instant at which the renewal was sent, so it lapses here
// before the leader may consider it lapsed. Each answer brings the membership
// epoch and the configuration, which are published together as a View that
// readers load without a lock.
//
// An instance confirms an epoch only after no request is in flight for cells
// that it lost, and starts with cells that it gained only after all others have
// confirmed. No two instances therefore dispatch to one backend server.
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

// hasteDivisor shortens the wait between renewals while a change is waiting for
// this instance or for the others.
const hasteDivisor = 8

// Renewer sends a renewal to the control instance at address.
type Renewer interface {
	Renew(ctx context.Context, address string, r leader.Renewal) (leader.Grant, error)
}

// Cells is told of each view before it is confirmed.
type Cells interface {
	// Adopt stops dispatch for the cells that v does not own.
	Adopt(v *View)
	// Drained returns whether no request is in flight for cells not owned.
	Drained() bool
}

// Member renews the lease of one instance. Set the exported fields before Run.
type Member struct {
	Instance snipefront.Instance
	// Control lists the control instances. At least one.
	Control []snipefront.Instance
	Renewer Renewer
	Cells   Cells
	// Interval is the time between renewals, at most a third of the lease.
	Interval time.Duration
	Logger   *slog.Logger
	// Lease is read on the path of requests.
	Lease Lease

	view      atomic.Pointer[View]
	leaving   atomic.Bool
	probeRate atomic.Uint64
	merger    intent.Merger
	confirmed uint64
	revised   bool
	target    int
}

// View returns the current view. It is never nil.
func (m *Member) View() *View {
	if v := m.view.Load(); v != nil {
		return v
	}
	return &View{Self: m.Instance.Name, Config: &snipefront.Config{}}
}

// ProbeRate returns the most probes a second that this instance may send now.
func (m *Member) ProbeRate() float64 {
	if !m.Lease.Held(time.Now()) {
		return 0
	}
	return math.Float64frombits(m.probeRate.Load())
}

// Leave makes the next renewals ask for no cells.
func (m *Member) Leave() {
	m.leaving.Store(true)
}

// Leaving returns whether Leave was called.
func (m *Member) Leaving() bool {
	return m.leaving.Load()
}

// Run renews until ctx ends, and then ends the lease.
func (m *Member) Run(ctx context.Context) error {
	for {
		m.renew(ctx, false)
		select {
		case <-ctx.Done():
			m.end(ctx)
			return nil
		case <-time.After(m.wait()):
		}
	}
}

// end tells the leader that this instance no longer needs its lease.
func (m *Member) end(ctx context.Context) {
	m.Lease.drop()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), m.Interval)
	defer cancel()
	m.renew(ctx, true)
}

func (m *Member) wait() time.Duration {
	v := m.View()
	if v.Waiting || v.Epoch.Number != m.confirmed || m.revised {
		return m.Interval / hasteDivisor
	}
	return m.Interval
}

// renew asks each control instance once at most, the last leader first.
func (m *Member) renew(ctx context.Context, gone bool) {
	for range m.Control {
		if m.renewAt(ctx, m.Control[m.target], gone) || ctx.Err() != nil {
			return
		}
		m.target = (m.target + 1) % len(m.Control)
	}
}

// renewAt returns whether the lease was renewed at the control instance c.
func (m *Member) renewAt(ctx context.Context, c snipefront.Instance, gone bool) bool {
	ctx, cancel := context.WithTimeout(ctx, m.Interval)
	defer cancel()
	sent := time.Now()
	g, err := m.Renewer.Renew(ctx, c.PeerAddress, m.renewal(gone))
	if err != nil {
		m.Logger.Debug("renewal failed", "control", c.Name, "error", err)
		return false
	}
	if !g.Granted {
		m.follow(g.Leader)
		return false
	}
	if gone {
		return true
	}
	m.adopt(g, sent)
	return true
}

// follow makes the named leader the one that is asked next.
func (m *Member) follow(name string) {
	n := len(m.Control)
	for i, c := range m.Control {
		if c.Name == name {
			m.target = (i + n - 1) % n
		}
	}
}

func (m *Member) renewal(gone bool) leader.Renewal {
	v := m.View()
	if m.Cells.Drained() {
		m.confirmed = v.Epoch.Number
	}
	return leader.Renewal{
		Instance:  m.Instance,
		Epoch:     m.confirmed,
		Held:      v.Epoch.Number,
		Revision:  v.Config.Revision,
		Leaving:   m.leaving.Load(),
		ProbeRate: m.ProbeRate(),
		Gone:      gone,
	}
}

// adopt publishes what a grant brought, then extends the lease, so that no
// request is dispatched under an old view and a new lease.
func (m *Member) adopt(g leader.Grant, sent time.Time) {
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
	m.configure(&next, g)
	if next.Epoch.Number != old.Epoch.Number || next.Waiting != old.Waiting || next.Config != old.Config {
		m.view.Store(&next)
		m.Cells.Adopt(&next)
	}
	m.revised = next.Config != old.Config
	m.probeRate.Store(math.Float64bits(g.ProbeRate))
	m.Lease.extend(sent.Add(g.Lease))
	if next.Epoch.Number != old.Epoch.Number {
		m.Logger.Info("epoch seen", "epoch", next.Epoch.Number, "instances", len(next.Epoch.Instances))
	}
}

// configure puts the configuration of a grant into next, where it is newer.
func (m *Member) configure(next *View, g leader.Grant) {
	d := g.Config
	if d.Revision <= next.Config.Revision {
		return
	}
	files := patch(next.Files, d)
	list := make([]intent.File, 0, len(files))
	for n, c := range files {
		list = append(list, intent.File{Name: n, Content: c})
	}
	c, problems := m.merger.Merge(list)
	if len(problems) > 0 {
		m.Logger.Error("accepted configuration not understood", "revision", d.Revision, "problem", problems[0].Error())
		return
	}
	c.Revision = d.Revision
	next.Config = &c
	next.Files = files
	m.Logger.Info("configuration in force", "revision", d.Revision, "files", len(files))
}

// patch returns the files after d, leaving old as it is.
func patch(old map[string]json.RawMessage, d state.Delta) map[string]json.RawMessage {
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
