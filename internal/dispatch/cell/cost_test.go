package cell_test

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
	"github.com/snipefront/snipefront/internal/dispatch/picker"
)

func newBenchCell(n int) *cell.Cell {
	c := &cell.Cell{Picker: picker.Free{}, MaxQueue: 1000}
	c.SetRules(time.Now(), cell.Rules{ColdLimit: 3})
	for i := range n {
		b := server(i)
		b.Name = strconv.Itoa(i)
		c.Announce(time.Now(), b)
	}
	c.Open(time.Now())
	return c
}

func acquireAndRelease(b *testing.B, c *cell.Cell, r cell.SlotRequest) {
	s, err := c.Acquire(b.Context(), r)
	if err != nil {
		b.Fatal(err)
	}
	s.Done(cell.Answered)
}

// BenchmarkDecision acquires and releases one slot, by the number of backend servers.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{3, 12, 100} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			c := newBenchCell(n)
			r := cell.SlotRequest{Deadline: time.Now().Add(time.Hour), MayQueue: true}
			b.ReportAllocs()
			for b.Loop() {
				acquireAndRelease(b, c, r)
			}
		})
	}
}

// BenchmarkRefusal refuses one request for overload, by the number of waiting requests.
func BenchmarkRefusal(b *testing.B) {
	for _, n := range []int{10, 1000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			c := newBenchCell(3)
			for range 9 {
				if _, err := c.Acquire(b.Context(), deadlineIn(time.Hour)); err != nil {
					b.Fatal(err)
				}
			}
			c.MaxQueue = n
			r := cell.SlotRequest{Deadline: time.Now().Add(time.Hour), MayQueue: true}
			for range n {
				go func() { _, _ = c.Acquire(b.Context(), r) }()
			}
			for c.Count(time.Now()).Queued < n {
				time.Sleep(time.Millisecond)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Acquire(b.Context(), r); snipefront.AsError(err) == nil {
					b.Fatal("a slot was granted, want a refusal")
				}
			}
		})
	}
}

// BenchmarkCells acquires and releases slots in parallel, in one cell or spread over 15
// cells, to show the contention between cells.
func BenchmarkCells(b *testing.B) {
	for _, n := range []int{1, 15} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			list := make([]*cell.Cell, n)
			for i := range list {
				list[i] = newBenchCell(12)
			}
			r := cell.SlotRequest{Deadline: time.Now().Add(time.Hour), MayQueue: true}
			var next atomic.Int64
			b.RunParallel(func(p *testing.PB) {
				c := list[int(next.Add(1))%n]
				for p.Next() {
					acquireAndRelease(b, c, r)
				}
			})
		})
	}
}
