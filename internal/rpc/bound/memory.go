package bound

import (
	"context"
	"runtime"
	"slices"
	"sync"
	"time"
)

const (
	// minCollectInterval is the least time between two runs of the garbage collector for
	// bodies that wait, and maxCollectInterval the most for each of them.
	minCollectInterval = 50 * time.Millisecond
	maxCollectInterval = 800 * time.Millisecond
)

// Memory bounds the bodies that an instance holds. Set the exported fields before use.
// Nil sets no bound.
//
// A long body counts from before its buffer is allocated until the garbage collector has
// freed it, since until then it takes memory, whoever has used it last: ReadBody takes the
// memory, and nobody returns it. Short bodies are many, so their users count them: TakeShort
// or AddShort, then ReturnShort.
type Memory struct {
	// Limit is what the buffers of all long bodies may take, in bytes.
	Limit int64
	// Reserve is what short bodies may take beside Limit, in bytes. They may also use what
	// the long ones leave.
	Reserve int64
	// Spare is what one long body of unknown length may take beside Limit, in bytes, so
	// that bodies which have been read in part don't all wait for each other. It takes
	// effect if the whole body fits in it.
	Spare int64
	// Wait is the longest time for which a long body waits for memory. Zero sets no limit
	// other than the context of the body.
	Wait time.Duration

	mu sync.Mutex
	// long and short are the bytes taken now, and spare is true while Spare is.
	long, short int64
	spare       bool
	// waiting holds the long bodies that wait, in the order of their grants.
	waiting []*waiter
	// collecting is held by the goroutine that runs the garbage collector, and collected
	// is when its last run ended.
	collecting sync.Mutex
	collected  time.Time
}

// waiter is a long body that waits for memory.
type waiter struct {
	size int64
	// maySpare is true if the body may take Spare instead, and spare if it has.
	maySpare, spare bool
	granted         chan struct{}
	// wake has a value if memory may be free now.
	wake chan struct{}
}

// TakeShort takes n bytes for a short body and reports whether they are left. ReturnShort
// returns them.
func (m *Memory) TakeShort(n int64) bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.long+m.short+n > m.Limit+m.Reserve {
		return false
	}
	m.short += n
	return true
}

// AddShort takes n bytes for a short body that exists already, even if they are not left.
// ReturnShort returns them.
func (m *Memory) AddShort(n int64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.short += n
}

// ReturnShort returns n bytes of short bodies.
func (m *Memory) ReturnShort(n int64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.short -= n
	m.grant()
}

// Used returns the bytes that all bodies take.
func (m *Memory) Used() int64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	used := m.long + m.short
	if m.spare {
		used += m.Spare
	}
	return used
}

// Full reports whether there is no memory for another short body.
func (m *Memory) Full() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.long+m.short >= m.Limit+m.Reserve
}

// Scarce reports whether a long body waits for memory.
func (m *Memory) Scarce() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiting) > 0
}

// allocate returns an empty buffer for size bytes of a body. A long one waits for memory.
func (m *Memory) allocate(ctx context.Context, size int64) ([]byte, error) {
	if m == nil || size <= ShortBytes {
		return make([]byte, 0, size), nil
	}
	if size > m.Limit {
		return nil, ErrNoMemory
	}
	if !m.take(ctx, &waiter{size: size, granted: make(chan struct{})}) {
		return nil, ErrNoMemory
	}
	return m.buffer(size), nil
}

// allocateOrSpare returns an empty buffer for size bytes of a body, or for all of Spare if
// that is free sooner.
func (m *Memory) allocateOrSpare(ctx context.Context, size int64) ([]byte, error) {
	w := &waiter{size: size, maySpare: true, granted: make(chan struct{})}
	if !m.take(ctx, w) {
		return nil, ErrNoMemory
	}
	if !w.spare {
		return m.buffer(size), nil
	}
	buf := make([]byte, 0, m.Spare)
	runtime.AddCleanup(&buf[:1][0], (*Memory).giveSpare, m)
	return buf, nil
}

// buffer returns a buffer of size bytes, which the body has taken, and returns them once it
// is freed.
func (m *Memory) buffer(size int64) []byte {
	buf := make([]byte, 0, size)
	runtime.AddCleanup(&buf[:1][0], m.give, size)
	return buf
}

// Collect runs the garbage collector soon, if bodies wait for memory. Users call it when
// they are done with a long body.
func (m *Memory) Collect() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range m.waiting {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// take takes what w asks for. It returns false if that is not free before ctx or Wait
// ends. Meanwhile it has the garbage of earlier bodies collected.
func (m *Memory) take(ctx context.Context, w *waiter) bool {
	w.wake = make(chan struct{}, 1)
	m.mu.Lock()
	m.waiting = append(m.waiting, w)
	m.grant()
	m.mu.Unlock()
	if isClosed(w.granted) {
		return true
	}
	if m.Wait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, m.Wait)
		defer cancel()
	}
	interval := minCollectInterval
	for {
		m.collect()
		select {
		case <-w.granted:
			return true
		case <-ctx.Done():
			return !m.abandon(w)
		case <-w.wake:
			interval = minCollectInterval
		case <-time.After(interval):
			interval = min(2*interval, maxCollectInterval)
		}
	}
}

// abandon ends the wait of w. It returns false if w has been granted.
func (m *Memory) abandon(w *waiter) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if isClosed(w.granted) {
		return false
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(other *waiter) bool { return other == w })
	m.grant()
	return true
}

// grant gives the waiting bodies what is free, in their order. One that waits doesn't keep
// those after it from Spare.
func (m *Memory) grant() {
	blocked := false
	m.waiting = slices.DeleteFunc(m.waiting, func(w *waiter) bool {
		switch {
		case !blocked && m.fits(w.size):
			m.long += w.size
		case w.maySpare && !m.spare:
			m.spare, w.spare = true, true
		default:
			blocked = true
			return false
		}
		close(w.granted)
		return true
	})
}

// fits reports whether a long body of size bytes fits in Limit.
func (m *Memory) fits(size int64) bool {
	return m.long+size <= m.Limit && m.long+m.short+size <= m.Limit+m.Reserve
}

// give returns n bytes of a long body.
func (m *Memory) give(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.long -= n
	m.grant()
}

func (m *Memory) giveSpare() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spare = false
	m.grant()
}

// collect runs the garbage collector, unless it has just run for another body.
func (m *Memory) collect() {
	m.collecting.Lock()
	defer m.collecting.Unlock()
	if time.Since(m.collected) < minCollectInterval {
		return
	}
	runtime.GC()
	m.collected = time.Now()
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
