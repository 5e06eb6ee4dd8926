package fanout_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gorilla/mux"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/request/fanout"
	"github.com/snipefront/snipefront/internal/request/poison"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// testTimeout bounds a wait that only a failing test exceeds.
const testTimeout = 20 * time.Second

// fleet is a set of instances that share an epoch. It implements the Lease and the
// Counter of each, with one lease state and one count for all.
type fleet struct {
	noLease  atomic.Bool
	unshared atomic.Int64
}

func (f *fleet) Held(time.Time) bool { return !f.noLease.Load() }

func (f *fleet) SuspectsUnshared(n int) { f.unshared.Add(int64(n)) }

// start runs the Broadcaster of the instance self in an epoch of the instances all, and
// returns its register.
func (f *fleet) start(t *testing.T, self string, c fanout.Caller, all ...snipefront.Instance) *poison.Register {
	t.Helper()
	v := &member.View{Self: self, Epoch: snipefront.Epoch{Number: 1, Instances: all}}
	g := &poison.Register{}
	b := &fanout.Broadcaster{
		Self:     self,
		View:     func() *member.View { return v },
		Lease:    f,
		Register: g,
		Caller:   c,
		Counter:  f,
		Logger:   slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	g.Spread = b
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- b.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return g
}

// crash records in g that the named backend server crashed while the request f was in
// flight.
func crash(g *poison.Register, f uint64, name string) {
	s := poison.Server{Service: "balance", DataCentre: "d", Name: name, Incarnation: 1}
	g.ConnectionBroke(time.Now(), f, s)
	g.Crashed(time.Now(), s)
}

func admission(g *poison.Register, f uint64) poison.Admission {
	a, _ := g.Admit(time.Now(), f)
	return a
}

// lateRegister is the register of an instance whose HTTP server starts before it.
type lateRegister struct {
	atomic.Pointer[poison.Register]
}

func (l *lateRegister) Merge(now time.Time, list []poison.Record) {
	if g := l.Load(); g != nil {
		g.Merge(now, list)
	}
}

func (l *lateRegister) Records(now time.Time) []poison.Record {
	if g := l.Load(); g != nil {
		return g.Records(now)
	}
	return nil
}

type handler struct{ called bool }

func (h *handler) Serve(context.Context, *snipefront.Request) (*snipefront.Response, error) {
	h.called = true
	return &snipefront.Response{}, nil
}

// TestResendAfterTwoCrashesIsRefused guards against a request that crashes a third
// backend server: after one crash at each of two instances, a third instance must
// refuse the next resend, and admit other requests.
func TestResendAfterTwoCrashesIsRefused(t *testing.T) {
	f := &fleet{}
	var all []snipefront.Instance
	var lateRegisters []*lateRegister
	for _, n := range []string{"a", "b", "c"} {
		l, r := &lateRegister{}, mux.NewRouter()
		(&peers.Server{Suspects: l}).Route(r)
		h := httptest.NewServer(r)
		t.Cleanup(h.Close)
		all = append(all, snipefront.Instance{Name: n, PeerAddress: h.Listener.Addr().String()})
		lateRegisters = append(lateRegisters, l)
	}
	for i, n := range all {
		lateRegisters[i].Store(f.start(t, n.Name, &peers.Client{}, all...))
	}
	crash(lateRegisters[0].Load(), 7, "x")
	crash(lateRegisters[1].Load(), 7, "y")
	third := lateRegisters[2].Load()
	for end := time.Now().Add(testTimeout); admission(third, 7) != poison.Quarantined; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out: the third instance still admits the request, want it quarantined")
		}
	}
	for id, want := range map[uint64]snipefront.Reason{7: snipefront.ReasonQuarantined, 8: ""} {
		next := &handler{}
		_, err := (&fanout.Filter{Register: third}).Filter(t.Context(), &snipefront.Request{Fingerprint: id}, next)
		if want == "" && (err != nil || !next.called) {
			t.Errorf("another request: got error %v, want it admitted", err)
		}
		if e := snipefront.AsError(err); want != "" && (e == nil || next.called || e.Reason != want || e.Verdict != snipefront.NotRun || e.RetryAfter <= 0) {
			t.Errorf("third resend: got %+v, want a quarantine refusal of a request that was not run", e)
		}
	}
}

var errLost = errors.New("lost")

// network calls the registers of other instances. Of the calls that it loses, the odd
// ones do not arrive, and the even ones arrive but their answer is lost.
type network struct {
	mu        sync.Mutex
	registers map[string]*poison.Register
	// lose is the number of calls that are lost, counted from the first.
	lose  int
	calls int
}

func (n *network) Quarantine(_ context.Context, address string, list []poison.Record, all bool) ([]poison.Record, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	if n.calls <= n.lose && n.calls%2 == 1 {
		return nil, errLost
	}
	g := n.registers[address]
	g.Merge(time.Now(), list)
	if n.calls <= n.lose {
		return nil, errLost
	}
	if all {
		return g.Records(time.Now()), nil
	}
	return nil, nil
}

func (n *network) reset(lose int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls, n.lose = 0, lose
}

func (n *network) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

var (
	self  = snipefront.Instance{Name: "a", PeerAddress: "a"}
	other = snipefront.Instance{Name: "b", PeerAddress: "b"}
)

// startWithPeer runs one instance whose calls to the other one go to the register to.
func startWithPeer(t *testing.T, f *fleet, to *poison.Register) (*poison.Register, *network) {
	n := &network{registers: map[string]*poison.Register{"b": to}}
	return f.start(t, "a", n, self, other), n
}

// TestLostCallIsRetried guards against records that are lost with a call or its answer,
// or while the other instance is unreachable for 4 seconds.
func TestLostCallIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, to := &fleet{}, &poison.Register{}
		g, n := startWithPeer(t, f, to)
		time.Sleep(time.Second)
		n.reset(1)
		crash(g, 1, "x")
		crash(g, 1, "y")
		time.Sleep(5 * time.Second)
		if a := admission(to, 1); a != poison.Quarantined {
			t.Errorf("after a lost call the other instance returns admission %d, want a quarantine", a)
		}
		n.reset(4)
		crash(g, 2, "x")
		time.Sleep(5 * time.Second)
		if c := n.count(); c != 5 {
			t.Errorf("%d calls, want 5, one more than were lost", c)
		}
		n.reset(1 << 30)
		crash(g, 3, "x")
		crash(g, 3, "y")
		time.Sleep(4 * time.Second)
		n.reset(0)
		time.Sleep(time.Second)
		if a := admission(to, 3); a != poison.Quarantined {
			t.Errorf("after 4 seconds without a call the other instance returns admission %d, want a quarantine", a)
		}
		if u := f.unshared.Load(); u != 0 {
			t.Errorf("%d records dropped, want none", u)
		}
	})
}

// TestRecordsForUnreachableInstanceAreDropped guards against calls that go on forever
// to an instance that never answers. Its records must be dropped and counted after a
// bounded number of calls.
func TestRecordsForUnreachableInstanceAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, to := &fleet{}, &poison.Register{}
		g, n := startWithPeer(t, f, to)
		time.Sleep(time.Second)
		n.reset(1 << 30)
		crash(g, 1, "x")
		time.Sleep(30 * time.Second)
		calls := n.count()
		if u := f.unshared.Load(); u != 1 || calls > 20 {
			t.Errorf("%d records dropped after %d calls, want 1 after at most 20", u, calls)
		}
		time.Sleep(30 * time.Second)
		if n.count() != calls {
			t.Error("calls continue after the records were dropped")
		}
	})
}

// TestInstanceFetchesRecordsWithLease guards against an instance that lacks the records
// of the time before its lease. It must request them whenever it gets a lease, once if
// the call succeeds, and again if the call is lost.
func TestInstanceFetchesRecordsWithLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, to := &fleet{}, &poison.Register{}
		crash(to, 1, "x")
		crash(to, 1, "y")
		n := &network{registers: map[string]*poison.Register{"b": to}, lose: 1}
		g := f.start(t, "a", n, self, other)
		time.Sleep(2 * time.Second)
		if a := admission(g, 1); a != poison.Quarantined {
			t.Errorf("the new instance returns admission %d, want a quarantine", a)
		}
		f.noLease.Store(true)
		time.Sleep(2 * time.Second)
		crash(to, 2, "x")
		crash(to, 2, "y")
		before := n.count()
		f.noLease.Store(false)
		time.Sleep(2 * time.Second)
		if a := admission(g, 2); a != poison.Quarantined || n.count() != before+1 {
			t.Errorf("the instance that got its lease back returns admission %d after %d calls, want a quarantine after 1", a, n.count()-before)
		}
	})
}

// TestFullQueueDropsRecords guards against Share blocking when nothing reads the queue.
// Some records must be dropped and counted.
func TestFullQueueDropsRecords(t *testing.T) {
	const many = 5000
	f := &fleet{}
	b := &fanout.Broadcaster{Counter: f}
	for id := range uint64(many) {
		b.Share(poison.Record{Fingerprint: id})
	}
	if n := f.unshared.Load(); n == 0 || n >= many {
		t.Errorf("%d of %d records dropped, want some but not all", n, many)
	}
}
