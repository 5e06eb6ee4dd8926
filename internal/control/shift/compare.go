package shift

import (
	"fmt"
	"math"
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
)

const (
	// significance is the significance level of a comparison: the probability, for a version
	// that is as good as the old one, below which its number of bad answers counts as proof. It
	// is low since the comparison is repeated several times a second for each route. While the
	// version gets all requests, finishingSignificance takes its place: few comparisons are left
	// then, and a version that has been completed isn't withdrawn.
	significance          = 1e-4
	finishingSignificance = 1e-3
	// badMargin and lateMargin are added to the share that the old version shows: a version
	// that is worse by less than that isn't rolled back.
	badMargin  = 0.002
	lateMargin = 0.04
	// leastBad and leastLate are the fewest bad and late answers that prove anything.
	leastBad  = 3
	leastLate = 5
	// unknownShare is the share of the old version if it has given no answer.
	unknownShare = 0.1
)

// recentTimes are the times over which recent answers are compared, beside those since the
// order, longest first: what a version did before must not hide what it does now.
var recentTimes = [...]time.Duration{5 * time.Second, 1500 * time.Millisecond}

// Finding says why a version is bad. It is empty if nothing shows that.
type Finding struct {
	// Kind is bad, late or very late.
	Kind string
	// Route is empty for all routes together.
	Route    string
	Old, New fleet.Answers
}

// IsZero reports whether f is empty.
func (f Finding) IsZero() bool { return f.Kind == "" }

// String returns f for logs.
func (f Finding) String() string {
	if f.IsZero() {
		return ""
	}
	return fmt.Sprintf("kind=%q route=%q old=%+v new=%+v", f.Kind, f.Route, f.Old, f.New)
}

// compare compares the answers of the version, which has the given number of backend servers,
// with those of the old ones, for all routes together and for each. If there are several, the
// answers of the worst one don't count: they may be a fault of that one.
func compare(s Sum, servers int, level float64) Finding {
	excess := int64(0)
	if servers > 1 {
		excess = s.worst()
	}
	var all fleet.RouteCounts
	for _, r := range s.Routes {
		all.Old, all.New = all.Old.Add(r.Old), all.New.Add(r.New)
	}
	if f := compareRoute(all, excess, level); !f.IsZero() {
		return f
	}
	for _, r := range s.Routes {
		if f := compareRoute(r, excess, level); !f.IsZero() {
			return f
		}
	}
	return Finding{}
}

// compareRoute compares the answers of one route. Of the bad and the late ones of the version,
// excess don't count.
func compareRoute(r fleet.RouteCounts, excess int64, level float64) Finding {
	f := Finding{Route: r.Route, Old: r.Old, New: r.New}
	switch {
	case isWorse(r.New.Bad-excess, r.New.Total, r.Old.Bad, r.Old.Total, leastBad, badMargin, level):
		f.Kind = "bad"
	case isWorse(r.New.VeryLate-excess, r.New.Timed, r.Old.VeryLate, r.Old.Timed, leastLate, lateMargin, level):
		f.Kind = "very late"
	case isWorse(r.New.Late-excess, r.New.Timed, r.Old.Late, r.Old.Timed, leastLate, lateMargin, level):
		f.Kind = "late"
	default:
		return Finding{}
	}
	return f
}

// isWorse reports whether k or more of n have a probability below level if the share is that of
// oldK of oldN, to which two standard errors and the margin are added.
func isWorse(k, n, oldK, oldN, least int64, margin, level float64) bool {
	if k < least || n == 0 {
		return false
	}
	share := (float64(oldK) + 1) / (float64(oldN) + 2)
	if oldN == 0 {
		share = unknownShare
	}
	spread := math.Sqrt(share * (1 - share) / (float64(oldN) + 2))
	return binomialTail(k, n, min(1, share+2*spread+margin)) < level
}

// binomialTail returns the probability of k or more of n events that have the probability p each.
func binomialTail(k, n int64, p float64) float64 {
	if float64(k) <= float64(n)*p || p <= 0 || p >= 1 {
		return 1
	}
	lg := func(x int64) float64 { v, _ := math.Lgamma(float64(x) + 1); return v }
	sum := 0.0
	for i := k; i <= n; i++ {
		term := math.Exp(lg(n) - lg(i) - lg(n-i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
		sum += term
		if term < sum*1e-9 {
			break
		}
	}
	return sum
}
