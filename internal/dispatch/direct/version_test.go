package direct_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/canary"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
)

// rolloutView returns a view of two old backend servers and two of the version v2, in the named
// state of a rollout.
func rolloutView(index uint64, state fleet.RolloutState, share float64) fleet.View {
	v := fleet.View{Servers: map[string]fleet.Server{}, Rollouts: map[string]fleet.Rollout{
		service: {Service: service, Version: "v2", Old: []string{"v1"}, State: state, Share: share, Order: 1, Index: index, Number: index},
	}}
	for name, version := range map[string]string{"o1": "v1", "o2": "v1", "n1": "v2", "n2": "v2"} {
		n := fleet.Server{Version: version}
		n.Name, n.Service, n.DataCentre, n.Slots, n.Incarnation = name, service, "dc1", 2, 1
		v.Servers[name] = n
	}
	return v
}

// newRollout returns a dispatcher with the view of a rollout, and a function that applies another.
func newRollout(s *fakeLink, state fleet.RolloutState, share float64) (*direct.Dispatcher, func(state fleet.RolloutState, share float64)) {
	d := newDispatcher(0, s)
	d.Rollouts = &canary.Counter{}
	d.Targets.Rollouts = snipefront.DefaultRolloutBounds
	index := uint64(0)
	apply := func(state fleet.RolloutState, share float64) {
		index++
		v := rolloutView(index, state, share)
		d.Targets.Update(time.Now(), v, &snipefront.Routing{Services: map[string]snipefront.ServiceProfile{service: {Name: service}}})
		d.Rollouts.Update(v.Rollouts)
	}
	apply(state, share)
	apply(state, share)
	return d, apply
}

func isNew(name string) bool { return name[0] == 'n' }

// TestRetriesLeaveTheShare guards against retries and hedges that send a request of the share
// to the new version again, so that it gets more than its share and callers wait for it twice.
func TestRetriesLeaveTheShare(t *testing.T) {
	for name, send := range map[string]func(ctx context.Context, name string) direct.Attempt{
		"fails": func(_ context.Context, name string) direct.Attempt {
			if isNew(name) {
				return broken
			}
			return answered
		},
		"hangs": func(ctx context.Context, name string) direct.Attempt {
			if isNew(name) {
				<-ctx.Done()
				return broken
			}
			return answered
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeLink{send: send}
				d, _ := newRollout(s, fleet.RolloutRunning, 1)
				if _, err := d.Serve(t.Context(), newCall(true)); err != nil {
					t.Error(err)
				}
				if len(s.sent) != 2 || !isNew(s.sent[0]) || isNew(s.sent[1]) {
					t.Errorf("the attempts were sent to %v, want a new and an old backend server", s.sent)
				}
				if c := d.Rollouts.Counts(); len(c) != 1 || c[0].Sent != 1 || c[0].Requests != 1 || c[0].Routes[0].New.Total != 1 || c[0].Routes[0].Old.Total != 1 {
					t.Errorf("the counts are %+v, want one answer of each version", c)
				}
			})
		})
	}
}

// TestSidesOfAttempts guards against requests to a version that the state of its rollout gives
// none.
func TestSidesOfAttempts(t *testing.T) {
	for state, want := range map[fleet.RolloutState]bool{
		fleet.RolloutRunning: false, fleet.RolloutFinishing: true, fleet.RolloutCompleted: true, fleet.RolloutWithdrawing: false, fleet.RolloutRolledBack: false,
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeLink{send: func(context.Context, string) direct.Attempt { return answered }}
			d, _ := newRollout(s, state, 0)
			for range 20 {
				if _, err := d.Serve(t.Context(), newCall(false)); err != nil {
					t.Error(err)
				}
			}
			for _, name := range s.sent {
				if isNew(name) != want {
					t.Errorf("%s: a request was sent to %s", state, name)
				}
			}
		})
	}
}

// TestWaitingRequestFollowsRollout guards against a request that waits for a full version until
// its goal has passed, though its rollout gives the requests to the old one meanwhile.
func TestWaitingRequestFollowsRollout(t *testing.T) {
	const (
		newsAfter = 100 * time.Millisecond
		// roomAfter is the time from the news until there is room, and look that between two
		// choices of a waiting request.
		roomAfter, look = time.Millisecond, 25 * time.Millisecond
		// sentBy is the time by which the request must be sent: the look that sees the news, and
		// the one that sees the room.
		sentBy = newsAfter + roomAfter + 2*look
	)
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLink{send: func(context.Context, string) direct.Attempt { return answered }, running: 50}
		d, apply := newRollout(s, fleet.RolloutFinishing, 1)
		begun := time.Now()
		time.AfterFunc(newsAfter, func() {
			apply(fleet.RolloutWithdrawing, 0)
			// A choice that began before the state came ends by what it knew.
			time.Sleep(roomAfter)
			s.mu.Lock()
			s.running = 0
			s.mu.Unlock()
		})
		if _, err := d.Serve(t.Context(), newCall(false)); err != nil {
			t.Error(err)
		}
		if len(s.sent) != 1 || isNew(s.sent[0]) {
			t.Errorf("the request was sent to %v, want an old backend server", s.sent)
		}
		if taken := time.Since(begun); taken > sentBy {
			t.Errorf("the request was sent after %v, want %v at most", taken, sentBy)
		}
	})
}
