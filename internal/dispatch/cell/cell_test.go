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

const work = 10 * time.Millisecond

// opened returns a cell that has n backend servers of 4 slots, each at its cold
// limit of 1. There is no time of warm-up.
func opened(n int) *cell.Cell {
	c := &cell.Cell{Picker: picker.Free{}, MaxQueue: 100}
	c.Rule(time.Now(), cell.Rules{ColdLimit: 1})
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

// warm raises each limit to 4.
func warm(t *testing.T, c *cell.Cell) {
	t.Helper()
	for range 100 {
		var held []*cell.Slot
		for {
			s, err := c.Acquire(t.Context(), cell.Wanted{Deadline: time.Now().Add(time.Second)})
			if err != nil {
				break
			}
			held = append(held, s)
		}
		time.Sleep(work)
		for _, s := range held {
			s.Done(cell.Answered)
		}
	}
	for _, s := range c.Load(time.Now()).Servers {
		if s.Limit != 4 {
			t.Fatalf("limit %d after warming, want 4", s.Limit)
		}
	}
}

func take(t *testing.T, c *cell.Cell, w cell.Wanted) *cell.Slot {
	t.Helper()
	s, err := c.Acquire(t.Context(), w)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// within is a request without a place in the queue.
func within(d time.Duration) cell.Wanted {
	return cell.Wanted{Deadline: time.Now().Add(d)}
}

func TestDeadlineAfterQueueingKeepsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := opened(1)
		warm(t, c)
		for range 3 {
			s := take(t, c, within(5*time.Millisecond))
			time.Sleep(5 * time.Millisecond)
			s.Done(cell.Troubled)
		}
		if l := c.Load(time.Now()).Servers[0].Limit; l != 4 {
			t.Errorf("limit %d after three requests that had too little time left, want 4", l)
		}
	})
}

// waiting asks for a slot in the background. The channel yields the grant or
// the refusal.
type result struct {
	slot *cell.Slot
	err  error
}

func waiting(t *testing.T, c *cell.Cell, w cell.Wanted) <-chan result {
	t.Helper()
	done := make(chan result, 1)
	w.MayQueue = true
	go func() {
		s, err := c.Acquire(t.Context(), w)
		done <- result{s, err}
	}()
	synctest.Wait()
	return done
}

// ended returns what came of a request, and fails where it still waits.
func ended(t *testing.T, done <-chan result) result {
	t.Helper()
	synctest.Wait()
	select {
	case r := <-done:
		return r
	default:
		t.Fatal("the request still waits")
		return result{}
	}
}

// wantRefused fails unless err says that the request has not run, for reason.
func wantRefused(t *testing.T, err error, reason snipefront.Reason) {
	t.Helper()
	e := snipefront.AsError(err)
	if e == nil || e.Verdict != snipefront.NotRun || e.Reason != reason {
		t.Fatalf("got %v, want a refusal for %s that says not run", err, reason)
	}
}

func TestOverloadRefusesAtOnceWithBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := opened(1)
		warm(t, c)
		for range 4 {
			take(t, c, within(time.Hour))
		}
		for range 90 {
			waiting(t, c, within(time.Hour))
		}
		began := time.Now()
		r := ended(t, waiting(t, c, within(200*time.Millisecond)))
		wantRefused(t, r.err, snipefront.ReasonOverload)
		if took := time.Since(began); took != 0 {
			t.Errorf("the refusal took %v, want none", took)
		}
		for range 10 {
			waiting(t, c, within(time.Hour))
		}
		r = ended(t, waiting(t, c, within(time.Hour)))
		wantRefused(t, r.err, snipefront.ReasonOverload)
		if a := snipefront.AsError(r.err).RetryAfter; a < 505*time.Millisecond || a > 510*time.Millisecond {
			t.Errorf("retry after %v with a backlog of 252.5ms, want twice that", a)
		}
		c.Close()
	})
}

func TestCriticalDisplacesBackground(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := opened(1)
		c.MaxQueue = 2
		held := take(t, c, within(time.Hour))
		first := waiting(t, c, within(time.Hour))
		second := waiting(t, c, within(2*time.Hour))
		critical := waiting(t, c, cell.Wanted{Importance: snipefront.Critical, Deadline: time.Now().Add(time.Hour)})
		wantRefused(t, ended(t, second).err, snipefront.ReasonOverload)
		held.Done(cell.Answered)
		ended(t, critical).slot.Done(cell.Answered)
		ended(t, first).slot.Done(cell.Answered)
	})
}

func TestAvoidLetsOthersPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := opened(2)
		slots := map[string]*cell.Slot{}
		for range 2 {
			s := take(t, c, within(time.Hour))
			slots[s.BackendServer.Name] = s
		}
		choosy := waiting(t, c, cell.Wanted{Deadline: time.Now().Add(time.Hour), Avoid: []string{"0"}})
		other := waiting(t, c, within(2*time.Hour))
		slots["0"].Done(cell.Canceled)
		if n := ended(t, other).slot.BackendServer.Name; n != "0" {
			t.Errorf("served by %s", n)
		}
		slots["1"].Done(cell.Canceled)
		if n := ended(t, choosy).slot.BackendServer.Name; n != "1" {
			t.Errorf("the request that avoids 0 was served by %s", n)
		}
	})
}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := opened(2)
		for range 2 {
			take(t, c, within(time.Hour))
		}
		done := waiting(t, c, within(time.Hour))
		for i := range 2 {
			b := server(i)
			b.Draining = true
			b.Slots = 9
			c.Announce(time.Now(), b)
		}
		wantRefused(t, ended(t, done).err, snipefront.ReasonNoBackendServer)
		_, err := c.Acquire(t.Context(), within(time.Hour))
		wantRefused(t, err, snipefront.ReasonNoBackendServer)
	})
}

func TestDataCentreOutGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := opened(1)
		s := take(t, c, within(time.Hour))
		done := waiting(t, c, within(time.Hour))
		c.Rule(time.Now(), cell.Rules{ColdLimit: 1, Out: true})
		wantRefused(t, ended(t, done).err, snipefront.ReasonDataCentreOut)
		s.Done(cell.Answered)
		_, err := c.Acquire(t.Context(), within(time.Hour))
		wantRefused(t, err, snipefront.ReasonDataCentreOut)
	})
}

func TestSpareOnlyWhereNoOtherIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := opened(3)
		c.Rule(time.Now(), cell.Rules{ColdLimit: 1, Spares: map[string]bool{"1": true}})
		var names []string
		for range 3 {
			names = append(names, take(t, c, within(time.Hour)).BackendServer.Name)
		}
		if names[2] != "1" {
			t.Errorf("slots given in the order %v, want the spare 1 last", names)
		}
	})
}

func TestFastFailuresDrawNoTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := opened(3)
		warm(t, c)
		failures := 0
		for range 1000 {
			s := take(t, c, within(time.Second))
			if s.BackendServer.Name == "0" {
				failures++
				s.Done(cell.Failed)
				continue
			}
			time.Sleep(work)
			s.Done(cell.Answered)
		}
		if failures > 20 {
			t.Errorf("%d of 1000 requests went to the backend server that fails at once", failures)
		}
	})
}

func TestAllSuspendedStillServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := opened(2)
		for range 20 {
			take(t, c, within(time.Second)).Done(cell.Failed)
		}
		take(t, c, within(time.Second)).Done(cell.Answered)
	})
}

// TestGivenUpAttemptKeepsItsSlot shows that a backend server which may still be
// running a request that was given up gets no other in its place.
func TestGivenUpAttemptKeepsItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := opened(1)
		take(t, c, within(time.Hour)).DoneAfter(cell.Canceled, work)
		next := waiting(t, c, within(time.Hour))
		time.Sleep(work - time.Nanosecond)
		synctest.Wait()
		if c.InFlight() != 1 || len(next) > 0 {
			t.Fatalf("%d in flight, and the next request was granted: %v", c.InFlight(), len(next) > 0)
		}
		time.Sleep(time.Nanosecond)
		ended(t, next).slot.Done(cell.Answered)
	})
}
