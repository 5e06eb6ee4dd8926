package peers_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/quorum/raft"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// slowLog delays each command and counts them.
type slowLog struct {
	snipefront.Log
	delay time.Duration
	count atomic.Int64
}

func (l *slowLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	l.count.Add(1)
	select {
	case <-time.After(l.delay):
	case <-ctx.Done():
	}
	return command, ctx.Err()
}

// TestProposeReplacesHalfOpenConnection guards against commands that are lost on
// half-open connections or proposed twice. The open connections to a control instance
// are half-open for the first command, and the log is slow for the second.
func TestProposeReplacesHalfOpenConnection(t *testing.T) {
	log, m := &slowLog{}, make(rendezvous)
	steps := func(context.Context, []raft.Message) ([]raft.Message, error) {
		m.wait()
		return nil, nil
	}
	r := newRelay(t, startServer(t, &peers.Server{Owner: echoOwner{}, Leader: &leader.Leader{}, Log: log, Steps: steps}))
	c := &peers.Client{OverdueFloor: overdueFloor}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	callTwice(t, func() error {
		_, err := c.Step(ctx, r.Addr().String(), nil)
		return err
	})
	r.MakeHalfOpen()
	for _, delay := range []time.Duration{0, 10 * overdueFloor} {
		log.delay = delay
		before := log.count.Load()
		b, _, err := c.Propose(ctx, r.Addr().String(), []byte("x"))
		if err != nil || string(b) != "x" {
			t.Errorf("proposal with a delay of %v: %q, %v", delay, b, err)
		}
		if n := log.count.Load() - before; n != 1 {
			t.Errorf("proposal with a delay of %v ran %d times, want once", delay, n)
		}
	}
}
