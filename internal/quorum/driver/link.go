package driver

import (
	"context"
	"sync"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/quorum/raft"
)

const (
	// maxQueuedMessages is the maximum number of messages that wait for one replica.
	maxQueuedMessages = 256
	// minSnapshotRate is the transfer rate of a snapshot, in bytes per second, below
	// which a call times out.
	minSnapshotRate = 4 << 20
)

// link sends messages to one replica, one call at a time.
type link struct {
	address string
	caller  Caller
	// enqueueReplies puts the replies to a call into this replica's inbox.
	enqueueReplies func(ctx context.Context, d *delivery) error
	// timeout is the timeout of a call without a snapshot.
	timeout time.Duration
	// ready has a capacity of one and receives a token when messages are queued.
	ready chan struct{}

	mu    sync.Mutex
	queue []raft.Message
}

// openLinks starts a goroutine for each other replica. Each sends a token on
// linkClosed when it ends.
func (l *Log) openLinks(ctx context.Context) {
	l.sendContext = ctx
	l.linkClosed = make(chan struct{})
	l.links = map[string]*link{}
	for _, c := range l.Control {
		if c.Name != l.Name {
			l.openLink(c)
		}
	}
}

// openLink starts the goroutine that sends messages to c.
func (l *Log) openLink(c snipefront.Instance) *link {
	k := &link{
		address: c.PeerAddress, caller: l.Caller, enqueueReplies: l.enqueue,
		timeout: l.Lease / electionsPerLease, ready: make(chan struct{}, 1),
	}
	l.links[c.Name] = k
	go func() {
		k.run(l.sendContext)
		l.linkClosed <- struct{}{}
	}()
	return k
}

// enqueue adds m to the queue, or drops it if the queue is full.
func (k *link) enqueue(m raft.Message) {
	k.mu.Lock()
	full := len(k.queue) >= maxQueuedMessages
	if !full {
		k.queue = append(k.queue, m)
	}
	k.mu.Unlock()
	if full {
		return
	}
	select {
	case k.ready <- struct{}{}:
	default:
	}
}

func (k *link) dequeueAll() []raft.Message {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := k.queue
	k.queue = nil
	return list
}

// run sends queued messages until ctx ends. If a call fails, its messages and their
// replies are lost.
func (k *link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.ready:
		}
		list := k.dequeueAll()
		if len(list) == 0 {
			continue
		}
		if replies := k.call(ctx, list); len(replies) > 0 {
			_ = k.enqueueReplies(ctx, &delivery{messages: replies})
		}
	}
}

func (k *link) call(ctx context.Context, list []raft.Message) []raft.Message {
	limit := k.timeout
	for _, m := range list {
		if m.Snapshot != nil {
			limit += time.Duration(len(m.Snapshot.State)) * time.Second / minSnapshotRate
		}
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	replies, err := k.caller.Step(ctx, k.address, list)
	if err != nil {
		return nil
	}
	return replies
}
