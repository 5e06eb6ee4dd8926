package driver

import (
	"context"
	"sync"
	"time"

	"github.com/snipefront/snipefront/internal/quorum/raft"
)

const (
	// maxQueued is the most messages that wait for one replica.
	maxQueued = 256
	// snapshotRate is the slowest transfer of a snapshot that is waited for, in
	// bytes a second.
	snapshotRate = 4 << 20
)

// link sends to one replica, one call at a time.
type link struct {
	address string
	caller  Caller
	// accept takes in the replies to a call.
	accept func(ctx context.Context, d *delivery) error
	// timeout bounds a call without a snapshot.
	timeout time.Duration
	// ready has room for one token, which says that the queue has messages.
	ready chan struct{}

	mu    sync.Mutex
	queue []raft.Message
}

// put queues m, or drops it where too many wait.
func (k *link) put(m raft.Message) {
	k.mu.Lock()
	full := len(k.queue) >= maxQueued
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

func (k *link) take() []raft.Message {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := k.queue
	k.queue = nil
	return list
}

// run sends until ctx ends. A failed call loses its messages and the replies.
func (k *link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.ready:
		}
		list := k.take()
		if len(list) == 0 {
			continue
		}
		if replies := k.call(ctx, list); len(replies) > 0 {
			_ = k.accept(ctx, &delivery{messages: replies})
		}
	}
}

func (k *link) call(ctx context.Context, list []raft.Message) []raft.Message {
	limit := k.timeout
	for _, m := range list {
		if m.Snapshot != nil {
			limit += time.Duration(len(m.Snapshot.State)) * time.Second / snapshotRate
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
