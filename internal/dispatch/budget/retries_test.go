package budget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
)

var limit = snipefront.RetryLimit{Ratio: 0.2, Slack: 6, Window: 10 * time.Second}

// spendAll spends all that is left for a service and returns how much that was.
func spendAll(r *budget.Retries, now time.Time, service string) (n int) {
	for r.Spend(now, service) {
		n++
	}
	return n
}

func earn(r *budget.Retries, now time.Time, service string, requests int) {
	for range requests {
		r.Earn(now, service)
	}
}

// TestServicesHaveBudgetsOfTheirOwn guards against a service whose retries are paid for
// by the requests for others.
func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	r := &budget.Retries{Limit: limit}
	now := time.Now()
	earn(r, now, "charge", 100)
	earn(r, now, "balance", 10)
	if n := spendAll(r, now, "balance"); n != 2 {
		t.Errorf("%d attempts for 10 requests, want 2 whatever other services get", n)
	}
}

// TestProcessStartsWithoutShareOfSlack guards against instances that spend their share
// of the slack again after each start, and against one that never gets it.
func TestProcessStartsWithoutShareOfSlack(t *testing.T) {
	r := &budget.Retries{Limit: limit}
	begun := time.Now()
	r.SetInstances(begun, 2)
	if n := spendAll(r, begun.Add(limit.Window-time.Nanosecond), "balance"); n != 0 {
		t.Errorf("%d attempts within a window of the start without a request, want 0", n)
	}
	if n := spendAll(r, begun.Add(limit.Window), "balance"); n != 3 {
		t.Errorf("%d attempts a window after the start, want the share of 3", n)
	}
}

// TestShareWaitsForInstancesThatLeave guards against instances that take over the share
// of others that have just spent it, or that have left only in a wrong view of the fleet.
func TestShareWaitsForInstancesThatLeave(t *testing.T) {
	r := &budget.Retries{Limit: limit}
	begun := time.Now()
	r.SetInstances(begun, 6)
	left := begun.Add(limit.Window)
	r.SetInstances(left, 6)
	r.SetInstances(left, 2)
	if n := spendAll(r, left, "balance"); n != 1 {
		t.Errorf("%d attempts just after four of six instances have left, want the share of 1", n)
	}
	if n := spendAll(r, left.Add(2*limit.Window), "balance"); n != 3 {
		t.Errorf("%d attempts two windows after four of six instances have left, want the share of 3", n)
	}
}

// TestNoWindowExceedsLimit guards against a window, wherever it begins, with more
// attempts than its requests and the slack allow.
func TestNoWindowExceedsLimit(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		r := &budget.Retries{Limit: limit}
		begun := time.Now()
		r.SetInstances(begun, 1)
		var requests, spent []time.Duration
		for at := time.Duration(0); at < 60*time.Second; at += time.Duration(random.ExpFloat64() * float64(100*time.Millisecond)) {
			r.Earn(begun.Add(at), "balance")
			requests = append(requests, at)
			// Attempts fail in some of the time only.
			if at%(17*time.Second) < 5*time.Second && r.Spend(begun.Add(at), "balance") {
				spent = append(spent, at)
			}
		}
		for _, until := range spent {
			n, q := countIn(spent, until), countIn(requests, until)
			if float64(n) > limit.Ratio*float64(q)+limit.Slack {
				t.Errorf("seed %d: %d attempts in the window until %v for %d requests", seed, n, until, q)
			}
		}
	}
}

// countIn returns how many times of list are in the window that ends at until.
func countIn(list []time.Duration, until time.Duration) (n int) {
	for _, at := range list {
		if at > until-limit.Window && at <= until {
			n++
		}
	}
	return n
}

// TestForgetsRemovedServices guards against counts that grow with each service that
// was ever configured.
func TestForgetsRemovedServices(t *testing.T) {
	r := &budget.Retries{Limit: limit}
	now := time.Now()
	earn(r, now, "balance", 10)
	earn(r, now, "charge", 10)
	r.Keep(map[string]snipefront.ServiceProfile{"charge": {}})
	if r.Spend(now, "balance") || !r.Spend(now, "charge") {
		t.Error("a removed service has a budget, or one that stays has none")
	}
}
