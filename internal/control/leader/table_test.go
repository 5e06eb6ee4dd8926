package leader_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/control/state"
)

// holder is a lease holder in the model.
type holder struct {
	leader.Renewal
	at      time.Time
	granted float64
}

// TestRenewMatchesModel guards against errors in the totals that renewals update:
// it compares the grants for random renewals with those of a model that loops
// over all lease holders.
func TestRenewMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget = 20
		l := newLeader()
		now := time.Now()
		var start time.Time
		holders := map[string]holder{}
		var epoch []snipefront.Instance
		changeEpoch := func(number uint64) {
			epoch = nil
			for i := range 6 {
				if rapid.Bool().Draw(t, "in") {
					epoch = append(epoch, renewal(fmt.Sprint("i", i), 1).Instance)
				}
			}
			b, err := state.Command{Epoch: &state.EpochChange{From: number, Instances: epoch}}.Encode()
			if err != nil {
				t.Fatal(err)
			}
			l.State.Apply(0, b)
		}
		changeEpoch(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			number := l.State.Epoch().Number
			if rapid.IntRange(0, 19).Draw(t, "change") == 0 {
				changeEpoch(number)
				number++
			}
			r := renewal(fmt.Sprint("i", rapid.IntRange(0, 5).Draw(t, "instance")), 1)
			r.Epoch = number - min(number, rapid.Uint64Range(0, 2).Draw(t, "behind"))
			r.ProbeRate = holders[r.Instance.Name].granted * float64(rapid.IntRange(0, 1).Draw(t, "received"))
			r.Gone = rapid.IntRange(0, 9).Draw(t, "gone") == 0
			r.Leaving = r.Gone || rapid.IntRange(0, 9).Draw(t, "leaving") == 0
			g := l.Renew(now, r)
			removeExpired(holders, now)
			if start.IsZero() {
				start = now
			}
			remaining := float64(budget)
			_, known := holders[r.Instance.Name]
			delete(holders, r.Instance.Name)
			inFirstLease := now.Before(start.Add(lease + leader.LeaseMargin))
			othersPending, selfInEpoch := false, false
			for _, n := range epoch {
				_, renewed := holders[n.Name]
				selfInEpoch = selfInEpoch || inFirstLease && n.Name == r.Instance.Name
				othersPending = othersPending || inFirstLease && !renewed && n.Name != r.Instance.Name
			}
			share := budget / float64(len(holders)+1)
			for _, h := range holders {
				remaining -= max(h.granted, h.ProbeRate)
			}
			want := max(0, min(share, remaining))
			if r.Leaving || othersPending || selfInEpoch && !known {
				want = 0
			}
			if math.Abs(g.ProbeRate-want) > 1e-4 {
				t.Fatalf("%v probes a second are granted, the model grants %v", g.ProbeRate, want)
			}
			if !r.Gone {
				holders[r.Instance.Name] = holder{Renewal: r, at: now, granted: g.ProbeRate}
			}
			settled := number
			for _, h := range holders {
				settled = min(settled, h.Epoch)
			}
			if othersPending || selfInEpoch && r.Gone {
				settled = 0
			}
			if g.Settled != settled {
				t.Fatalf("epoch %d is settled, the model has %d", g.Settled, settled)
			}
		}
	})
}

// removeExpired removes the holders whose leases have expired.
func removeExpired(holders map[string]holder, now time.Time) {
	for n, h := range holders {
		if !now.Before(h.at.Add(lease + leader.LeaseMargin)) {
			delete(holders, n)
		}
	}
}
