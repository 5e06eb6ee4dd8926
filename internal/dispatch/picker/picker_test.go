package picker_test

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/picker"
)

// TestFreeNeverExceedsLimit checks with random candidates that Free picks the one with
// the lowest share of its limit in use, and none that is at its limit.
func TestFreeNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOf(rapid.Custom(func(t *rapid.T) snipefront.Candidate {
			return snipefront.Candidate{
				InFlight: rapid.IntRange(0, 5).Draw(t, "in flight"),
				Limit:    rapid.IntRange(0, 5).Draw(t, "limit"),
			}
		})).Draw(t, "candidates")
		got := picker.Free{}.Pick(list, rapid.Uint64().Draw(t, "random"))
		for i, c := range list {
			if c.InFlight >= c.Limit {
				if got == i {
					t.Fatalf("picked candidate %d, which is at its limit", i)
				}
				continue
			}
			if got < 0 {
				t.Fatalf("picked none, but candidate %d is below its limit", i)
			}
			if c.InFlight*list[got].Limit < list[got].InFlight*c.Limit {
				t.Fatalf("picked candidate %d, but candidate %d uses a lower share of its limit", got, i)
			}
		}
	})
}

func BenchmarkFree(b *testing.B) {
	for _, n := range []int{3, 12, 100} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			list := make([]snipefront.Candidate, n)
			for i := range list {
				list[i] = snipefront.Candidate{InFlight: i % 3, Limit: 3}
			}
			b.ReportAllocs()
			x := uint64(1)
			for b.Loop() {
				x = x*6364136223846793005 + 1
				if (picker.Free{}).Pick(list, x) < 0 {
					b.Fatal("none picked")
				}
			}
		})
	}
}
