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

// answers returns the answer of the control instance at an address, by the time since
// the start of the test.
type answers func(address string, since time.Duration) (peers.Update, error)

// caller implements follow.Caller.
type caller struct {
	start  time.Time
	answer answers

	mu     sync.Mutex
	called []string
	// sent holds the registration of each call.
	sent []fleet.Instance
}

// Watch implements follow.Caller. It waits only if the answer has no new change.
func (c *caller) Watch(ctx context.Context, address string, w peers.Watch) (peers.Update, error) {
	c.mu.Lock()
	c.called = append(c.called, address)
	c.sent = append(c.sent, w.Instance)
	c.mu.Unlock()
	update, err := c.answer(address, time.Since(c.start))
	if err == nil && update.Current && update.Delta.Index <= w.Held {
		select {
		case <-time.After(w.Wait):
		case <-ctx.Done():
			return peers.Update{}, ctx.Err()
		}
	}
	return update, err
}

// run runs a Follower for the given time against control instances that answer with a.
// It returns the time of each view by its index.
func run(t *testing.T, length time.Duration, a answers) (views map[uint64]time.Duration, c *caller) {
	t.Helper()
	c = &caller{start: time.Now(), answer: a}
	views = map[uint64]time.Duration{}
	f := &follow.Follower{
		Self:    fleet.Instance{Instance: snipefront.Instance{Name: "e", DataCentre: "dc1"}},
		Seeds:   func() []string { return []string{"c1", "c2"} },
		Caller:  c,
		Publish: func(v fleet.View, _ fleet.Delta) { views[v.Index] = time.Since(c.start) },
		Logger:  slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	if err := f.Run(ctx); err != nil {
		t.Error(err)
	}
	return views, c
}

// TestFollowsSoonAfterOutageOfAllControlInstances guards against retry delays that
// outlast an outage: an instance must get a view soon after the control instances
// recover, however long the outage was.
func TestFollowsSoonAfterOutageOfAllControlInstances(t *testing.T) {
	const outage = 20 * time.Second
	for name, failing := range map[string]answers{
		"unreachable": func(string, time.Duration) (peers.Update, error) { return peers.Update{}, errors.New("refused") },
		"no leader":   func(string, time.Duration) (peers.Update, error) { return peers.Update{}, nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				views, _ := run(t, outage+5*time.Second, func(address string, since time.Duration) (peers.Update, error) {
					if since < outage {
						return failing(address, since)
					}
					return peers.Update{Current: true, Delta: fleet.Delta{Index: 7, Whole: true}}, nil
				})
				at, ok := views[7]
				if !ok || at > outage+300*time.Millisecond {
					t.Errorf("the view was published at %v (%v), %v after the outage, want 300ms at most", at, ok, at-outage)
				}
			})
		})
	}
}

// TestPrefersLocalControlInstanceAfterOutage guards against failures recorded during
// an outage of all control instances that keep an instance from its local one after
// the outage.
func TestPrefersLocalControlInstanceAfterOutage(t *testing.T) {
	const outage = 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		local := fleet.Instance{Control: true, Index: 1}
		local.Name, local.PeerAddress, local.DataCentre = "c3", "c3", "dc1"
		whole := fleet.Delta{Index: 1, Whole: true, Instances: []fleet.Instance{local}}
		_, c := run(t, outage+2*time.Second, func(_ string, since time.Duration) (peers.Update, error) {
			if since > time.Second && since < outage {
				return peers.Update{}, errors.New("refused")
			}
			return peers.Update{Current: true, Delta: whole}, nil
		})
		if last := c.called[len(c.called)-1]; last != "c3" {
			t.Errorf("2s after the outage %s is followed, want c3", last)
		}
	})
}

// TestSequenceIncreasesWithEachChange guards against registrations that can't be
// ordered: the sequence must increase when the control instance that is called
// changes, and stay the same otherwise.
func TestSequenceIncreasesWithEachChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, c := run(t, 30*time.Second, func(address string, since time.Duration) (peers.Update, error) {
			if (address == "c1") == (since/(5*time.Second)%2 == 0) {
				return peers.Update{}, errors.New("refused")
			}
			return peers.Update{Current: true, Delta: fleet.Delta{Index: 7, Whole: true}}, nil
		})
		count := 0
		for i := range c.called[1:] {
			changed := c.called[i] != c.called[i+1]
			if increased := c.sent[i+1].Sequence > c.sent[i].Sequence; increased != changed {
				t.Errorf("call %d goes from %s to %s, the sequence from %d to %d", i+1, c.called[i], c.called[i+1], c.sent[i].Sequence, c.sent[i+1].Sequence)
			}
			if changed {
				count++
			}
		}
		if count < 5 {
			t.Errorf("%d changes of the control instance, want 5 at least", count)
		}
	})
}

// TestAvoidsControlInstanceWithoutQuorum guards against an instance that stays with its
// local control instance while that has lost contact with the quorum. It must follow
// another one and call the local one rarely.
func TestAvoidsControlInstanceWithoutQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local := fleet.Instance{Control: true, Index: 1}
		local.Name, local.PeerAddress, local.DataCentre = "c1", "c1", "dc1"
		whole := fleet.Delta{Index: 1, Whole: true, Instances: []fleet.Instance{local}}
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
			t.Errorf("the change at 5s was published at %v, want 6.2s at most", at)
		}
		n := 0
		for _, a := range c.called {
			if a == "c1" {
				n++
			}
		}
		if n > 10 {
			t.Errorf("the control instance without a quorum was called %d times in 20s, want 10 at most", n)
		}
	})
}
