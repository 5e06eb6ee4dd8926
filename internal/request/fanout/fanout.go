// Package fanout shares the requests under which backend servers fell among the
// instances of the epoch.
//
// A record goes into a bounded queue, so that the path of a request never waits.
// A Broadcaster gives it to every other instance, in batches and with one call at a
// time to each, and repeats a call that failed. An instance that cannot be
// reached for that long has lost its lease. Whenever an instance gets its lease,
// it asks one other for all records.
package fanout

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/request/poison"
)

const (
	// maxQueue is the most records that wait for Run.
	maxQueue = 1024
	// maxHeld is the most records held for one instance.
	maxHeld = 1024
	// maxBatch is the most records of one call.
	maxBatch = 128
	// maxCalls is the most calls at once.
	maxCalls = 32
	// maxTries is the most calls that fail one after the other before their
	// records are dropped.
	maxTries = 12
	// interval is the time between a call that failed and the next.
	interval = 500 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = 400 * time.Millisecond
)

// Caller reaches other instances.
type Caller interface {
	// Quarantine gives records to the instance at address, and where all is true
	// returns all that it holds.
	Quarantine(ctx context.Context, address string, list []poison.Record, all bool) ([]poison.Record, error)
}

// Counter counts records that were dropped before all instances had them.
type Counter interface {
	Unshared(records int)
}

// Lease tells whether this instance is part of the fleet.
type Lease interface {
	Held(now time.Time) bool
}

// Broadcaster implements poison.Sharer. Set the exported fields before Run.
type Broadcaster struct {
	// Self is the name of this instance.
	Self     string
	View     func() *member.View
	Lease    Lease
	Register *poison.Register
	Caller   Caller
	Counter  Counter
	Logger   *slog.Logger

	once  sync.Once
	queue chan poison.Record
	// ended is where each call reports its end.
	ended   chan outcome
	calls   int
	parcels map[string]*parcel
	// joined is whether the lease was held, and wanted whether records are to be
	// asked for.
	joined  bool
	wanted  bool
	pulling bool
	// pullDue is the earliest time of the next call that asks for all records.
	pullDue time.Time
}

// outcome is the end of a call.
type outcome struct {
	instance string
	sent     []poison.Record
	// all is true where the call asked for all records.
	all bool
	got []poison.Record
	err error
}

// Share implements poison.Sharer.
func (s *Broadcaster) Share(r poison.Record) {
	select {
	case s.records() <- r:
	default:
		s.Counter.Unshared(1)
	}
}

func (s *Broadcaster) records() chan poison.Record {
	s.once.Do(func() { s.queue = make(chan poison.Record, maxQueue) })
	return s.queue
}

// Run shares records until ctx ends and its calls have ended.
func (s *Broadcaster) Run(ctx context.Context) error {
	s.ended = make(chan outcome)
	s.parcels = map[string]*parcel{}
	t := time.NewTicker(interval / 2)
	defer t.Stop()
	for ctx.Err() == nil {
		s.pull(ctx, time.Now())
		s.deliver(ctx, time.Now())
		select {
		case <-ctx.Done():
		case r := <-s.records():
			s.take(time.Now(), r)
		case o := <-s.ended:
			s.settle(time.Now(), o)
		case <-t.C:
		}
	}
	for ; s.calls > 0; s.calls-- {
		<-s.ended
	}
	return nil
}

// others returns the other instances of the epoch.
func (s *Broadcaster) others() []snipefront.Instance {
	var list []snipefront.Instance
	for _, n := range s.View().Epoch.Instances {
		if n.Name != s.Self {
			list = append(list, n)
		}
	}
	return list
}

// take puts r and what waits behind it into the parcels.
func (s *Broadcaster) take(now time.Time, r poison.Record) {
	others := s.others()
	for {
		for _, n := range others {
			s.hold(now, n.Name, r)
		}
		select {
		case r = <-s.records():
		default:
			return
		}
	}
}

func (s *Broadcaster) hold(now time.Time, name string, r poison.Record) {
	p := s.parcels[name]
	if p == nil {
		p = &parcel{records: map[uint64]held{}}
		s.parcels[name] = p
	}
	if !p.add(now, r) {
		s.Counter.Unshared(1)
	}
}

// deliver begins the calls that are due.
func (s *Broadcaster) deliver(ctx context.Context, now time.Time) {
	if len(s.parcels) == 0 {
		return
	}
	present := map[string]bool{}
	for _, n := range s.others() {
		present[n.Name] = true
		s.deliverTo(ctx, now, n)
	}
	for name, p := range s.parcels {
		if !present[name] && !p.busy {
			delete(s.parcels, name)
		}
	}
}

func (s *Broadcaster) deliverTo(ctx context.Context, now time.Time, n snipefront.Instance) {
	p := s.parcels[n.Name]
	if p == nil || p.busy || now.Before(p.due) || s.calls >= maxCalls {
		return
	}
	list := p.batch(now)
	if len(list) == 0 {
		delete(s.parcels, n.Name)
		return
	}
	p.busy = true
	s.call(ctx, n, list, false)
}

// pull asks one other instance for all records, after this one got its lease.
func (s *Broadcaster) pull(ctx context.Context, now time.Time) {
	held := s.Lease.Held(now) && s.View().In()
	if held && !s.joined {
		s.wanted = true
	}
	s.joined = held
	others := s.others()
	if !s.wanted || s.pulling || now.Before(s.pullDue) || len(others) == 0 || s.calls >= maxCalls {
		return
	}
	s.pulling = true
	s.call(ctx, others[rand.IntN(len(others))], nil, true)
}

func (s *Broadcaster) call(ctx context.Context, n snipefront.Instance, list []poison.Record, all bool) {
	s.calls++
	go func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		got, err := s.Caller.Quarantine(ctx, n.PeerAddress, list, all)
		s.ended <- outcome{instance: n.Name, sent: list, all: all, got: got, err: err}
	}()
}

// settle takes in the end of a call.
func (s *Broadcaster) settle(now time.Time, o outcome) {
	s.calls--
	if o.all {
		s.pulled(now, o)
		return
	}
	p := s.parcels[o.instance]
	p.busy = false
	if o.err == nil {
		p.tries = 0
		p.forget(o.sent)
		return
	}
	p.tries++
	p.due = now.Add(interval)
	if p.tries >= maxTries {
		p.tries = 0
		p.forget(o.sent)
		s.Counter.Unshared(len(o.sent))
		s.Logger.Warn("suspects not shared", "instance", o.instance, "records", len(o.sent), "error", o.err)
	}
}

func (s *Broadcaster) pulled(now time.Time, o outcome) {
	s.pulling = false
	if o.err != nil {
		s.pullDue = now.Add(interval)
		s.Logger.Debug("suspects not read", "instance", o.instance, "error", o.err)
		return
	}
	s.wanted = false
	s.Register.Merge(now, o.got)
}
