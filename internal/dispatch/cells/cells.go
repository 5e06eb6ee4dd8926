// Package cells holds the cells for which an instance knows backend servers, and opens
// those that it owns.
//
// Adding a cell replaces the whole map of cells, so that requests read it without a
// lock.
//
// The lease of the instance is checked for each choice of a backend server, since the
// lease that was held when a request arrived may expire while the request waits or
// before it is retried.
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
	"github.com/snipefront/snipefront/internal/dispatch/notice"
)

// expiryInterval is the time between two checks whether announcements or the lease of the
// instance have expired.
const expiryInterval = 250 * time.Millisecond

// Lease is the lease without which this instance may not dispatch.
type Lease interface {
	// Held reports whether the instance holds the lease at the time now.
	Held(now time.Time) bool
}

// Set is the cells of one instance. Set the exported fields before Run.
type Set struct {
	// Make returns the dispatcher of a new, closed cell.
	Make func(snipefront.Cell) *local.Dispatcher
	// Lease is checked for each choice of a backend server. No backend server is chosen
	// while the lease is expired.
	Lease Lease

	mu   sync.Mutex
	view *member.View
	// leaseExpired is true while the cells are closed because the lease has expired.
	leaseExpired bool
	cells        atomic.Pointer[map[snipefront.Cell]*local.Dispatcher]
}

// Get returns the dispatcher of c, or nil.
func (s *Set) Get(c snipefront.Cell) *local.Dispatcher {
	return s.All()[c]
}

// All returns the dispatchers by cell. The map is never changed.
func (s *Set) All() map[snipefront.Cell]*local.Dispatcher {
	if m := s.cells.Load(); m != nil {
		return *m
	}
	return nil
}

// Cells returns the cells in no particular order.
func (s *Set) Cells() []*cell.Cell {
	all := s.All()
	list := make([]*cell.Cell, 0, len(all))
	for _, d := range all {
		list = append(list, d.Cell)
	}
	return list
}

// Hear records the notice of an answer of b.
func (s *Set) Hear(now time.Time, b snipefront.BackendServer, n notice.Notice) {
	if d := s.Get(snipefront.Cell{Service: b.Service, DataCentre: b.DataCentre}); d != nil {
		d.Cell.Hear(now, b, n)
	}
}

// Announce applies the announcement of a backend server and returns the time until the
// announcement expires.
func (s *Set) Announce(now time.Time, b snipefront.BackendServer) time.Duration {
	lease := s.announcementLease()
	b.Expires = now.Add(lease)
	d := s.Get(b.Cell())
	if d == nil {
		d = s.add(now, b.Cell())
	}
	d.Cell.Announce(now, b)
	return lease
}

// Apply implements member.Cells.
func (s *Set) Apply(v *member.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
	for name, d := range s.All() {
		s.update(time.Now(), name, d)
	}
}

// Drained implements member.Cells.
func (s *Set) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		return true
	}
	for name, d := range s.All() {
		if !s.view.MayDispatch(name) && d.Cell.InFlight() > 0 {
			return false
		}
	}
	return true
}

// InFlight returns the number of requests in flight in all cells.
func (s *Set) InFlight() int {
	n := 0
	for _, d := range s.All() {
		n += d.Cell.InFlight()
	}
	return n
}

// Run removes the backend servers whose announcements have expired and closes the cells
// while the lease is expired, until ctx ends.
func (s *Set) Run(ctx context.Context) error {
	return timer.Every(ctx, expiryInterval, func(now time.Time) {
		s.checkLease(now)
		for _, d := range s.All() {
			for _, b := range d.Cell.Expire(now) {
				d.Sender.CloseIdle(b)
			}
		}
	})
}

// checkLease closes the cells when the lease expires, which refuses the waiting
// requests. When the lease is held again, it opens those for which this instance may
// dispatch.
func (s *Set) checkLease(now time.Time) {
	expired := !s.Lease.Held(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if expired == s.leaseExpired {
		return
	}
	s.leaseExpired = expired
	for name, d := range s.All() {
		if expired {
			d.Cell.Close()
			continue
		}
		s.update(now, name, d)
	}
}

// add returns the dispatcher of c, which it makes if there is none.
func (s *Set) add(now time.Time, c snipefront.Cell) *local.Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.All()
	if d := old[c]; d != nil {
		return d
	}
	next := make(map[snipefront.Cell]*local.Dispatcher, len(old)+1)
	for name, d := range old {
		next[name] = d
	}
	d := s.Make(c)
	d.Cell.Picker = leasePicker{Picker: d.Cell.Picker, lease: s.Lease}
	next[c] = d
	s.cells.Store(&next)
	s.update(now, c, d)
	return d
}

// update sets the rules of a cell and opens it if this instance may dispatch for it, or
// closes it otherwise. It does nothing before the first view. The lock is held.
func (s *Set) update(now time.Time, c snipefront.Cell, d *local.Dispatcher) {
	if s.view == nil {
		return
	}
	d.Cell.SetRules(now, rules(s.view.Config, c))
	if s.view.MayDispatch(c) {
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
	for spare := range f.Spares {
		if spare.Service == c.Service {
			r.Spares[spare.BackendServer] = true
		}
	}
	return r
}
