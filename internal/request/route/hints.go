package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
)

// hintLifetime is the time after which a count is too old to go by.
const hintLifetime = 50 * time.Millisecond

// Hints remembers the counts that other owners last gave for their cells. Its
// zero value is ready.
type Hints struct {
	cells sync.Map
}

type hint struct {
	free   atomic.Int64
	queued atomic.Int64
	at     atomic.Int64
}

// Note takes in the counts of c at the instant now.
func (h *Hints) Note(now time.Time, c snipefront.Cell, free, queued int) {
	x := h.of(c)
	x.free.Store(int64(free))
	x.queued.Store(int64(queued))
	x.at.Store(now.UnixNano())
}

// Free returns the free slots of c less the requests that wait there. Where no
// recent count is known it returns 1.
func (h *Hints) Free(now time.Time, c snipefront.Cell) int {
	x := h.of(c)
	if now.UnixNano()-x.at.Load() > int64(hintLifetime) {
		return 1
	}
	return int(x.free.Load() - x.queued.Load())
}

// Take lowers the count of c by a slot that is about to be used.
func (h *Hints) Take(c snipefront.Cell) {
	h.of(c).free.Add(-1)
}

func (h *Hints) of(c snipefront.Cell) *hint {
	if x, ok := h.cells.Load(c); ok {
		return x.(*hint)
	}
	x, _ := h.cells.LoadOrStore(c, &hint{})
	return x.(*hint)
}
