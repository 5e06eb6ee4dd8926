package route_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
	"github.com/snipefront/snipefront/internal/request/route"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// fakeFleet stands for four instances, one in each data centre. Instance "0" is the one
// under test.
type fakeFleet struct {
	counts cell.Counts
	// refuse holds the reasons, by data centre, for which cells refuse requests.
	refuse map[string]snipefront.Reason
	// results holds the errors that the first cells tried return, in order.
	results []error
	// tried holds the data centres tried, in order, with "+" appended if the request was
	// allowed to queue.
	tried []string
	// broken is Request.Broken as the last cell tried received it.
	broken int
	// out holds the data centres that are out of service.
	out       map[string]bool
	leaseLost bool
}

func (f *fakeFleet) serve(c snipefront.Cell, mayQueue bool) (*snipefront.Response, error) {
	mark := ""
	if mayQueue {
		mark = "+"
	}
	f.tried = append(f.tried, c.DataCentre+mark)
	if n := len(f.tried); n <= len(f.results) {
		return nil, f.results[n-1]
	}
	if reason := f.refuse[c.DataCentre]; reason != "" {
		return nil, snipefront.Refused(reason, time.Second, "refused")
	}
	return &snipefront.Response{}, nil
}

// Announce implements route.Cells.
func (f *fakeFleet) Announce(time.Time, snipefront.BackendServer) time.Duration { return time.Minute }

// Count implements route.Cells.
func (f *fakeFleet) Count(time.Time, snipefront.Cell) (cell.Counts, bool) { return f.counts, true }

// Serve implements route.Cells.
func (f *fakeFleet) Serve(_ context.Context, c snipefront.Cell, r *snipefront.Request, _ snipefront.Service, mayQueue bool) (*snipefront.Response, error) {
	f.broken = r.Broken
	return f.serve(c, mayQueue)
}

// Forward implements route.Forwarder.
func (f *fakeFleet) Forward(_ context.Context, _ string, _ uint64, c snipefront.Cell, r *snipefront.Request, mayQueue bool) (peers.Answer, error) {
	f.broken = r.Broken
	resp, err := f.serve(c, mayQueue)
	return peers.Answer{Response: resp}, err
}

// Held implements route.Lease.
func (f *fakeFleet) Held(time.Time) bool { return !f.leaseLost }

// Retried implements route.Counter.
func (f *fakeFleet) Retried(string, snipefront.Reason) {}

func (f *fakeFleet) router() *route.Router {
	v := &member.View{Self: "0", Config: &snipefront.Config{
		Services:       map[string]snipefront.Service{"s": {Name: "s"}},
		DataCentresOut: f.out,
	}}
	for i := range 4 {
		n := strconv.Itoa(i)
		v.Epoch.Instances = append(v.Epoch.Instances, snipefront.Instance{Name: n, DataCentre: n})
	}
	return &route.Router{
		Self: "0", View: func() *member.View { return v }, Lease: f, Cells: f, Forwarder: f, Counter: f,
	}
}

func serve(t *testing.T, f *fakeFleet) error {
	t.Helper()
	_, err := f.router().Serve(t.Context(), &snipefront.Request{Service: "s", Deadline: time.Now().Add(time.Hour), Idempotent: true})
	return err
}

func allRefuse(reason snipefront.Reason) map[string]snipefront.Reason {
	return map[string]snipefront.Reason{"0": reason, "1": reason, "2": reason, "3": reason}
}

// TestDataCentreOutOfServiceIsNotTried checks that no cell in a data centre out of
// service gets a request, even if every other cell refuses it.
func TestDataCentreOutOfServiceIsNotTried(t *testing.T) {
	f := &fakeFleet{
		out:    map[string]bool{"0": true, "2": true},
		refuse: allRefuse(snipefront.ReasonNoBackendServer),
		counts: cell.Counts{Free: 9},
	}
	if serve(t, f) == nil {
		t.Fatal("got a response, want a refusal")
	}
	seen := map[string]bool{}
	for _, n := range f.tried {
		seen[n[:1]] = true
	}
	if seen["0"] || seen["2"] || !seen["1"] || !seen["3"] {
		t.Errorf("tried %v, want only 1 and 3", f.tried)
	}
}

// TestShortWaitPreferredToHop checks that a request queues on its own instance if the
// expected wait is shorter than a hop, and is forwarded otherwise.
func TestShortWaitPreferredToHop(t *testing.T) {
	f := &fakeFleet{counts: cell.Counts{Queued: 1, Wait: time.Millisecond / 2}}
	if err := serve(t, f); err != nil || len(f.tried) != 1 || f.tried[0] != "0+" {
		t.Errorf("tried %v, want only cell 0, with permission to queue", f.tried)
	}
	f = &fakeFleet{counts: cell.Counts{Queued: 1, Wait: 50 * time.Millisecond}}
	if err := serve(t, f); err != nil || len(f.tried) != 1 || f.tried[0] == "0+" {
		t.Errorf("tried %v, want one cell, and no wait in 0", f.tried)
	}
}

// TestOverloadLimitsQueueAttempts guards against a hop to every owner when all cells are
// overloaded.
func TestOverloadLimitsQueueAttempts(t *testing.T) {
	f := &fakeFleet{counts: cell.Counts{Queued: 9, Wait: time.Second}, refuse: allRefuse(snipefront.ReasonOverload)}
	e := snipefront.AsError(serve(t, f))
	if e == nil || e.Verdict != snipefront.NotRun || e.Reason != snipefront.ReasonOverload {
		t.Fatalf("got %v, want a refusal for overload with the verdict NotRun", e)
	}
	queued := 0
	for _, n := range f.tried {
		if len(n) > 1 {
			queued++
		}
	}
	if queued != 2 {
		t.Errorf("tried %v, want two attempts to queue", f.tried)
	}
}

// TestNoLeaseRefusesRequest checks that an instance without a lease neither runs nor
// forwards a request.
func TestNoLeaseRefusesRequest(t *testing.T) {
	f := &fakeFleet{counts: cell.Counts{Free: 9}, leaseLost: true}
	e := snipefront.AsError(serve(t, f))
	if e == nil || e.Reason != snipefront.ReasonNoLease || e.Verdict != snipefront.NotRun || len(f.tried) > 0 {
		t.Errorf("got %v, tried %v, want a refusal for the lost lease and no cell tried", e, f.tried)
	}
}

// TestVerdictKeptAfterLaterRefusals checks that a request that may have run in one cell
// does not get the verdict NotRun because another cell refused it.
func TestVerdictKeptAfterLaterRefusals(t *testing.T) {
	lost := &snipefront.Error{Reason: snipefront.ReasonPeer}
	full := snipefront.Refused(snipefront.ReasonOverload, time.Second, "full")
	budget := snipefront.Refused(snipefront.ReasonRetryBudget, time.Second, "no retry left")
	for _, results := range [][]error{{lost, budget}, {full, lost, full, full, full, full}, {full, full, full, full, lost, full, full}} {
		for _, free := range []int{0, 9} {
			f := &fakeFleet{counts: cell.Counts{Free: free, Wait: time.Second}, results: results}
			if e := snipefront.AsError(serve(t, f)); e == nil || e.Verdict != snipefront.MayHaveRun {
				t.Errorf("%d free slots, tried %v: got %v, want an error with the verdict MayHaveRun", free, f.tried, e)
			}
		}
	}
}

// TestBrokenConnectionRetriedOnce checks that a request whose connection broke is tried
// in one more cell, which receives the number of broken attempts, and that no third
// backend server gets it.
func TestBrokenConnectionRetriedOnce(t *testing.T) {
	broken := func(n int) error {
		return &snipefront.Error{Reason: snipefront.ReasonBrokenAnswer, Broken: n}
	}
	f := &fakeFleet{counts: cell.Counts{Free: 9}, results: []error{broken(1)}}
	if err := serve(t, f); err != nil || len(f.tried) != 2 || f.broken != 1 {
		t.Errorf("got %v, tried %v, the last with %d broken attempts; want a response from the second cell, with 1 broken attempt", err, f.tried, f.broken)
	}
	f = &fakeFleet{counts: cell.Counts{Free: 9}, results: []error{broken(1), broken(2)}}
	if serve(t, f) == nil || len(f.tried) != 2 {
		t.Errorf("tried %v, want an error after two cells", f.tried)
	}
}
