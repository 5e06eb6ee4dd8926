package leader_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/control/state"
	"github.com/snipefront/snipefront/internal/quorum/memlog"
)

const lease = 2 * time.Second

func newLeader() *leader.Leader {
	s := &state.State{}
	return &leader.Leader{
		Log:         &memlog.Log{Name: "c0", Machine: s},
		State:       s,
		Lease:       lease,
		ProbeBudget: func() float64 { return 20 },
		Logger:      slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

func renewal(name string, incarnation uint64) leader.Renewal {
	return leader.Renewal{Instance: snipefront.Instance{Name: name, Incarnation: incarnation}}
}

// TestNewIncarnationWaitsForTheOldLease guards against two processes of one name
// that hold a lease at the same time: after a crash, the new process must wait
// until the lease of the old one has expired.
func TestNewIncarnationWaitsForTheOldLease(t *testing.T) {
	l := newLeader()
	start := time.Now()
	if !l.Renew(start, renewal("a", 1)).Granted {
		t.Fatal("the first incarnation got no lease")
	}
	if l.Renew(start.Add(lease), renewal("a", 2)).Granted {
		t.Error("the second incarnation got a lease while the first may hold one")
	}
	if !l.Renew(start.Add(lease+leader.LeaseMargin), renewal("a", 2)).Granted {
		t.Error("the second incarnation got no lease after the lease of the first had expired")
	}
}

// TestStoppedInstanceReleasesItsName guards against a planned restart that waits
// for the old lease to expire: the last renewal of the old process ends it.
func TestStoppedInstanceReleasesItsName(t *testing.T) {
	l := newLeader()
	start := time.Now()
	l.Renew(start, renewal("a", 1))
	stopped := renewal("a", 1)
	stopped.Gone = true
	l.Renew(start.Add(time.Second), stopped)
	if !l.Renew(start.Add(time.Second), renewal("a", 2)).Granted {
		t.Error("the second incarnation got no lease after the first had stopped")
	}
}

// TestLostAnswerKeepsTheOldProbeRate guards against exceeding the probe budget.
// If the answer that lowers the rate of an instance is lost, the instance still
// sends at the old rate, so the leader must not grant the difference to another.
func TestLostAnswerKeepsTheOldProbeRate(t *testing.T) {
	l := newLeader()
	start := time.Now()
	if r := l.Renew(start, renewal("a", 1)).ProbeRate; r != 20 {
		t.Fatalf("the only instance may send %v probes a second, want 20", r)
	}
	rateB := l.Renew(start, renewal("b", 1)).ProbeRate
	afterLoss := renewal("a", 1)
	afterLoss.ProbeRate = 20
	l.Renew(start.Add(time.Second), afterLoss)
	rateB += l.Renew(start.Add(time.Second), renewal("b", 1)).ProbeRate
	if rateB != 0 {
		t.Errorf("the second instance may send %v probes a second while the first may send 20, want 0", rateB)
	}
}
