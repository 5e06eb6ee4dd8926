// Package follow keeps an instance's view of the fleet up to date.
//
// A Follower watches one control instance at a time, of its own data centre where
// one answers. It finds the others in the view itself. The view is never given up:
// without any control instance the last one stays, and it never goes back to an
// earlier state.
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
	// watchTime bounds the wait for a change in one call.
	watchTime = time.Second
	// answerTimeout is the time beyond watchTime after which a control instance
	// counts as lost.
	answerTimeout = 400 * time.Millisecond
	// firstPause and maxPause are the times for which a control instance that failed
	// is not asked again. The pause doubles with each failure in a row.
	firstPause = 250 * time.Millisecond
	maxPause   = 8 * time.Second
	// idlePause is the time between calls where all control instances have failed
	// lately. They are then asked in turn whatever their pauses.
	idlePause = 60 * time.Millisecond
)

// Caller calls a control instance.
type Caller interface {
	Watch(ctx context.Context, address string, w peers.Watch) (peers.Update, error)
}

// Follower follows the fleet. Set the exported fields before Run.
type Follower struct {
	// Self is this instance as it is registered.
	Self fleet.Instance
	// Seeds returns the peer addresses of some control instances. It is asked again
	// whenever no known one answers.
	Seeds  func() []string
	Caller Caller
	// Publish takes each new view. It is called from one goroutine.
	Publish func(v fleet.View)
	Logger  *slog.Logger

	mu sync.Mutex
	// heard is the last good answer.
	heard heard
	// self is Self as it is now.
	self *fleet.Instance
	// told is what the last call said, and to whom.
	told told
	// interrupt ends the wait for a change.
	interrupt context.CancelFunc

	view fleet.View
	// failed holds the control instances that failed lately, by address.
	failed map[string]failure
	// outage is true from when all of them have failed until one answers.
	outage bool
	// source is the address that answered last, or empty.
	source string
	seeds  []string
}

// told is what a registration says that may change.
type told struct {
	address string
	ready   bool
}

// heard is a good answer of a control instance.
type heard struct {
	address string
	at      time.Time
}

// failure is what is known of a control instance that did not answer.
type failure struct {
	at    time.Time
	until time.Time
	pause time.Duration
}

// errBehind means that a control instance knows less than this one, or may.
var errBehind = errors.New("control instance is out of touch with the quorum")

// SetReady tells the fleet whether this instance takes requests.
func (f *Follower) SetReady(ready bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current().Ready = ready
	if f.interrupt != nil {
		f.interrupt()
	}
}

// Heard returns the control instance that last answered well, and when it did.
// Without one it returns an empty address.
func (f *Follower) Heard() (address string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heard.address, f.heard.at
}

// current returns the registration. The lock is held.
func (f *Follower) current() *fleet.Instance {
	if f.self == nil {
		n := f.Self
		f.self = &n
	}
	return f.self
}

// Run follows the fleet until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.failed = map[string]failure{}
	for ctx.Err() == nil {
		address := f.pick(time.Now())
		if address == "" {
			f.outage = true
			f.seeds = f.Seeds()
			timer.Sleep(ctx, idlePause)
			address = f.oldest()
		}
		if address == "" {
			continue
		}
		if err := f.watch(ctx, address); err != nil && ctx.Err() == nil {
			f.fail(address, err)
		}
	}
	return nil
}

// watch makes one call and takes in its answer.
func (f *Follower) watch(ctx context.Context, address string) error {
	limited, cancel := context.WithTimeout(ctx, watchTime+answerTimeout)
	defer cancel()
	n := f.begin(address, cancel)
	news, err := f.Caller.Watch(limited, address, peers.Watch{Instance: n, Held: f.view.Index, Wait: watchTime})
	if f.end(n) && err != nil {
		return nil
	}
	if err != nil {
		return err
	}
	f.take(news.Delta)
	if !news.Current || news.Delta.Index < f.view.Index {
		return errBehind
	}
	if f.source != address {
		f.Logger.Info("following control instance", "address", address, "index", f.view.Index, "was", f.source)
		f.source = address
	}
	f.recovered(address)
	return nil
}

// recovered notes that address answered well. What failed in an outage of all control
// instances is no reason to avoid one after it.
func (f *Follower) recovered(address string) {
	f.mu.Lock()
	f.heard = heard{address: address, at: time.Now()}
	f.mu.Unlock()
	delete(f.failed, address)
	if f.outage {
		f.outage = false
		clear(f.failed)
	}
}

// begin returns the registration to send to address.
func (f *Follower) begin(address string, interrupt context.CancelFunc) fleet.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt = interrupt
	n := f.current()
	if t := (told{address: address, ready: n.Ready}); t != f.told {
		f.told = t
		n.Sequence++
	}
	return *n
}

// end returns whether the registration is no longer what was sent.
func (f *Follower) end(sent fleet.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt = nil
	return *f.current() != sent
}

func (f *Follower) take(d fleet.Delta) {
	if d.Index <= f.view.Index {
		return
	}
	f.view = f.view.Add(d)
	f.Publish(f.view)
}

// fail notes that address did not answer well.
func (f *Follower) fail(address string, err error) {
	e := f.failed[address]
	e.pause = min(max(firstPause, 2*e.pause), maxPause)
	e.at = time.Now()
	e.until = e.at.Add(e.pause)
	f.failed[address] = e
	if e.pause < maxPause || f.source == address {
		f.Logger.Warn("control instance lost", "address", address, "error", err, "pause", e.pause, "index", f.view.Index)
	}
	if f.source == address {
		f.source = ""
	}
}

// pick returns the control instance to ask: one of the own data centre first, then
// the one that answered last, then any that has not failed lately.
func (f *Follower) pick(now time.Time) string {
	var near, far []string
	if len(f.seeds) == 0 {
		f.seeds = f.Seeds()
	}
	known := map[string]bool{}
	add := func(address string, own bool) {
		if known[address] || now.Before(f.failed[address].until) {
			return
		}
		known[address] = true
		if own {
			near = append(near, address)
			return
		}
		far = append(far, address)
	}
	for _, n := range f.view.Instances {
		if n.Control {
			add(n.PeerAddress, n.DataCentre == f.Self.DataCentre)
		}
	}
	for _, s := range f.seeds {
		add(s, false)
	}
	for _, list := range [][]string{near, far} {
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

// oldest returns the control instance whose failure is the longest ago, or empty
// where none is known.
func (f *Follower) oldest() string {
	address := ""
	for a, e := range f.failed {
		if address == "" || e.at.Before(f.failed[address].at) {
			address = a
		}
	}
	return address
}
