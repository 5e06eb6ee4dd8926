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

// holder is a lease as the model knows it.
type holder struct {
	leader.Renewal
	at      time.Time
	granted float64
}

// TestRenewalsAgreeWithAWalk compares what a leader answers to random renewals
// with a walk over all holders of leases.
func TestRenewalsAgreeWithAWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget = 20
		l := newLeader()
		now := time.Now()
		var start time.Time
		holders := map[string]holder{}
		var epoch []snipefront.Instance
		change := func(number uint64) {
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
		change(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			number := l.State.Epoch().Number
			if rapid.IntRange(0, 19).Draw(t, "change") == 0 {
				change(number)
				number++
			}
			r := renewal(fmt.Sprint("i", rapid.IntRange(0, 5).Draw(t, "instance")), 1)
			r.Epoch = number - min(number, rapid.Uint64Range(0, 2).Draw(t, "behind"))
			r.ProbeRate = holders[r.Instance.Name].granted * float64(rapid.IntRange(0, 1).Draw(t, "heard"))
			r.Gone = rapid.IntRange(0, 9).Draw(t, "gone") == 0
			r.Leaving = r.Gone || rapid.IntRange(0, 9).Draw(t, "leaving") == 0
			g := l.Renew(now, r)
			drop(holders, now)
			if start.IsZero() {
				start = now
			}
			rest := float64(budget)
			_, known := holders[r.Instance.Name]
			delete(holders, r.Instance.Name)
			early := now.Before(start.Add(lease + leader.Margin))
			others, self := false, false
			for _, n := range epoch {
				_, heard := holders[n.Name]
				self = self || early && n.Name == r.Instance.Name
				others = others || early && !heard && n.Name != r.Instance.Name
			}
			share := budget / float64(len(holders)+1)
			for _, h := range holders {
				rest -= max(h.granted, h.ProbeRate)
			}
			want := max(0, min(share, rest))
			if r.Leaving || others || self && !known {
				want = 0
			}
			if math.Abs(g.ProbeRate-want) > 1e-4 {
				t.Fatalf("%v probes a second are granted, a walk finds %v", g.ProbeRate, want)
			}
			if !r.Gone {
				holders[r.Instance.Name] = holder{Renewal: r, at: now, granted: g.ProbeRate}
			}
			settled := number
			for _, h := range holders {
				settled = min(settled, h.Epoch)
			}
			if others || self && r.Gone {
				settled = 0
			}
			if g.Settled != settled {
				t.Fatalf("epoch %d is settled, a walk finds %d", g.Settled, settled)
			}
		}
	})
}

// drop drops the holders whose leases have lapsed.
func drop(holders map[string]holder, now time.Time) {
	for n, h := range holders {
		if !now.Before(h.at.Add(lease + leader.Margin)) {
			delete(holders, n)
		}
	}
}
