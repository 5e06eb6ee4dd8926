package follow_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/control/follow"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// answers is what a control instance answers at an address at a time since the
// start of the test.
type answers func(address string, since time.Duration) (peers.Update, error)

// caller implements follow.Caller.
type caller struct {
	begun  time.Time
	answer answers

	mu    sync.Mutex
	asked []string
	// sent holds the registrations of all calls.
	sent []fleet.Instance
}

// Watch implements follow.Caller. Only a watch without news takes its time.
func (c *caller) Watch(ctx context.Context, address string, w peers.Watch) (peers.Update, error) {
	c.mu.Lock()
	c.asked = append(c.asked, address)
	c.sent = append(c.sent, w.Instance)
	c.mu.Unlock()
	n, err := c.answer(address, time.Since(c.begun))
	if err == nil && n.Current && n.Delta.Index <= w.Held {
		select {
		case <-time.After(w.Wait):
		case <-ctx.Done():
			return peers.Update{}, ctx.Err()
		}
	}
	return n, err
}

// run follows a for the given time and returns when each view came.
func run(t *testing.T, length time.Duration, a answers) (views map[uint64]time.Duration, c *caller) {
	t.Helper()
	c = &caller{begun: time.Now(), answer: a}
	views = map[uint64]time.Duration{}
	f := &follow.Follower{
		Self:    fleet.Instance{Instance: snipefront.Instance{Name: "e", DataCentre: "dc1"}},
		Seeds:   func() []string { return []string{"c1", "c2"} },
		Caller:  c,
		Publish: func(v fleet.View) { views[v.Index] = time.Since(c.begun) },
		Logger:  slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	if err := f.Run(ctx); err != nil {
		t.Error(err)
	}
	return views, c
}

// TestFollowsSoonAfterAnOutageOfAll shows that an instance learns of the fleet soon
// after the control instances are back, however long they were away.
func TestFollowsSoonAfterAnOutageOfAll(t *testing.T) {
	const outage = 20 * time.Second
	for name, away := range map[string]answers{
		"unreachable": func(string, time.Duration) (peers.Update, error) { return peers.Update{}, errors.New("refused") },
		"no leader":   func(string, time.Duration) (peers.Update, error) { return peers.Update{}, nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				views, _ := run(t, outage+5*time.Second, func(address string, since time.Duration) (peers.Update, error) {
					if since < outage {
						return away(address, since)
					}
					return peers.Update{Current: true, Delta: fleet.Delta{Index: 7, Whole: true}}, nil
				})
				at, ok := views[7]
				if !ok || at > outage+300*time.Millisecond {
					t.Errorf("the view came at %v (%v), %v after the outage", at, ok, at-outage)
				}
			})
		})
	}
}

// TestFollowsItsOwnDataCentreSoonAfterAnOutageOfAll shows that the failures of an
// outage of all control instances don't keep an instance from the one of its own
// data centre once that is over.
func TestFollowsItsOwnDataCentreSoonAfterAnOutageOfAll(t *testing.T) {
	const outage = 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		near := fleet.Instance{Control: true, Index: 1}
		near.Name, near.PeerAddress, near.DataCentre = "c3", "c3", "dc1"
		whole := fleet.Delta{Index: 1, Whole: true, Instances: []fleet.Instance{near}}
		_, c := run(t, outage+2*time.Second, func(_ string, since time.Duration) (peers.Update, error) {
			if since > time.Second && since < outage {
				return peers.Update{}, errors.New("refused")
			}
			return peers.Update{Current: true, Delta: whole}, nil
		})
		if last := c.asked[len(c.asked)-1]; last != "c3" {
			t.Errorf("2s after the outage %s is followed, want c3", last)
		}
	})
}

// TestSequenceGrowsWithWhatIsSaid shows that a registration has a higher sequence
// than one that says something else, and the same as one that says the same.
func TestSequenceGrowsWithWhatIsSaid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, c := run(t, 30*time.Second, func(address string, since time.Duration) (peers.Update, error) {
			if (address == "c1") == (since/(5*time.Second)%2 == 0) {
				return peers.Update{}, errors.New("refused")
			}
			return peers.Update{Current: true, Delta: fleet.Delta{Index: 7, Whole: true}}, nil
		})
		changes := 0
		for i := range c.asked[1:] {
			moved := c.asked[i] != c.asked[i+1]
			if grown := c.sent[i+1].Sequence > c.sent[i].Sequence; grown != moved {
				t.Errorf("call %d goes from %s to %s, the sequence from %d to %d", i+1, c.asked[i], c.asked[i+1], c.sent[i].Sequence, c.sent[i+1].Sequence)
			}
			if moved {
				changes++
			}
		}
		if changes < 5 {
			t.Errorf("%d changes of the control instance, want some", changes)
		}
	})
}

// TestLeavesAControlInstanceOutOfTouch shows that an instance follows another
// control instance than the one of its own data centre, while that is out of touch,
// and rarely asks it.
func TestLeavesAControlInstanceOutOfTouch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near := fleet.Instance{Control: true, Index: 1}
		near.Name, near.PeerAddress, near.DataCentre = "c1", "c1", "dc1"
		whole := fleet.Delta{Index: 1, Whole: true, Instances: []fleet.Instance{near}}
		views, c := run(t, 20*time.Second, func(address string, since time.Duration) (peers.Update, error) {
			switch {
			case address == "c1":
				return peers.Update{Delta: whole}, nil
			case since < 5*time.Second:
				return peers.Update{Current: true, Delta: whole}, nil
			}
			return peers.Update{Current: true, Delta: fleet.Delta{Index: 2}}, nil
		})
		if at := views[2]; at == 0 || at > 6200*time.Millisecond {
			t.Errorf("the change at 5s was seen at %v", at)
		}
		n := 0
		for _, a := range c.asked {
			if a == "c1" {
				n++
			}
		}
		if n > 10 {
			t.Errorf("the control instance out of touch was asked %d times in 20s", n)
		}
	})
}
