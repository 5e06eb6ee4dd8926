package access_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/access"
)

// quorum is a control quorum of which no instance leads until a time.
type quorum struct {
	instances []snipefront.Instance
	ledFrom   time.Time

	mu    sync.Mutex
	calls int
}

// callTime is the time that a call takes.
const callTime = 2 * time.Millisecond

func newQuorum(instances int, ledFrom time.Time) *quorum {
	q := &quorum{ledFrom: ledFrom}
	for i := range instances {
		name := fmt.Sprint("c", i)
		q.instances = append(q.instances, snipefront.Instance{Name: name, PeerAddress: name})
	}
	return q
}

// Propose implements access.Caller. The first instance leads.
func (q *quorum) Propose(_ context.Context, address string, _ []byte) ([]byte, string, error) {
	time.Sleep(callTime)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.calls++
	leader := q.instances[0].Name
	switch {
	case time.Now().Before(q.ledFrom):
		return nil, "", snipefront.ErrNotLeader
	case address != leader:
		return nil, leader, snipefront.ErrNotLeader
	}
	return []byte("done"), leader, nil
}

// Read implements access.Caller.
func (q *quorum) Read(context.Context, string, string, uint64) ([]byte, string, error) {
	return nil, "", snipefront.ErrNotLeader
}

// TestNoLeaderMeansFewCalls guards against instances that keep the control instances from
// electing a leader: each has something to submit, and calls all of them again and again.
// Once there is a leader, all must be done soon.
func TestNoLeaderMeansFewCalls(t *testing.T) {
	const (
		clients    = 132
		leaderless = 5 * time.Second
		// mostPerSecond bounds the calls of one client to all control instances.
		mostPerSecond = 10
		delay         = 400 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		q := newQuorum(12, time.Now().Add(leaderless))
		var all sync.WaitGroup
		for range clients {
			all.Go(func() {
				c := &access.Client{Control: func() []snipefront.Instance { return q.instances }, Caller: q}
				if b, err := c.Submit(t.Context(), nil); err != nil || string(b) != "done" {
					t.Errorf("a command was answered with %q, %v", b, err)
				}
			})
		}
		all.Wait()
		if perSecond := float64(q.calls) / clients / leaderless.Seconds(); perSecond > mostPerSecond {
			t.Errorf("each client made %.0f calls a second while there was no leader, want %d at most", perSecond, mostPerSecond)
		}
		if late := time.Since(q.ledFrom); late > delay {
			t.Errorf("the last command was done %v after there was a leader, want %v at most", late, delay)
		}
	})
}

// TestLeaderIsFoundInOneRound guards against a slow search for a leader that not all control
// instances know.
func TestLeaderIsFoundInOneRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		q := newQuorum(12, begun)
		c := &access.Client{Control: func() []snipefront.Instance { return append(q.instances[6:], q.instances[:6]...) }, Caller: q}
		if _, err := c.Submit(t.Context(), nil); err != nil || time.Since(begun) > 3*callTime {
			t.Errorf("the command was done after %v (%v), want two calls", time.Since(begun), err)
		}
	})
}
