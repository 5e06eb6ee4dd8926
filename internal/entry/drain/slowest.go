package drain

import (
	"sync"
	"time"
)

// slowestPeriod is the time over which the slowest answer of a workload is kept, at least.
const slowestPeriod = time.Minute

// slowest keeps the time that the slowest answer of each workload took within slowestPeriod,
// or twice that.
type slowest struct {
	mu        sync.Mutex
	workloads map[string]*maxima
}

// maxima holds the slowest answer of the period that began at since, and of the one before.
type maxima struct {
	since            time.Time
	current, earlier time.Duration
}

// observe records an answer of a workload.
func (s *slowest) observe(now time.Time, workload string, taken time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.workloads == nil {
		s.workloads = map[string]*maxima{}
	}
	m := s.workloads[workload]
	if m == nil {
		m = &maxima{since: now}
		s.workloads[workload] = m
	}
	m.advance(now)
	m.current = max(m.current, taken)
}

// of returns the time that the slowest recent answer of a workload took, or zero if there is
// none.
func (s *slowest) of(now time.Time, workload string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.workloads[workload]
	if m == nil {
		return 0
	}
	m.advance(now)
	return max(m.current, m.earlier)
}

// forget drops the workloads that are not in names.
func (s *slowest) forget(names map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.workloads {
		if !names[n] {
			delete(s.workloads, n)
		}
	}
}

// advance begins a new period if the current one is over.
func (m *maxima) advance(now time.Time) {
	switch passed := now.Sub(m.since); {
	case passed >= 2*slowestPeriod:
		m.since, m.current, m.earlier = now, 0, 0
	case passed >= slowestPeriod:
		m.since, m.current, m.earlier = now, 0, m.current
	}
}
