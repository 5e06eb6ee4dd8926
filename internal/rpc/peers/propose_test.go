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

// slowLog takes a time for each command and counts them.
type slowLog struct {
	snipefront.Log
	takes time.Duration
	count atomic.Int64
}

func (l *slowLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	l.count.Add(1)
	select {
	case <-time.After(l.takes):
	case <-ctx.Done():
	}
	return command, ctx.Err()
}

// TestSilentProposal has the open connections to a control instance go silent for
// good, and after that a log that is slow.
func TestSilentProposal(t *testing.T) {
	log, m := &slowLog{}, make(meeting)
	steps := func(context.Context, []raft.Message) ([]raft.Message, error) {
		m.wait()
		return nil, nil
	}
	r := newRelay(t, host(t, &peers.Server{Owner: owner{}, Leader: &leader.Leader{}, Log: log, Steps: steps}))
	c := &peers.Client{OverdueFloor: overdue}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	twice(t, func() error {
		_, err := c.Step(ctx, r.Addr().String(), nil)
		return err
	})
	r.Silence()
	for _, takes := range []time.Duration{0, 10 * overdue} {
		log.takes = takes
		before := log.count.Load()
		b, _, err := c.Propose(ctx, r.Addr().String(), []byte("x"))
		if err != nil || string(b) != "x" {
			t.Errorf("proposal that takes %v: %q, %v", takes, b, err)
		}
		if n := log.count.Load() - before; n != 1 {
			t.Errorf("proposal that takes %v ran %d times", takes, n)
		}
	}
}
