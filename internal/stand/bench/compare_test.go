package bench_test

import (
	"flag"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/picker"
	"github.com/snipefront/snipefront/internal/stand/bench"
)

// The flags of TestCompare. By default it makes a short run; for a full comparison use
//
//	go test ./internal/stand/bench -run TestCompare -v -args -loads 40,70,90,130 -length 3s
var (
	loads    = flag.String("loads", "90", "loads to compare at, in percent of the capacity")
	length   = flag.Duration("length", 200*time.Millisecond, "measured time of each run")
	seed     = flag.Uint64("seed", 1, "seed of the first run")
	seeds    = flag.Uint64("seeds", 1, "number of seeds to run")
	sizes    = flag.String("sizes", "counters,chairs", "sizes to compare")
	shift    = flag.String("shift", "false,true", "whether speeds change, true, false or both")
	policies = flag.String("policies", "random,round-robin,two-choices,least-loaded,cells", "policies to compare")
	hedge    = flag.Float64("hedge", 0, "share of requests that cells may hedge")
	fault    = flag.String("fault", "", "fault to inject: chill, fail, hang or leave; empty for none")
)

var allPolicies = []bench.Policy{
	{Name: "random", Pick: func() snipefront.Picker { return picker.Random{} }},
	{Name: "round-robin", Pick: func() snipefront.Picker { return &picker.RoundRobin{} }},
	{Name: "two-choices", Pick: func() snipefront.Picker { return picker.TwoChoices{} }},
	{Name: "least-loaded", Pick: func() snipefront.Picker { return picker.LeastLoaded{} }},
	{Name: "cells"},
}

// TestCompare runs each policy under each load that the flags select and logs the
// results. Without a fault it also checks the results of the policy cells with
// checkLimits.
func TestCompare(t *testing.T) {
	t.Log(bench.Header)
	for _, z := range []bench.Size{bench.Counters(), bench.Chairs()} {
		if !strings.Contains(*sizes, z.Name) {
			continue
		}
		for _, l := range requestedLoads(t) {
			for _, p := range allPolicies {
				if slices.Contains(strings.Split(*policies, ","), p.Name) {
					compare(t, z, p, l)
				}
			}
		}
	}
}

func compare(t *testing.T, z bench.Size, p bench.Policy, l bench.Load) {
	t.Helper()
	r := run(t, z, p, l)
	t.Log("\n" + r.String())
	if p.Pick != nil || *fault != "" {
		return
	}
	for i, s := range r.Services {
		checkLimits(t, s, z.Services[i].Deadline)
	}
}

func requestedLoads(t *testing.T) []bench.Load {
	var list []bench.Load
	for _, s := range strings.Split(*shift, ",") {
		for _, x := range strings.Split(*loads, ",") {
			n, err := strconv.ParseFloat(x, 64)
			if err != nil {
				t.Fatal(err)
			}
			for i := range *seeds {
				list = append(list, bench.Load{
					Share: n / 100, Shifting: s == "true", Length: *length, Seed: *seed + i,
					Hedge: *hedge, Chill: *fault == "chill", Fail: *fault == "fail", Hang: *fault == "hang", Leave: *fault == "leave",
				})
			}
		}
	}
	return list
}

// TestCellsKeepLimits guards against cells that send a backend server more requests than
// its slots or its cold limit, refuse a request after its deadline, or send requests to a
// data centre that is out of service. It runs at 70% load, at 130% with changing speeds,
// and at 90% while a data centre is taken out of service.
func TestCellsKeepLimits(t *testing.T) {
	for _, z := range []bench.Size{bench.Counters(), bench.Chairs()} {
		for _, l := range []bench.Load{
			{Share: 0.7, Length: 300 * time.Millisecond, Seed: 1},
			{Share: 1.3, Length: 300 * time.Millisecond, Seed: 2, Shifting: true},
			{Share: 0.9, Length: 300 * time.Millisecond, Seed: 3, Leave: true},
		} {
			r := run(t, z, bench.Policy{Name: "cells"}, l)
			for i, s := range r.Services {
				checkLimits(t, s, z.Services[i].Deadline)
			}
			if t.Failed() {
				t.Log("\n" + bench.Header + "\n" + r.String())
			}
		}
	}
}

// checkLimits checks that a run with cells kept the limits of service s, and that each
// request is counted in one outcome.
func checkLimits(t *testing.T, s bench.ServiceResult, deadline time.Duration) {
	t.Helper()
	if s.Most > s.Slots {
		t.Errorf("%s: %d requests in flight at once at a backend server, want at most its %d slots", s.Name, s.Most, s.Slots)
	}
	if s.OverCold > 0 {
		t.Errorf("%s: %d requests beyond the cold limit of a backend server, want none", s.Name, s.OverCold)
	}
	if s.AfterOut > 0 {
		t.Errorf("%s: %d requests sent to a data centre out of service, want none", s.Name, s.AfterOut)
	}
	if n := s.Answered + s.Late + s.Refused + s.Failed; n != s.Sent {
		t.Errorf("%s: sent %d requests, but counted the outcomes of %d", s.Name, s.Sent, n)
	}
	if s.LastRefusal > deadline {
		t.Errorf("%s: a request was refused after %v, want at most its deadline of %v", s.Name, s.LastRefusal, deadline)
	}
}

func run(t *testing.T, z bench.Size, p bench.Policy, l bench.Load) (r bench.Result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r = bench.Run(t.Context(), z, p, l)
	})
	return r
}
