package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
)

// hintLifetime is the age above which reported counts are ignored.
const hintLifetime = 200 * time.Millisecond

// hints keeps the counts that owners last reported for the cells of other instances. It
// outlives changes of the view.
type hints struct {
	cells sync.Map
}

// hint holds the last reported counts of one cell. It is read and written without a lock.
type hint struct {
	free   atomic.Int64
	queued atomic.Int64
	// updated is the time of the last report, or nil before the first.
	updated atomic.Pointer[time.Time]
}

// update records the counts reported at the instant now.
func (h *hint) update(now time.Time, free, queued int) {
	h.free.Store(int64(free))
	h.queued.Store(int64(queued))
	h.updated.Store(&now)
}

// available returns the number of free slots minus the number of queued requests, or 1
// if there is no recent report.
func (h *hint) available(now time.Time) int {
	updated := h.updated.Load()
	if updated == nil || now.Sub(*updated) > hintLifetime {
		return 1
	}
	return int(h.free.Load() - h.queued.Load())
}

// reserve deducts a slot that a forwarded request is about to take.
func (h *hint) reserve() {
	h.free.Add(-1)
}

// get returns the hint of c and creates it if there is none.
func (h *hints) get(c snipefront.Cell) *hint {
	if x, ok := h.cells.Load(c); ok {
		return x.(*hint)
	}
	x, _ := h.cells.LoadOrStore(c, &hint{})
	return x.(*hint)
}
