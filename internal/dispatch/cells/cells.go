// Package cells holds the cells for which an instance knows backend servers,
// and opens those that it owns.
//
// The set of cells is replaced as a whole when a cell is added, so that the
// path of a request reads it without a lock.
//
// The lease of the instance is looked at again for each choice of a backend
// server: a request that waited, or that is repeated, may outlive the lease that
// it came under.
package cells

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
	"github.com/snipefront/snipefront/internal/dispatch/local"
)

// expiryInterval is the time between looks for lapsed announcements and at the
// lease.
const expiryInterval = 250 * time.Millisecond

// Lease tells whether this instance may dispatch.
type Lease interface {
	Held(now time.Time) bool
}

// Set is the cells of one instance. Set the exported fields before Run.
type Set struct {
	// Make returns a new closed cell with its dispatcher.
	Make func(snipefront.Cell) *local.Dispatcher
	// Lease bounds dispatch. No backend server is chosen while it is lapsed.
	Lease Lease

	mu   sync.Mutex
	view *member.View
	// lapsed is true once the cells were closed because the lease had lapsed.
	lapsed bool
	cells  atomic.Pointer[map[snipefront.Cell]*local.Dispatcher]
}

// Get returns the dispatcher of c, or nil.
func (s *Set) Get(c snipefront.Cell) *local.Dispatcher {
	return s.All()[c]
}

// All returns the cells. The map is never changed.
func (s *Set) All() map[snipefront.Cell]*local.Dispatcher {
	if m := s.cells.Load(); m != nil {
		return *m
	}
	return nil
}

// Cells returns the cells themselves.
func (s *Set) Cells() []*cell.Cell {
	all := s.All()
	list := make([]*cell.Cell, 0, len(all))
	for _, d := range all {
		list = append(list, d.Cell)
	}
	return list
}

// Announce takes in the announcement of a backend server and returns for how long
// it holds.
func (s *Set) Announce(now time.Time, b snipefront.BackendServer) time.Duration {
	lease := s.lease()
	b.Expires = now.Add(lease)
	d := s.Get(b.CellOf())
	if d == nil {
		d = s.add(now, b.CellOf())
	}
	d.Cell.Announce(now, b)
	return lease
}

// Adopt implements member.Cells.
func (s *Set) Adopt(v *member.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
	for n, d := range s.All() {
		s.place(time.Now(), n, d)
	}
}

// Drained implements member.Cells.
func (s *Set) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		return true
	}
	for n, d := range s.All() {
		if !s.view.Owns(n) && d.Cell.InFlight() > 0 {
			return false
		}
	}
	return true
}

// InFlight returns the number of requests that the cells run.
func (s *Set) InFlight() int {
	n := 0
	for _, d := range s.All() {
		n += d.Cell.InFlight()
	}
	return n
}

// Run forgets lapsed announcements and closes the cells while the lease is
// lapsed, until ctx ends.
func (s *Set) Run(ctx context.Context) error {
	return timer.Every(ctx, expiryInterval, func(now time.Time) {
		s.follow(now)
		for _, d := range s.All() {
			for _, b := range d.Cell.Expire(now) {
				d.Sender.Forget(b)
			}
		}
	})
}

// follow closes the cells once the lease has lapsed, which refuses the requests
// that wait, and places them again once it is held.
func (s *Set) follow(now time.Time) {
	lapsed := !s.Lease.Held(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if lapsed == s.lapsed {
		return
	}
	s.lapsed = lapsed
	for n, d := range s.All() {
		if lapsed {
			d.Cell.Close()
			continue
		}
		s.place(now, n, d)
	}
}

func (s *Set) add(now time.Time, c snipefront.Cell) *local.Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.All()
	if d := old[c]; d != nil {
		return d
	}
	next := make(map[snipefront.Cell]*local.Dispatcher, len(old)+1)
	for n, d := range old {
		next[n] = d
	}
	d := s.Make(c)
	d.Cell.Picker = leased{Picker: d.Cell.Picker, lease: s.Lease}
	next[c] = d
	s.cells.Store(&next)
	s.place(now, c, d)
	return d
}

// place opens or closes a cell and gives it its rules. The lock is held.
func (s *Set) place(now time.Time, c snipefront.Cell, d *local.Dispatcher) {
	if s.view == nil {
		return
	}
	d.Cell.Rule(now, rules(s.view.Config, c))
	if s.view.Owns(c) {
		d.Cell.Open(now)
		return
	}
	d.Cell.Close()
}

func rules(f *snipefront.Config, c snipefront.Cell) cell.Rules {
	s := f.Services[c.Service]
	r := cell.Rules{
		ColdLimit: max(1, s.ColdLimit),
		WarmUp:    s.WarmUp,
		Out:       f.DataCentresOut[c.DataCentre],
		Spares:    map[string]bool{},
	}
	for n := range f.Spares {
		if n.Service == c.Service {
			r.Spares[n.BackendServer] = true
		}
	}
	return r
}
