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
