package peers

import "sync"

// callShards is the number of parts of the set of calls, a power of two.
const callShards = 16

// calls is the set of calls that are running here and may take long.
type calls [callShards]struct {
	mu      sync.Mutex
	numbers map[uint64]struct{}
}

func (c *calls) begin(id uint64) {
	p := &c[id%callShards]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.numbers == nil {
		p.numbers = map[uint64]struct{}{}
	}
	p.numbers[id] = struct{}{}
}

func (c *calls) end(id uint64) {
	p := &c[id%callShards]
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.numbers, id)
}

func (c *calls) running(id uint64) bool {
	p := &c[id%callShards]
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.numbers[id]
	return ok
}
