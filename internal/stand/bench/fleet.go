package bench

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/clock/timer"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
	"github.com/snipefront/snipefront/internal/dispatch/picker"
	"github.com/snipefront/snipefront/internal/request/route"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

const (
	// maxQueue is the maximum number of requests that wait in one cell.
	maxQueue = 1000
	// maxAttempts is the maximum number of attempts of one request.
	maxAttempts = 3
	// staleCallerRatio is n if one call in n is sent by a caller with a stale list of
	// addresses.
	staleCallerRatio = 5
)

// fleet runs the production routers and cells with simulated backend servers. The
// routers share the cells, and router i is that of instance i.
type fleet struct {
	size     Size
	config   atomic.Pointer[snipefront.Config]
	epoch    snipefront.Epoch
	routers  []*route.Router
	cells    map[snipefront.Cell]*cell.Cell
	servers  map[string]*backend
	retries  atomic.Int64
	forwards atomic.Int64
	hedges   atomic.Int64
	// hedgeShare is the share of requests that may be hedged.
	hedgeShare   float64
	hedgeBudgets map[snipefront.Cell]*budget.Share
}

func newFleet(z Size, servers []*backend, seed uint64) *fleet {
	f := &fleet{size: z, cells: map[snipefront.Cell]*cell.Cell{}, hedgeBudgets: map[snipefront.Cell]*budget.Share{}, servers: map[string]*backend{}}
	f.epoch.Number = 1
	for i := range z.Entries {
		name := strconv.Itoa(i)
		f.epoch.Instances = append(f.epoch.Instances, snipefront.Instance{
			Name: name, PeerAddress: name, DataCentre: dataCentre(i),
		})
	}
	for _, instance := range f.epoch.Instances {
		f.routers = append(f.routers, &route.Router{
			Self: instance.Name, View: f.view(instance.Name), Lease: permanentLease{}, Cells: f,
			Forwarder: forwarder{from: instance, fleet: f}, Counter: f,
		})
	}
	f.applyConfig(nil)
	for _, b := range servers {
		f.servers[b.announced.Name] = b
		f.announce(b.announced, seed)
	}
	return f
}

// announce announces b to its cell, which it makes and opens first if it is new.
func (f *fleet) announce(b snipefront.BackendServer, seed uint64) {
	name := b.Cell()
	c := f.cells[name]
	if c == nil {
		source := rand.NewPCG(seed, uint64(len(f.cells)))
		c = &cell.Cell{Name: name, Picker: picker.Free{}, MaxQueue: maxQueue, Random: source.Uint64}
		f.cells[name] = c
		f.hedgeBudgets[name] = &budget.Share{}
		c.SetRules(time.Now(), f.rules(name))
		c.Open(time.Now())
	}
	c.Announce(time.Now(), b)
}

// applyConfig makes a configuration in which the data centres in out are out of service,
// stores it for the views and applies it to the cells.
func (f *fleet) applyConfig(out map[string]bool) {
	config := &snipefront.Config{Services: map[string]snipefront.Service{}, DataCentresOut: out}
	for _, s := range f.size.Services {
		config.Services[s.Name] = s.Service
	}
	f.config.Store(config)
	for name, c := range f.cells {
		c.SetRules(time.Now(), f.rules(name))
	}
}

// rules returns the rules for the named cell in the current configuration.
func (f *fleet) rules(name snipefront.Cell) cell.Rules {
	config := f.config.Load()
	s := config.Services[name.Service]
	return cell.Rules{ColdLimit: s.ColdLimit, WarmUp: s.WarmUp, Out: config.DataCentresOut[name.DataCentre]}
}

// view returns a function that returns the view of the instance named self. The function
// makes a new view only after the configuration has changed.
func (f *fleet) view(self string) func() *member.View {
	var last atomic.Pointer[member.View]
	return func() *member.View {
		v := last.Load()
		if c := f.config.Load(); v == nil || v.Config != c {
			v = &member.View{Self: self, Epoch: f.epoch, Config: c}
			last.Store(v)
		}
		return v
	}
}

// serve sends c to the router of a random owner of a cell of its service, or to a random
// router if the caller has a stale list of addresses.
func (f *fleet) serve(ctx context.Context, c call) status {
	rt := f.routers[c.random%uint64(len(f.routers))]
	if c.random>>32%staleCallerRatio != 0 {
		owners, _ := rt.RankedOwners(time.Now(), c.service.Name)
		rt = f.router(owners[c.random>>8%uint64(len(owners))].Name)
	}
	r := &snipefront.Request{
		Service: c.service.Name, Importance: c.service.Importance, Deadline: c.deadline,
		Idempotent: true, Body: encodeWork(c.work),
	}
	resp, err := rt.Serve(ctx, r)
	switch {
	case ctx.Err() != nil:
		return late
	case err != nil:
		return shed
	case resp.Status != okStatus:
		return failed
	}
	return answered
}

func (f *fleet) router(name string) *route.Router {
	i, _ := strconv.Atoi(name)
	return f.routers[i]
}

// Announce implements route.Cells.
func (f *fleet) Announce(time.Time, snipefront.BackendServer) time.Duration { return time.Minute }

// Count implements route.Cells.
func (f *fleet) Count(now time.Time, name snipefront.Cell) (cell.Counts, bool) {
	c := f.cells[name]
	if c == nil {
		return cell.Counts{}, false
	}
	return c.Count(now), true
}

// Serve implements route.Cells.
func (f *fleet) Serve(ctx context.Context, name snipefront.Cell, r *snipefront.Request, _ snipefront.Service, mayQueue bool) (*snipefront.Response, error) {
	c := f.cells[name]
	if c == nil {
		return nil, snipefront.Refused(snipefront.ReasonNoBackendServer, time.Second, "no cell")
	}
	sr := cell.SlotRequest{Importance: r.Importance, Deadline: r.Deadline, MayQueue: mayQueue}
	for i := 1; ; i++ {
		slot, err := c.Acquire(ctx, sr)
		if err != nil {
			return nil, err
		}
		s := f.attempt(ctx, c, slot, r)
		switch {
		case s == answered:
			return &snipefront.Response{Status: okStatus}, nil
		case s == failed:
			return &snipefront.Response{Status: failedStatus}, nil
		case s == late || i == maxAttempts:
			return nil, snipefront.Refused(snipefront.ReasonShed, time.Second, "shed")
		}
		sr.Avoid = append(sr.Avoid, slot.BackendServer.Name)
	}
}

// attempt sends r to the backend server of slot. If the answer takes longer than the
// hedge delay of c and the hedge budget allows it, attempt also sends r to a second
// backend server. When either of the two answers, attempt cancels the other.
func (f *fleet) attempt(ctx context.Context, c *cell.Cell, slot *cell.Slot, r *snipefront.Request) status {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	delay := c.HedgeAfter()
	f.hedgeBudgets[c.Name].Earn(f.hedgeShare)
	if f.hedgeShare == 0 || delay == 0 {
		return f.send(ctx, slot, r)
	}
	statuses := make(chan status, 2)
	go func() { statuses <- f.send(ctx, slot, r) }()
	t := time.NewTimer(delay)
	defer t.Stop()
	for {
		select {
		case s := <-statuses:
			return s
		case <-t.C:
		}
		if second := f.hedgeSlot(ctx, c, slot, r); second != nil {
			go func() { statuses <- f.send(ctx, second, r) }()
			break
		}
		t.Reset(delay)
	}
	first := <-statuses
	if first != answered {
		return <-statuses
	}
	cancel()
	<-statuses
	return first
}

// hedgeSlot takes a slot of another backend server than that of first, for a hedge. It
// returns nil if no such slot is free or the hedge budget is spent.
func (f *fleet) hedgeSlot(ctx context.Context, c *cell.Cell, first *cell.Slot, r *snipefront.Request) *cell.Slot {
	sr := cell.SlotRequest{Importance: r.Importance, Deadline: r.Deadline, Avoid: []string{first.BackendServer.Name}, FreeOnly: true}
	slot, err := c.Acquire(ctx, sr)
	if err != nil {
		return nil
	}
	if !f.hedgeBudgets[c.Name].Spend() {
		slot.Done(cell.Canceled)
		return nil
	}
	f.hedges.Add(1)
	return slot
}

// send runs one attempt and releases its slot.
func (f *fleet) send(ctx context.Context, slot *cell.Slot, r *snipefront.Request) status {
	s := f.servers[slot.BackendServer.Name].serve(ctx, decodeWork(r.Body))
	if s == late && errors.Is(ctx.Err(), context.Canceled) {
		slot.Done(cell.Canceled)
		return s
	}
	slot.Done(outcomeOf(s))
	return s
}

func outcomeOf(s status) cell.Outcome {
	switch s {
	case answered:
		return cell.Answered
	case failed:
		return cell.Failed
	default:
		return cell.Dropped
	}
}

// Retried implements route.Counter.
func (f *fleet) Retried(string, snipefront.Reason) { f.retries.Add(1) }

// permanentLease is a lease that never expires.
type permanentLease struct{}

// Held implements route.Lease.
func (permanentLease) Held(time.Time) bool { return true }

// forwarder forwards requests from the router of one instance to those of others, with
// the simulated network delay.
type forwarder struct {
	from  snipefront.Instance
	fleet *fleet
}

// Forward implements route.Forwarder.
func (f forwarder) Forward(ctx context.Context, address string, _ uint64, c snipefront.Cell, r *snipefront.Request, mayQueue bool) (peers.Answer, error) {
	f.fleet.forwards.Add(1)
	delay := localDelay
	if f.from.DataCentre != c.DataCentre {
		delay = remoteDelay
	}
	if !timer.Sleep(ctx, delay) {
		return peers.Answer{}, context.DeadlineExceeded
	}
	a, err := f.fleet.router(address).HandleForward(ctx, c, r, mayQueue)
	if !timer.Sleep(ctx, delay) {
		return peers.Answer{}, context.DeadlineExceeded
	}
	return a, err
}
