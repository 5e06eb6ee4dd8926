// Package fanout shares suspects, the requests in flight on crashed backend servers,
// among the instances of the epoch.
//
// A record goes into a bounded queue, so that no request waits for it to be sent. A
// Broadcaster sends it to every other instance, in batches and with one call at a time
// to each, and retries a call that failed. An instance that is unreachable for all
// retries has lost its lease. Whenever an instance gets its lease, it requests all
// records from one other instance.
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
	// maxQueue bounds the records that wait for Run.
	maxQueue = 1024
	// maxPending bounds the records that wait to be sent to one instance.
	maxPending = 1024
	// maxBatch bounds the records of one call.
	maxBatch = 128
	// maxCalls bounds the concurrent calls.
	maxCalls = 32
	// maxFailures is the number of calls to an instance that fail in a row before the
	// records of the last call are dropped.
	maxFailures = 12
	// retryInterval is the time between a call that failed and the next.
	retryInterval = 500 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = 400 * time.Millisecond
)

// Caller calls other instances.
type Caller interface {
	// Quarantine sends records to the instance at address. If all is true, it returns
	// all records of that instance.
	Quarantine(ctx context.Context, address string, list []poison.Record, all bool) ([]poison.Record, error)
}

// Counter counts records that were dropped before all instances received them.
type Counter interface {
	SuspectsUnshared(records int)
}

// Lease reports whether this instance is part of the fleet.
type Lease interface {
	// Held reports whether this instance holds a lease at the time now.
	Held(now time.Time) bool
}

// Broadcaster implements poison.Sharer. It sends records to all other instances. Set
// the exported fields before Run.
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
	// results receives the result of each call.
	results chan callResult
	// calls is the number of calls in progress.
	calls int
	// backlogs holds the records to send, by instance.
	backlogs map[string]*backlog
	// hadLease is true if this instance held a lease at the last check, needsRecords
	// until it has received all records of another instance, and pulling while a call
	// requests them.
	hadLease     bool
	needsRecords bool
	pulling      bool
	// nextPull is the earliest time of the next call that requests all records.
	nextPull time.Time
}

// callResult is the result of a call.
type callResult struct {
	instance string
	sent     []poison.Record
	// all is true if the call requested all records.
	all      bool
	received []poison.Record
	err      error
}

// Share implements poison.Sharer. It drops and counts the record if the queue is full.
func (b *Broadcaster) Share(r poison.Record) {
	select {
	case b.recordQueue() <- r:
	default:
		b.Counter.SuspectsUnshared(1)
	}
}

func (b *Broadcaster) recordQueue() chan poison.Record {
	b.once.Do(func() { b.queue = make(chan poison.Record, maxQueue) })
	return b.queue
}

// Run shares records until ctx ends. It then waits for the calls in progress.
func (b *Broadcaster) Run(ctx context.Context) error {
	b.results = make(chan callResult)
	b.backlogs = map[string]*backlog{}
	t := time.NewTicker(retryInterval / 2)
	defer t.Stop()
	for ctx.Err() == nil {
		b.pull(ctx, time.Now())
		b.startDueCalls(ctx, time.Now())
		select {
		case <-ctx.Done():
		case r := <-b.recordQueue():
			b.distribute(time.Now(), r)
		case res := <-b.results:
			b.handleResult(time.Now(), res)
		case <-t.C:
		}
	}
	for ; b.calls > 0; b.calls-- {
		<-b.results
	}
	return nil
}

// others returns the other instances of the epoch.
func (b *Broadcaster) others() []snipefront.Instance {
	var list []snipefront.Instance
	for _, n := range b.View().Epoch.Instances {
		if n.Name != b.Self {
			list = append(list, n)
		}
	}
	return list
}

// distribute adds r and all queued records to the backlogs of the other instances.
func (b *Broadcaster) distribute(now time.Time, r poison.Record) {
	others := b.others()
	for {
		for _, n := range others {
			b.addPending(now, n.Name, r)
		}
		select {
		case r = <-b.recordQueue():
		default:
			return
		}
	}
}

func (b *Broadcaster) addPending(now time.Time, name string, r poison.Record) {
	p := b.backlogs[name]
	if p == nil {
		p = &backlog{records: map[uint64]pendingRecord{}}
		b.backlogs[name] = p
	}
	if !p.add(now, r) {
		b.Counter.SuspectsUnshared(1)
	}
}

// startDueCalls starts the calls that are due, and drops the backlogs of instances that
// are no longer in the epoch.
func (b *Broadcaster) startDueCalls(ctx context.Context, now time.Time) {
	if len(b.backlogs) == 0 {
		return
	}
	current := map[string]bool{}
	for _, n := range b.others() {
		current[n.Name] = true
		b.startDueCall(ctx, now, n)
	}
	for name, p := range b.backlogs {
		if !current[name] && !p.calling {
			delete(b.backlogs, name)
		}
	}
}

func (b *Broadcaster) startDueCall(ctx context.Context, now time.Time, n snipefront.Instance) {
	p := b.backlogs[n.Name]
	if p == nil || p.calling || now.Before(p.nextCall) || b.calls >= maxCalls {
		return
	}
	list := p.batch(now)
	if len(list) == 0 {
		delete(b.backlogs, n.Name)
		return
	}
	p.calling = true
	b.call(ctx, n, list, false)
}

// pull requests all records from a random other instance after this one got its lease.
func (b *Broadcaster) pull(ctx context.Context, now time.Time) {
	hasLease := b.Lease.Held(now) && b.View().InEpoch()
	if hasLease && !b.hadLease {
		b.needsRecords = true
	}
	b.hadLease = hasLease
	others := b.others()
	if !b.needsRecords || b.pulling || now.Before(b.nextPull) || len(others) == 0 || b.calls >= maxCalls {
		return
	}
	b.pulling = true
	b.call(ctx, others[rand.IntN(len(others))], nil, true)
}

func (b *Broadcaster) call(ctx context.Context, n snipefront.Instance, list []poison.Record, all bool) {
	b.calls++
	go func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		received, err := b.Caller.Quarantine(ctx, n.PeerAddress, list, all)
		b.results <- callResult{instance: n.Name, sent: list, all: all, received: received, err: err}
	}()
}

// handleResult handles the result of a call.
func (b *Broadcaster) handleResult(now time.Time, res callResult) {
	b.calls--
	if res.all {
		b.handlePull(now, res)
		return
	}
	p := b.backlogs[res.instance]
	p.calling = false
	if res.err == nil {
		p.failures = 0
		p.remove(res.sent)
		return
	}
	p.failures++
	p.nextCall = now.Add(retryInterval)
	if p.failures >= maxFailures {
		p.failures = 0
		p.remove(res.sent)
		b.Counter.SuspectsUnshared(len(res.sent))
		b.Logger.Warn("calls to share suspects failed repeatedly; dropped the records of the last call", "instance", res.instance, "records", len(res.sent), "error", res.err)
	}
}

func (b *Broadcaster) handlePull(now time.Time, res callResult) {
	b.pulling = false
	if res.err != nil {
		b.nextPull = now.Add(retryInterval)
		b.Logger.Debug("request for all suspects failed; retrying", "instance", res.instance, "error", res.err)
		return
	}
	b.needsRecords = false
	b.Register.Merge(now, res.received)
}
