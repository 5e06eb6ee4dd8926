package paths_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/request/paths"
)

// weightTolerance is the most by which the share of a service may differ from its weight.
const weightTolerance = 0.1

// TestSplitOverManyInstances guards against services that get far less or more than their
// weight while each of many instances receives a few requests only: all instances together
// must keep the weights, also just after their start.
func TestSplitOverManyInstances(t *testing.T) {
	const instances, requests = 451, 600
	for _, weights := range [][]float64{{60, 40}, {1, 1}, {70, 10, 10, 10}, {90, 10}, {0.8, 0.15, 0.05}} {
		rt := &snipefront.Route{Name: "r"}
		total := 0.0
		for i, w := range weights {
			rt.Split = append(rt.Split, snipefront.ServiceWeight{Service: string(rune('a' + i)), Weight: w})
			total += w
		}
		random := rand.New(rand.NewPCG(1, 2))
		splitters := make([]paths.Splitter, instances)
		got := map[string]float64{}
		for range requests {
			got[splitters[random.IntN(instances)].Next(rt)]++
		}
		for _, s := range rt.Split {
			if share, want := got[s.Service]/requests, s.Weight/total; math.Abs(share-want) > weightTolerance {
				t.Errorf("weights %v: %s gets %.3f of the requests, want %.2f within %.2f", weights, s.Service, share, want, weightTolerance)
			}
		}
	}
}
