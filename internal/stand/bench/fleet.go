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
	// maxQueue is the most requests that wait in one cell.
	maxQueue = 1000
	// maxAttempts is the most attempts of one request.
	maxAttempts = 3
	// staleCallerRatio is n if one caller in n uses a stale list of addresses.
	staleCallerRatio = 5
)

// fleet runs the production routers and cells with simulated backend servers.
type fleet struct {
	size    Size
	config  atomic.Pointer[snipefront.Config]
	epoch   snipefront.Epoch
	routers []*route.Router
	cells   map[snipefront.Cell]*cell.Cell
	servers map[string]*backend
	retries atomic.Int64
	hops    atomic.Int64
	hedges  atomic.Int64
	// hedgeShare is the share of requests that may be hedged.
	hedgeShare float64
	budgets    map[snipefront.Cell]*budget.Share
}

func newFleet(z Size, servers []*backend, seed uint64) *fleet {
	f := &fleet{size: z, cells: map[snipefront.Cell]*cell.Cell{}, budgets: map[snipefront.Cell]*budget.Share{}, servers: map[string]*backend{}}
	f.epoch.Number = 1
	for i := range z.Entries {
		n := strconv.Itoa(i)
		f.epoch.Instances = append(f.epoch.Instances, snipefront.Instance{
			Name: n, PeerAddress: n, DataCentre: dataCentre(i),
		})
	}
	for _, n := range f.epoch.Instances {
		f.routers = append(f.routers, &route.Router{
			Self: n.Name, View: f.view(n.Name), Lease: permanentLease{}, Cells: f,
			Forwarder: forwarder{from: n, fleet: f}, Counter: f,
		})
	}
	f.publish(nil)
	for _, b := range servers {
		f.servers[b.announced.Name] = b
		f.announce(b.announced, seed)
	}
	return f
}

func (f *fleet) announce(b snipefront.BackendServer, seed uint64) {
	n := b.Cell()
	c := f.cells[n]
	if c == nil {
		source := rand.NewPCG(seed, uint64(len(f.cells)))
		c = &cell.Cell{Name: n, Picker: picker.Free{}, MaxQueue: maxQueue, Random: source.Uint64}
		f.cells[n] = c
		f.budgets[n] = &budget.Share{}
		c.SetRules(time.Now(), f.rules(n))
		c.Open(time.Now())
	}
	c.Announce(time.Now(), b)
}

// publish applies a configuration in which the data centres in out are out of service.
func (f *fleet) publish(out map[string]bool) {
	v := &snipefront.Config{Services: map[string]snipefront.Service{}, DataCentresOut: out}
	for _, s := range f.size.Services {
		v.Services[s.Name] = s.Service
	}
	f.config.Store(v)
	for n, c := range f.cells {
		c.SetRules(time.Now(), f.rules(n))
	}
}

func (f *fleet) rules(c snipefront.Cell) cell.Rules {
	v := f.config.Load()
	s := v.Services[c.Service]
	return cell.Rules{ColdLimit: s.ColdLimit, WarmUp: s.WarmUp, Out: v.DataCentresOut[c.DataCentre]}
}

// view returns a function that returns the view of the instance named self. A new view
// is made only after the configuration has changed.
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

// serve sends c to the router of an instance that owns a cell of its service, or to a
// random router if the caller has a stale list of addresses.
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
func (f *fleet) Count(now time.Time, c snipefront.Cell) (cell.Counts, bool) {
	d := f.cells[c]
	if d == nil {
		return cell.Counts{}, false
	}
	return d.Count(now), true
}

// Serve implements route.Cells.
func (f *fleet) Serve(ctx context.Context, n snipefront.Cell, r *snipefront.Request, _ snipefront.Service, mayQueue bool) (*snipefront.Response, error) {
	d := f.cells[n]
	if d == nil {
		return nil, snipefront.Refused(snipefront.ReasonNoBackendServer, time.Second, "no cell")
	}
	sr := cell.SlotRequest{Importance: r.Importance, Deadline: r.Deadline, MayQueue: mayQueue}
	for i := 1; ; i++ {
		slot, err := d.Acquire(ctx, sr)
		if err != nil {
			return nil, err
		}
		s := f.attempt(ctx, d, slot, r)
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
// hedge delay of the cell and the hedge budget allows it, it also sends r to a second
// backend server. When either attempt is answered, it cancels the other.
func (f *fleet) attempt(ctx context.Context, d *cell.Cell, slot *cell.Slot, r *snipefront.Request) status {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	after := d.HedgeAfter()
	f.budgets[d.Name].Earn(f.hedgeShare)
	if f.hedgeShare == 0 || after == 0 {
		return f.send(ctx, slot, r)
	}
	statuses := make(chan status, 2)
	go func() { statuses <- f.send(ctx, slot, r) }()
	t := time.NewTimer(after)
	defer t.Stop()
	for {
		select {
		case s := <-statuses:
			return s
		case <-t.C:
		}
		if second := f.hedgeSlot(ctx, d, slot, r); second != nil {
			go func() { statuses <- f.send(ctx, second, r) }()
			break
		}
		t.Reset(after)
	}
	first := <-statuses
	if first != answered {
		return <-statuses
	}
	cancel()
	<-statuses
	return first
}

// hedgeSlot takes a slot for a hedge. It returns nil if no slot is free or the hedge
// budget is spent.
func (f *fleet) hedgeSlot(ctx context.Context, d *cell.Cell, first *cell.Slot, r *snipefront.Request) *cell.Slot {
	sr := cell.SlotRequest{Importance: r.Importance, Deadline: r.Deadline, Avoid: []string{first.BackendServer.Name}, FreeOnly: true}
	slot, err := d.Acquire(ctx, sr)
	if err != nil {
		return nil
	}
	if !f.budgets[d.Name].Spend() {
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

// forwarder carries requests between routers.
type forwarder struct {
	from  snipefront.Instance
	fleet *fleet
}

// Forward implements route.Forwarder.
func (f forwarder) Forward(ctx context.Context, address string, _ uint64, c snipefront.Cell, r *snipefront.Request, mayQueue bool) (peers.Answer, error) {
	f.fleet.hops.Add(1)
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
