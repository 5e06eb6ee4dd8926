// Package follow keeps an instance's view of the fleet up to date.
//
// A Follower watches one control instance at a time, a local one if one answers. It
// finds the others in the view itself. It keeps the last view while no control
// instance answers, and the view never goes back to an earlier state.
package follow

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

const (
	// maxWait bounds the wait for a change in one call.
	maxWait = time.Second
	// answerGrace is the time beyond maxWait after which a call times out.
	answerGrace = 400 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the time for which a control instance
	// that failed is not called again. The delay doubles with each failure in a row.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 8 * time.Second
	// outageRetryInterval is the time between calls while every control instance
	// waits for its retry delay. They are then called in turn regardless of it.
	outageRetryInterval = 60 * time.Millisecond
)

// Caller calls control instances.
type Caller interface {
	// Watch renews the registration in w at the control instance at address and
	// waits there for a change of the fleet.
	Watch(ctx context.Context, address string, w peers.Watch) (peers.Update, error)
}

// Follower keeps a view of the fleet up to date and this instance registered. Set the
// exported fields before Run.
type Follower struct {
	// Self is the first registration of this instance. If it has no name, the instance
	// isn't registered. The control instances of its data centre are preferred. Its
	// incarnation is raised if an earlier process is registered with a higher one.
	Self fleet.Instance
	// Seeds returns the peer addresses of some control instances. It is called again
	// whenever all known ones have failed.
	Seeds  func() []string
	Caller Caller
	// Publish is called with each new view and the delta that led to it, from one
	// goroutine.
	Publish func(v fleet.View, d fleet.Delta)
	Logger  *slog.Logger

	mu sync.Mutex
	// lastContact is the last successful call.
	lastContact contact
	// self is the current registration, or nil until it is first used.
	self *fleet.Instance
	// lastSent is what the last call sent, and to which address.
	lastSent variablePart
	// cancelWait ends the wait for a change. It is nil between calls.
	cancelWait context.CancelFunc

	view fleet.View
	// failed holds the control instances whose last call failed, by address.
	failed map[string]failure
	// outage is true from when all of them have failed until one answers.
	outage bool
	// source is the address of the control instance that is followed. It is empty
	// before the first answer and after a failure.
	source string
	seeds  []string
}

// variablePart is what may change in a registration while an instance runs: the address
// of the control instance that it watches, and Ready.
type variablePart struct {
	address string
	ready   bool
}

// contact is a successful call to a control instance.
type contact struct {
	address string
	at      time.Time
}

// failure is the last failed call to a control instance.
type failure struct {
	at      time.Time
	retryAt time.Time
	// delay is the time between at and retryAt.
	delay time.Duration
}

// errStale means that the state of a control instance is older than the view here, or
// may be, because it has lost contact with the control quorum.
var errStale = errors.New("control instance is behind or has lost contact with the control quorum")

// SetReady announces to the fleet whether this instance accepts requests. It
// interrupts the current call, so that the change is sent immediately.
func (f *Follower) SetReady(ready bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registration().Ready = ready
	if f.cancelWait != nil {
		f.cancelWait()
	}
}

// LastContact returns the address of the last successful call to a control instance and
// the time of its answer. Before the first one the address is empty.
func (f *Follower) LastContact() (address string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastContact.address, f.lastContact.at
}

// registration returns the current registration. The lock is held.
func (f *Follower) registration() *fleet.Instance {
	if f.self == nil {
		n := f.Self
		f.self = &n
	}
	return f.self
}

// outrank raises the incarnation of this instance above that of a process that ran before
// under its name, if the view still has its registration and that is higher.
func (f *Follower) outrank() {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.registration()
	old, ok := f.view.Instances[n.Name]
	if !ok || old.Incarnation <= n.Incarnation {
		return
	}
	f.Logger.Info("replacing the registration of an earlier process", "instance", n.Name, "earlier", old.Incarnation, "incarnation", old.Incarnation+1)
	n.Incarnation = old.Incarnation + 1
}

// Run keeps the view up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.failed = map[string]failure{}
	for ctx.Err() == nil {
		address := f.choose(time.Now())
		if address == "" {
			f.outage = true
			f.seeds = f.Seeds()
			timer.Sleep(ctx, outageRetryInterval)
			address = f.leastRecentlyFailed()
		}
		if address == "" {
			continue
		}
		if err := f.watch(ctx, address); err != nil && ctx.Err() == nil {
			f.recordFailure(address, err)
		}
	}
	return nil
}

// watch makes one call and applies its answer. It ignores the error of a call if the
// registration has changed in the meantime, which interrupts the call.
func (f *Follower) watch(ctx context.Context, address string) error {
	limited, cancel := context.WithTimeout(ctx, maxWait+answerGrace)
	defer cancel()
	n := f.startCall(address, cancel)
	update, err := f.Caller.Watch(limited, address, peers.Watch{Instance: n, Held: f.view.Index, Wait: maxWait})
	if f.endCall(n) && err != nil {
		return nil
	}
	if err != nil {
		return err
	}
	f.apply(update.Delta)
	if !update.Current || update.Delta.Index < f.view.Index {
		return errStale
	}
	if f.source != address {
		f.Logger.Info("following control instance", "address", address, "index", f.view.Index, "previous", f.source)
		f.source = address
	}
	f.recordSuccess(address)
	return nil
}

// recordSuccess records a successful call to address. If it ends an outage of all
// control instances, the failures during the outage are dropped, so that they keep
// no control instance from being called.
func (f *Follower) recordSuccess(address string) {
	f.mu.Lock()
	f.lastContact = contact{address: address, at: time.Now()}
	f.mu.Unlock()
	delete(f.failed, address)
	if f.outage {
		f.outage = false
		clear(f.failed)
	}
}

// startCall returns the registration to send to address. It increases the sequence if
// the address or Ready differs from the last call.
func (f *Follower) startCall(address string, cancelWait context.CancelFunc) fleet.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWait = cancelWait
	n := f.registration()
	if sending := (variablePart{address: address, ready: n.Ready}); sending != f.lastSent {
		f.lastSent = sending
		n.Sequence++
	}
	return *n
}

// endCall reports whether the registration has changed since it was sent.
func (f *Follower) endCall(sent fleet.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWait = nil
	return *f.registration() != sent
}

// apply applies d to the view and publishes it, unless the view has the index of d or a
// later one.
func (f *Follower) apply(d fleet.Delta) {
	if d.Index <= f.view.Index {
		return
	}
	if d.Unreadable > 0 {
		f.Logger.Warn("entries of the fleet can't be read; the others are applied", "entries", d.Unreadable, "index", d.Index)
	}
	f.view = f.view.Apply(d)
	f.outrank()
	f.Publish(f.view, d)
}

// recordFailure records a failed call to address and delays the next one.
func (f *Follower) recordFailure(address string, err error) {
	e := f.failed[address]
	e.delay = min(max(minRetryDelay, 2*e.delay), maxRetryDelay)
	e.at = time.Now()
	e.retryAt = e.at.Add(e.delay)
	f.failed[address] = e
	if e.delay < maxRetryDelay || f.source == address {
		f.Logger.Warn("watch of control instance failed", "address", address, "error", err, "retryAfter", e.delay, "index", f.view.Index)
	}
	if f.source == address {
		f.source = ""
	}
}

// choose returns the address of the control instance to call, or an empty one if the
// retry delay of each is still running. It prefers local ones, and among them, or
// among the remote ones, the one that is followed. Otherwise it chooses at random.
func (f *Follower) choose(now time.Time) string {
	var local, remote []string
	if len(f.seeds) == 0 {
		f.seeds = f.Seeds()
	}
	known := map[string]bool{}
	add := func(address string, isLocal bool) {
		if known[address] || now.Before(f.failed[address].retryAt) {
			return
		}
		known[address] = true
		if isLocal {
			local = append(local, address)
			return
		}
		remote = append(remote, address)
	}
	for _, n := range f.view.Instances {
		if n.Control {
			add(n.PeerAddress, n.DataCentre == f.Self.DataCentre)
		}
	}
	for _, s := range f.seeds {
		add(s, false)
	}
	for _, list := range [][]string{local, remote} {
		for _, a := range list {
			if a == f.source {
				return a
			}
		}
		if len(list) > 0 {
			return list[rand.IntN(len(list))]
		}
	}
	return ""
}

// leastRecentlyFailed returns the address of the control instance whose last failure
// is the longest ago, or an empty one if none has failed.
func (f *Follower) leastRecentlyFailed() string {
	address := ""
	for a, e := range f.failed {
		if address == "" || e.at.Before(f.failed[address].at) {
			address = a
		}
	}
	return address
}
