package cell_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
	"github.com/snipefront/snipefront/internal/dispatch/picker"
)

const serviceTime = 10 * time.Millisecond

// newCell returns an open cell with n backend servers of 4 slots, each at its cold limit
// of 1. The warm-up time is zero.
func newCell(n int) *cell.Cell {
	c := &cell.Cell{Picker: picker.Free{}, MaxQueue: 100}
	c.SetRules(time.Now(), cell.Rules{ColdLimit: 1})
	for i := range n {
		c.Announce(time.Now(), server(i))
	}
	c.Open(time.Now())
	return c
}

func server(i int) snipefront.BackendServer {
	return snipefront.BackendServer{
		Name: strconv.Itoa(i), Incarnation: 1, Slots: 4, Expires: time.Now().Add(time.Hour),
	}
}

// warmUpCell answers requests until the limit of each backend server is 4.
func warmUpCell(t *testing.T, c *cell.Cell) {
	t.Helper()
	for range 100 {
		var slots []*cell.Slot
		for {
			s, err := c.Acquire(t.Context(), cell.SlotRequest{Deadline: time.Now().Add(time.Second)})
			if err != nil {
				break
			}
			slots = append(slots, s)
		}
		time.Sleep(serviceTime)
		for _, s := range slots {
			s.Done(cell.Answered)
		}
	}
	for _, s := range c.Load(time.Now()).Servers {
		if s.Limit != 4 {
			t.Fatalf("limit %d after the warm-up, want 4", s.Limit)
		}
	}
}

func acquire(t *testing.T, c *cell.Cell, r cell.SlotRequest) *cell.Slot {
	t.Helper()
	s, err := c.Acquire(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// deadlineIn describes a request with a deadline d from now that may not queue.
func deadlineIn(d time.Duration) cell.SlotRequest {
	return cell.SlotRequest{Deadline: time.Now().Add(d)}
}

// TestDeadlineAfterQueueingKeepsLimit guards against lowering the limit for requests
// that had so little time left when they got a slot that no backend server could answer.
func TestDeadlineAfterQueueingKeepsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(1)
		warmUpCell(t, c)
		for range 3 {
			s := acquire(t, c, deadlineIn(5*time.Millisecond))
			time.Sleep(5 * time.Millisecond)
			s.Done(cell.Dropped)
		}
		if l := c.Load(time.Now()).Servers[0].Limit; l != 4 {
			t.Errorf("limit %d after three requests had too little time left, want 4", l)
		}
	})
}

// result is the result of Acquire.
type result struct {
	slot *cell.Slot
	err  error
}

// acquireAsync requests a slot, for which the request may queue, and returns a channel
// that receives the result.
func acquireAsync(t *testing.T, c *cell.Cell, r cell.SlotRequest) <-chan result {
	t.Helper()
	done := make(chan result, 1)
	r.MayQueue = true
	go func() {
		s, err := c.Acquire(t.Context(), r)
		done <- result{s, err}
	}()
	synctest.Wait()
	return done
}

// resultOf returns the result of a request, and fails the test if it is still waiting.
func resultOf(t *testing.T, done <-chan result) result {
	t.Helper()
	synctest.Wait()
	select {
	case r := <-done:
		return r
	default:
		t.Fatal("the request is still waiting")
		return result{}
	}
}

// wantRefused fails the test unless err is a refusal for reason with the verdict not-run.
func wantRefused(t *testing.T, err error, reason snipefront.Reason) {
	t.Helper()
	e := snipefront.AsError(err)
	if e == nil || e.Verdict != snipefront.NotRun || e.Reason != reason {
		t.Fatalf("got %v, want a refusal for reason %s with verdict not-run", err, reason)
	}
}

// TestOverloadRefusesImmediately guards against requests that queue in vain: one whose
// expected wait is too long for its deadline, or that finds the queue full, is refused
// without delay and told to retry after twice the expected wait.
func TestOverloadRefusesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(1)
		warmUpCell(t, c)
		for range 4 {
			acquire(t, c, deadlineIn(time.Hour))
		}
		for range 90 {
			acquireAsync(t, c, deadlineIn(time.Hour))
		}
		began := time.Now()
		r := resultOf(t, acquireAsync(t, c, deadlineIn(200*time.Millisecond)))
		wantRefused(t, r.err, snipefront.ReasonOverload)
		if elapsed := time.Since(began); elapsed != 0 {
			t.Errorf("the refusal took %v, want 0", elapsed)
		}
		for range 10 {
			acquireAsync(t, c, deadlineIn(time.Hour))
		}
		r = resultOf(t, acquireAsync(t, c, deadlineIn(time.Hour)))
		wantRefused(t, r.err, snipefront.ReasonOverload)
		if a := snipefront.AsError(r.err).RetryAfter; a < 505*time.Millisecond || a > 510*time.Millisecond {
			t.Errorf("retry after %v with an expected wait of 252.5ms, want twice that", a)
		}
		c.Close()
	})
}

// TestCriticalEvictsBackground guards against refusing a critical request because
// background requests fill the queue. The background request with the later deadline must
// be refused instead.
func TestCriticalEvictsBackground(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(1)
		c.MaxQueue = 2
		held := acquire(t, c, deadlineIn(time.Hour))
		first := acquireAsync(t, c, deadlineIn(time.Hour))
		second := acquireAsync(t, c, deadlineIn(2*time.Hour))
		critical := acquireAsync(t, c, cell.SlotRequest{Importance: snipefront.Critical, Deadline: time.Now().Add(time.Hour)})
		wantRefused(t, resultOf(t, second).err, snipefront.ReasonOverload)
		held.Done(cell.Answered)
		resultOf(t, critical).slot.Done(cell.Answered)
		resultOf(t, first).slot.Done(cell.Answered)
	})
}

// TestAvoidBlocksNoOtherRequest guards against a free slot that no request gets because the
// first waiter avoids its backend server.
func TestAvoidBlocksNoOtherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(2)
		slots := map[string]*cell.Slot{}
		for range 2 {
			s := acquire(t, c, deadlineIn(time.Hour))
			slots[s.BackendServer.Name] = s
		}
		avoiding := acquireAsync(t, c, cell.SlotRequest{Deadline: time.Now().Add(time.Hour), Avoid: []string{"0"}})
		other := acquireAsync(t, c, deadlineIn(2*time.Hour))
		slots["0"].Done(cell.Canceled)
		if n := resultOf(t, other).slot.BackendServer.Name; n != "0" {
			t.Errorf("served by backend server %s, want 0", n)
		}
		slots["1"].Done(cell.Canceled)
		if n := resultOf(t, avoiding).slot.BackendServer.Name; n != "1" {
			t.Errorf("the request that avoids backend server 0 was served by %s, want 1", n)
		}
	})
}

// TestDrainingServerGetsNoNewRequests guards against new requests to a draining backend
// server. When the last backend servers of a cell start to drain, the waiting request and
// each new one must be refused, even if more slots are announced.
func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(2)
		for range 2 {
			acquire(t, c, deadlineIn(time.Hour))
		}
		done := acquireAsync(t, c, deadlineIn(time.Hour))
		for i := range 2 {
			b := server(i)
			b.Draining = true
			b.Slots = 9
			c.Announce(time.Now(), b)
		}
		wantRefused(t, resultOf(t, done).err, snipefront.ReasonNoBackendServer)
		_, err := c.Acquire(t.Context(), deadlineIn(time.Hour))
		wantRefused(t, err, snipefront.ReasonNoBackendServer)
	})
}

// TestDataCentreOutOfServiceGetsNoNewRequests guards against new requests to a data centre
// that goes out of service while one request runs and another waits. The waiting request
// and each new one must be refused, although a slot becomes free.
func TestDataCentreOutOfServiceGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(1)
		s := acquire(t, c, deadlineIn(time.Hour))
		done := acquireAsync(t, c, deadlineIn(time.Hour))
		c.SetRules(time.Now(), cell.Rules{ColdLimit: 1, Out: true})
		wantRefused(t, resultOf(t, done).err, snipefront.ReasonDataCentreOut)
		s.Done(cell.Answered)
		_, err := c.Acquire(t.Context(), deadlineIn(time.Hour))
		wantRefused(t, err, snipefront.ReasonDataCentreOut)
	})
}

// TestSpareOnlyIfNoOtherIsFree guards against a request to a spare backend server while
// another one has a free slot.
func TestSpareOnlyIfNoOtherIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(3)
		c.SetRules(time.Now(), cell.Rules{ColdLimit: 1, Spares: map[string]bool{"1": true}})
		var names []string
		for range 3 {
			names = append(names, acquire(t, c, deadlineIn(time.Hour)).BackendServer.Name)
		}
		if names[2] != "1" {
			t.Errorf("slots granted in the order %v, want the spare 1 last", names)
		}
	})
}

// TestFastFailuresAttractNoTraffic guards against a backend server that fails
// immediately and so, with its slots always free, attracts most requests.
func TestFastFailuresAttractNoTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(3)
		warmUpCell(t, c)
		failures := 0
		for range 1000 {
			s := acquire(t, c, deadlineIn(time.Second))
			if s.BackendServer.Name == "0" {
				failures++
				s.Done(cell.Failed)
				continue
			}
			time.Sleep(serviceTime)
			s.Done(cell.Answered)
		}
		if failures > 20 {
			t.Errorf("%d of 1000 requests went to the backend server that fails immediately, want at most 20", failures)
		}
	})
}

// TestAllSuspendedStillServeRequests guards against a cell that refuses all requests because
// each of its backend servers is suspended after failures.
func TestAllSuspendedStillServeRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(2)
		for range 20 {
			acquire(t, c, deadlineIn(time.Second)).Done(cell.Failed)
		}
		acquire(t, c, deadlineIn(time.Second)).Done(cell.Answered)
	})
}

// TestCanceledAttemptKeepsItsSlot guards against exceeding a limit: while a backend server
// may still run a canceled request, the slot of that request stays taken.
func TestCanceledAttemptKeepsItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(1)
		acquire(t, c, deadlineIn(time.Hour)).DoneAfter(cell.Canceled, serviceTime)
		next := acquireAsync(t, c, deadlineIn(time.Hour))
		time.Sleep(serviceTime - time.Nanosecond)
		synctest.Wait()
		if c.InFlight() != 1 || len(next) > 0 {
			t.Fatalf("%d in flight, next request granted: %v; want 1 and false", c.InFlight(), len(next) > 0)
		}
		time.Sleep(time.Nanosecond)
		resultOf(t, next).slot.Done(cell.Answered)
	})
}
