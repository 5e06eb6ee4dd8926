package peers

import "sync"

// callShards is the number of shards of runningCalls, a power of two.
const callShards = 16

// runningCalls holds the numbers of the forwarded requests and proposals that this
// instance is running. Only these calls are checked when their answer is overdue.
type runningCalls [callShards]struct {
	mu  sync.Mutex
	ids map[uint64]struct{}
}

func (c *runningCalls) begin(id uint64) {
	p := &c[id%callShards]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ids == nil {
		p.ids = map[uint64]struct{}{}
	}
	p.ids[id] = struct{}{}
}

func (c *runningCalls) end(id uint64) {
	p := &c[id%callShards]
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.ids, id)
}

func (c *runningCalls) running(id uint64) bool {
	p := &c[id%callShards]
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.ids[id]
	return ok
}
