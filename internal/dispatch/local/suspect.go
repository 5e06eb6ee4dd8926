package local

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
	"github.com/snipefront/snipefront/internal/request/poison"
)

// suspects keeps the suspects of a cell apart: at most one is in flight on each backend
// server. So of several that were in flight on one that crashed, at most one is in flight
// on the next. Its zero value is ready to use.
type suspects struct {
	once sync.Once
	// choosing holds one element while a suspect gets its backend server.
	choosing chan struct{}

	mu sync.Mutex
	// running names the backend servers with a suspect in flight.
	running []string
	// freed is closed and replaced when one of them is done.
	freed chan struct{}
}

func (s *suspects) init() {
	s.once.Do(func() {
		s.choosing = make(chan struct{}, 1)
		s.freed = make(chan struct{})
	})
}

// busy returns the backend servers with a suspect in flight, and a channel that is closed
// when one of them is done.
func (s *suspects) busy() ([]string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.running), s.freed
}

func (s *suspects) begin(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = append(s.running, server)
}

// done records that the suspect on server has ended.
func (s *suspects) done(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = slices.DeleteFunc(s.running, func(n string) bool { return n == server })
	close(s.freed)
	s.freed = make(chan struct{})
}

// acquire gets a slot on a backend server without another suspect, and waits while each
// that accepts requests has one. The caller calls done when the attempt has ended.
func (s *suspects) acquire(ctx context.Context, c *cell.Cell, r cell.SlotRequest) (*cell.Slot, error) {
	s.init()
	select {
	case s.choosing <- struct{}{}:
		defer func() { <-s.choosing }()
	case <-ctx.Done():
		return nil, errSuspectWaited()
	}
	for {
		busy, freed := s.busy()
		q := r
		q.Avoid = append(slices.Clone(r.Avoid), busy...)
		slot, err := c.Acquire(ctx, q)
		if err == nil {
			s.begin(slot.BackendServer.Name)
			return slot, nil
		}
		if len(busy) == 0 || snipefront.AsError(err).Reason != snipefront.ReasonNoBackendServer {
			return nil, err
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, errSuspectWaited()
		}
	}
}

// errSuspectWaited returns the refusal of a suspect that got no backend server in time.
func errSuspectWaited() *snipefront.Error {
	return snipefront.Refused(snipefront.ReasonDeadline, 0, "each backend server runs another request that was in flight when one crashed")
}

// acquire gets a slot for r and returns a function to call when its attempt has ended. A
// quarantined request is refused, and a suspect gets a backend server without another
// suspect.
func (d *Dispatcher) acquire(ctx context.Context, slotRequest cell.SlotRequest, r *snipefront.Request) (slot *cell.Slot, suspect bool, release func(), err error) {
	switch admission, left := d.Poison.Admit(time.Now(), r.Fingerprint); admission {
	case poison.Clear:
		slot, err = d.Cell.Acquire(ctx, slotRequest)
		return slot, false, func() {}, err
	case poison.Quarantined:
		return nil, true, nil, poison.Refusal(left)
	}
	if slot, err = d.suspects.acquire(ctx, d.Cell, slotRequest); err != nil {
		return nil, true, nil, err
	}
	server := slot.BackendServer.Name
	// The quarantine may have begun while r waited.
	if admission, left := d.Poison.Admit(time.Now(), r.Fingerprint); admission == poison.Quarantined {
		slot.Done(cell.Canceled)
		d.suspects.done(server)
		return nil, true, nil, poison.Refusal(left)
	}
	return slot, true, func() { d.suspects.done(server) }, nil
}
