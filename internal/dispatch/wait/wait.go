// Package wait orders the requests of one instance that wait for a backend server: by rank,
// within a rank by workspace in turn, within a workspace by latency goal. Only the first few
// are active, which means that they choose a backend server. The others wait for their turn.
package wait

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// maxActive is the number of requests of a service that choose a backend server at the same
	// time.
	maxActive = 2
	// maxWaiting is the number of requests of a service that may wait.
	maxWaiting = 64
)

// Queues holds the waiting requests of all services. Its zero value is ready for use. It is
// safe for concurrent use.
type Queues struct {
	mu        sync.Mutex
	byService map[string]*queue
}

// queue holds the waiting requests of one service.
type queue struct {
	// tickets is in the order of the requests' turns.
	tickets []*Ticket
	// turns holds the number of the last turn of each workspace that was served since the queue
	// was last empty. turn is the last number; it grows with each request that is served.
	turns map[string]int
	turn  int
}

// Request is what the order depends on.
type Request struct {
	Service string
	// Rank 0 is the most important.
	Rank int
	// Workspace may be empty.
	Workspace string
	Goal      time.Time
}

// Ticket is a waiting request.
type Ticket struct {
	Request
	queues *Queues
	// position is the number of requests of the same workspace and rank before this one.
	position int
	// active is true while the request may choose a backend server. signal receives a value
	// when it becomes true, and when another choice may succeed.
	active bool
	signal chan struct{}
}

// HasWaiting reports whether a request of the service waits whose rank is at least as important.
func (q *Queues) HasWaiting(service string, rank int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.byService[service]
	return s != nil && s.tickets[0].Rank <= rank
}

// Enter adds a waiting request, or returns nil if too many wait. End the wait with Leave.
func (q *Queues) Enter(p Request) *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.byService[p.Service]
	if s == nil {
		if q.byService == nil {
			q.byService = map[string]*queue{}
		}
		s = &queue{turns: map[string]int{}}
		q.byService[p.Service] = s
	}
	if len(s.tickets) >= maxWaiting {
		return nil
	}
	t := &Ticket{Request: p, queues: q, signal: make(chan struct{}, 1)}
	s.tickets = append(s.tickets, t)
	s.arrange()
	return t
}

// Leave ends the wait of t. It was served if it has got a backend server.
func (t *Ticket) Leave(served bool) {
	q := t.queues
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.byService[t.Service]
	s.tickets = slices.DeleteFunc(s.tickets, func(other *Ticket) bool { return other == t })
	if len(s.tickets) == 0 {
		delete(q.byService, t.Service)
		return
	}
	if served {
		s.turn++
		s.turns[t.Workspace] = s.turn
	}
	s.arrange()
}

// Wake lets the first waiting request of the service choose again, since a slot may be free.
func (q *Queues) Wake(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.byService[service]; s != nil {
		s.tickets[0].wake()
	}
}

// Await waits until t is active and has been woken or the pause has passed. It returns true then
// or at the latest time, and false if ctx ends first.
func (t *Ticket) Await(ctx context.Context, pause time.Duration, latest time.Time) bool {
	passed, stopPause := after(pause)
	defer stopPause()
	last, stopLast := after(time.Until(latest))
	defer stopLast()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-last:
			return true
		case <-passed:
			passed = nil
		case <-t.signal:
		}
		if t.Active() {
			return true
		}
	}
}

// after returns a channel that is closed after d, and a function that ends the wait for it. It
// starts no timer that has expired already: within synctest, one crashes the race detector.
func after(d time.Duration) (<-chan struct{}, func() bool) {
	c := make(chan struct{})
	if d <= 0 {
		close(c)
		return c, func() bool { return false }
	}
	return c, time.AfterFunc(d, func() { close(c) }).Stop
}

// Active reports whether t may choose a backend server.
func (t *Ticket) Active() bool {
	t.queues.mu.Lock()
	defer t.queues.mu.Unlock()
	return t.active
}

// wake lets t choose again.
func (t *Ticket) wake() {
	select {
	case t.signal <- struct{}{}:
	default:
	}
}

// arrange sorts the tickets and makes the first ones active. The caller must hold the lock.
func (s *queue) arrange() {
	slices.SortStableFunc(s.tickets, func(a, b *Ticket) int { return a.Goal.Compare(b.Goal) })
	type group struct {
		rank      int
		workspace string
	}
	positions := map[group]int{}
	for _, t := range s.tickets {
		g := group{t.Rank, t.Workspace}
		t.position = positions[g]
		positions[g]++
	}
	slices.SortStableFunc(s.tickets, func(a, b *Ticket) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.position, b.position), cmp.Compare(s.turns[a.Workspace], s.turns[b.Workspace]))
	})
	for i, t := range s.tickets {
		wasActive := t.active
		t.active = i < maxActive
		if t.active && !wasActive {
			t.wake()
		}
	}
}
