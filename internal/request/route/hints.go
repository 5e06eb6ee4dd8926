package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
)

// hintLifetime is the time after which a count is too old to go by.
const hintLifetime = 200 * time.Millisecond

// hints remembers the counts that other owners last gave for their cells, over
// changes of the view.
type hints struct {
	cells sync.Map
}

// hint is what is known of one cell. It is read and written without a lock.
type hint struct {
	free   atomic.Int64
	queued atomic.Int64
	at     atomic.Int64
}

// note takes in the counts at the instant now.
func (x *hint) note(now time.Time, free, queued int) {
	x.free.Store(int64(free))
	x.queued.Store(int64(queued))
	x.at.Store(now.UnixNano())
}

// left returns the free slots less the requests that wait. Where no recent count
// is known it returns 1.
func (x *hint) left(now time.Time) int {
	if now.UnixNano()-x.at.Load() > int64(hintLifetime) {
		return 1
	}
	return int(x.free.Load() - x.queued.Load())
}

// take lowers the count by a slot that is about to be used.
func (x *hint) take() {
	x.free.Add(-1)
}

func (h *hints) of(c snipefront.Cell) *hint {
	if x, ok := h.cells.Load(c); ok {
		return x.(*hint)
	}
	x, _ := h.cells.LoadOrStore(c, &hint{})
	return x.(*hint)
}
