package budget_test

import (
	"math/rand/v2"
	"slices"
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
	earn(r, now, "balance", 20)
	if n := spendAll(r, now, "balance"); n != 2 {
		t.Errorf("%d attempts for 20 requests that have just come, want 2 whatever other services get", n)
	}
	if n := spendAll(r, now, "charge"); n != 10 {
		t.Errorf("%d attempts for 100 requests that have just come, want 10 whatever other services spend", n)
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

// TestNoWindowExceedsLimit guards against a window, wherever it begins, in which all
// instances together spend more than its requests and the slack allow, while the load
// changes, attempts fail for some time, and processes start again.
func TestNoWindowExceedsLimit(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 0))
		begun := time.Now()
		fleet := make([]*budget.Retries, 6)
		for i := range fleet {
			fleet[i] = newProcess(begun)
		}
		var requests, spent []time.Duration
		for at := time.Duration(0); at < 90*time.Second; {
			rate := 20 + 60*float64(int(at/(4*time.Second))%2)
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			now := begun.Add(at)
			i := random.IntN(len(fleet))
			if random.IntN(300) == 0 {
				fleet[i] = newProcess(now)
			}
			fleet[i].Earn(now, "balance")
			requests = append(requests, at)
			if fails := at%(23*time.Second) < 12*time.Second; fails && fleet[i].Spend(now, "balance") {
				spent = append(spent, at)
			}
		}
		for _, from := range spent {
			n, q := within(spent, from), max(within(requests, from), within(requests, from-limit.Window/2))
			if most := limit.Ratio*float64(q) + limit.Slack; float64(n) > most {
				t.Errorf("seed %d: %d attempts in the window from %v on, want %.1f at most", seed, n, from, most)
				break
			}
		}
		if len(spent) < len(requests)/20 {
			t.Errorf("seed %d: only %d attempts for %d requests", seed, len(spent), len(requests))
		}
	}
}

// newProcess returns the budget of one of six instances, whose process starts now.
func newProcess(now time.Time) *budget.Retries {
	r := &budget.Retries{Limit: limit}
	r.SetInstances(now, 6)
	return r
}

// within returns how many times of the sorted list are in the window from the given one
// on.
func within(list []time.Duration, from time.Duration) int {
	begin, _ := slices.BinarySearch(list, from)
	end, _ := slices.BinarySearch(list, from+limit.Window)
	return end - begin
}

// TestForgetsRemovedServices guards against counts that grow with each service that
// was ever configured.
func TestForgetsRemovedServices(t *testing.T) {
	r := &budget.Retries{Limit: limit}
	now := time.Now()
	earn(r, now, "balance", 20)
	earn(r, now, "charge", 20)
	r.Keep(map[string]snipefront.ServiceProfile{"charge": {}})
	if r.Spend(now, "balance") || !r.Spend(now, "charge") {
		t.Error("a removed service has a budget, or one that stays has none")
	}
}
