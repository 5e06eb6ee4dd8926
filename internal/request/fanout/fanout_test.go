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

// limit bounds a wait that only a hanging test reaches.
const limit = 20 * time.Second

// fleet is instances that share an epoch. It tells them that they hold a lease
// and counts what they drop.
type fleet struct {
	lapsed   atomic.Bool
	unshared atomic.Int64
}

func (f *fleet) Held(time.Time) bool { return !f.lapsed.Load() }

func (f *fleet) Unshared(n int) { f.unshared.Add(int64(n)) }

// start runs the spreader of the instance self among those named and returns its
// register.
func (f *fleet) start(t *testing.T, self string, c fanout.Caller, all ...snipefront.Instance) *poison.Register {
	t.Helper()
	v := &member.View{Self: self, Epoch: snipefront.Epoch{Number: 1, Instances: all}}
	g := &poison.Register{}
	s := &fanout.Broadcaster{
		Self:     self,
		View:     func() *member.View { return v },
		Lease:    f,
		Register: g,
		Caller:   c,
		Counter:  f,
		Logger:   slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	g.Spread = s
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return g
}

// fell makes g learn that the backend server fell under request f.
func fell(g *poison.Register, f uint64, name string) {
	s := poison.Server{Service: "balance", DataCentre: "d", Name: name, Incarnation: 1}
	g.Broke(time.Now(), f, s)
	g.Crashed(time.Now(), s)
}

func admission(g *poison.Register, f uint64) poison.Admission {
	a, _ := g.Admit(time.Now(), f)
	return a
}

// late is the register of an instance whose server starts before it.
type late struct {
	atomic.Pointer[poison.Register]
}

func (l *late) Merge(now time.Time, list []poison.Record) {
	if g := l.Load(); g != nil {
		g.Merge(now, list)
	}
}

func (l *late) Records(now time.Time) []poison.Record {
	if g := l.Load(); g != nil {
		return g.Records(now)
	}
	return nil
}

type answering struct{ called bool }

func (a *answering) Serve(context.Context, *snipefront.Request) (*snipefront.Response, error) {
	a.called = true
	return &snipefront.Response{}, nil
}

// TestThirdResendRefused has one backend server fall at each of two instances.
// The next resend arrives at a third one.
func TestThirdResendRefused(t *testing.T) {
	f := &fleet{}
	var all []snipefront.Instance
	var lates []*late
	for _, n := range []string{"a", "b", "c"} {
		l, r := &late{}, mux.NewRouter()
		(&peers.Server{Suspects: l}).Route(r)
		h := httptest.NewServer(r)
		t.Cleanup(h.Close)
		all = append(all, snipefront.Instance{Name: n, PeerAddress: h.Listener.Addr().String()})
		lates = append(lates, l)
	}
	for i, n := range all {
		lates[i].Store(f.start(t, n.Name, &peers.Client{}, all...))
	}
	fell(lates[0].Load(), 7, "x")
	fell(lates[1].Load(), 7, "y")
	third := lates[2].Load()
	for end := time.Now().Add(limit); admission(third, 7) != poison.Quarantined; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the third instance admits the request")
		}
	}
	for id, want := range map[uint64]snipefront.Reason{7: snipefront.ReasonQuarantined, 8: ""} {
		next := &answering{}
		_, err := (&fanout.Filter{Register: third}).Filter(t.Context(), &snipefront.Request{Fingerprint: id}, next)
		if want == "" && (err != nil || !next.called) {
			t.Errorf("another request: %v", err)
		}
		if e := snipefront.AsError(err); want != "" && (e == nil || next.called || e.Reason != want || e.Verdict != snipefront.NotRun || e.RetryAfter <= 0) {
			t.Errorf("third resend: %+v", e)
		}
	}
}

var errLost = errors.New("lost")

// network loses calls, the first of each pair before it arrives and the second
// one's answer.
type network struct {
	mu        sync.Mutex
	registers map[string]*poison.Register
	// lose is the number of calls that are lost.
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

func (n *network) restart(lose int) {
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

// alone runs one instance whose calls to the other one go to a register.
func alone(t *testing.T, f *fleet, to *poison.Register) (*poison.Register, *network) {
	n := &network{registers: map[string]*poison.Register{"b": to}}
	return f.start(t, "a", n, self, other), n
}

// TestLostCallRepeated loses calls and their answers, and then all for a time.
func TestLostCallRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, to := &fleet{}, &poison.Register{}
		g, n := alone(t, f, to)
		time.Sleep(time.Second)
		n.restart(1)
		fell(g, 1, "x")
		fell(g, 1, "y")
		time.Sleep(5 * time.Second)
		if a := admission(to, 1); a != poison.Quarantined {
			t.Errorf("the other instance admits the request as %d", a)
		}
		n.restart(4)
		fell(g, 2, "x")
		time.Sleep(5 * time.Second)
		if c := n.count(); c != 5 {
			t.Errorf("%d calls, want one more than were lost", c)
		}
		n.restart(1 << 30)
		fell(g, 3, "x")
		fell(g, 3, "y")
		time.Sleep(4 * time.Second)
		n.restart(0)
		time.Sleep(time.Second)
		if a := admission(to, 3); a != poison.Quarantined {
			t.Errorf("after 4 seconds without a call the other instance admits the request as %d", a)
		}
		if u := f.unshared.Load(); u != 0 {
			t.Errorf("%d records dropped", u)
		}
	})
}

// TestUnreachableInstance never answers. The records are dropped and counted
// after a bounded number of calls.
func TestUnreachableInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, to := &fleet{}, &poison.Register{}
		g, n := alone(t, f, to)
		time.Sleep(time.Second)
		n.restart(1 << 30)
		fell(g, 1, "x")
		time.Sleep(30 * time.Second)
		calls := n.count()
		if u := f.unshared.Load(); u != 1 || calls > 20 {
			t.Errorf("%d records dropped after %d calls, want 1 after 20 at most", u, calls)
		}
		time.Sleep(30 * time.Second)
		if n.count() != calls {
			t.Error("calls go on")
		}
	})
}

// TestRecordsOnLease has an instance get its lease, lose it and get it again. The
// first call is lost.
func TestRecordsOnLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, to := &fleet{}, &poison.Register{}
		fell(to, 1, "x")
		fell(to, 1, "y")
		n := &network{registers: map[string]*poison.Register{"b": to}, lose: 1}
		g := f.start(t, "a", n, self, other)
		time.Sleep(2 * time.Second)
		if a := admission(g, 1); a != poison.Quarantined {
			t.Errorf("the new instance admits the request as %d", a)
		}
		f.lapsed.Store(true)
		time.Sleep(2 * time.Second)
		fell(to, 2, "x")
		fell(to, 2, "y")
		before := n.count()
		f.lapsed.Store(false)
		time.Sleep(2 * time.Second)
		if a := admission(g, 2); a != poison.Quarantined || n.count() != before+1 {
			t.Errorf("the returned instance admits the request as %d after %d calls", a, n.count()-before)
		}
	})
}

// TestFullQueue spreads records while nobody takes them.
func TestFullQueue(t *testing.T) {
	const many = 5000
	f := &fleet{}
	s := &fanout.Broadcaster{Counter: f}
	for id := range uint64(many) {
		s.Share(poison.Record{Fingerprint: id})
	}
	if n := f.unshared.Load(); n == 0 || n >= many {
		t.Errorf("%d of %d records dropped", n, many)
	}
}
