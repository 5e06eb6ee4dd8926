package health_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/health"
)

var fields = snipefront.Fields{Load: "Load", Cold: "Cold", Server: "Server"}

// TestReports shows what is read of the answer to a look.
func TestReports(t *testing.T) {
	for _, c := range []struct {
		load                    string
		known                   bool
		running, waiting, slots int
		pace                    float64
	}{
		{"3,1,8", true, 3, 1, 8, 0},
		{"3, 1, 8, 250", true, 3, 1, 8, 2.5},
		{"3,1", false, 0, 0, 0, 0},
		{"3,1,x", false, 0, 0, 0, 0},
		{"-3,1,8", false, 0, 0, 0, 0},
		{"0,0,0", false, 0, 0, 0, 0},
		{"", false, 0, 0, 0, 0},
	} {
		r := health.ReportOf(fields, http.StatusOK, http.Header{"Load": {c.load}}, time.Now())
		if r.Known != c.known || r.Running != c.running || r.Waiting != c.waiting || r.Slots != c.slots || r.Pace != c.pace {
			t.Errorf("%q is read as %+v", c.load, r)
		}
	}
	r := health.ReportOf(fields, http.StatusServiceUnavailable, http.Header{"Cold": {"1500"}, "Server": {"s"}}, time.Now())
	if r.Healthy || r.Cold != 1500*time.Millisecond || r.Server != "s" {
		t.Errorf("the report is %+v", r)
	}
}

// asker counts looks.
type asker struct {
	asked  atomic.Int64
	report health.Report
	err    error
}

// Probe implements health.Prober.
func (a *asker) Probe(*health.Target) (health.Report, error) {
	a.asked.Add(1)
	time.Sleep(5 * time.Millisecond)
	r := a.report
	r.At = time.Now()
	return r, a.err
}

// newSet returns a set with one backend server, as the named instance of three
// sees it.
func newSet(self string, change func(n *fleet.Server)) (*health.Set, *health.Target) {
	v := fleet.View{Servers: map[string]fleet.Server{}, Instances: map[string]fleet.Instance{}}
	var n fleet.Server
	n.Name, n.Service, n.DataCentre, n.Address, n.Slots, n.Incarnation = "s", "a", "dc1", "a:1", 2, 1
	change(&n)
	v.Servers[n.Name] = n
	for _, name := range []string{"e1", "e2", "e3"} {
		var i fleet.Instance
		i.Name, i.DataCentre, i.Ready = name, "dc1", true
		v.Instances[name] = i
	}
	s := &health.Set{Self: snipefront.Instance{Name: self, DataCentre: "dc1"}}
	s.Update(time.Now(), v, &snipefront.Routing{Services: map[string]snipefront.Profile{"a": {Name: "a", WarmUpRate: 4}}})
	t, _ := s.Current("s")
	return s, t
}

// TestRefreshServesAllWhoAskMeanwhile shows that a look is shared, and for how long.
func TestRefreshServesAllWhoAskMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, target := newSet("e1", func(*fleet.Server) {})
		a := &asker{report: health.Report{Known: true, Slots: 2, Server: "s"}}
		for range 10 {
			go target.Refresh(t.Context(), a)
		}
		time.Sleep(20 * time.Millisecond)
		target.Refresh(t.Context(), a)
		if n := a.asked.Load(); n != 1 {
			t.Errorf("%d looks for choices at the same time, want 1", n)
		}
		time.Sleep(50 * time.Millisecond)
		target.Refresh(t.Context(), a)
		if n := a.asked.Load(); n != 2 {
			t.Errorf("%d looks after the first was old, want 2", n)
		}
	})
}

// TestUnreachableTargetIsLeftAlone shows that a target that does not answer, or
// whose address another one has, is not tried for a while.
func TestUnreachableTargetIsLeftAlone(t *testing.T) {
	for name, a := range map[string]*asker{
		"no answer":      {err: errors.New("refused")},
		"another server": {report: health.Report{Known: true, Slots: 2, Server: "other"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, target := newSet("e1", func(*fleet.Server) {})
				target.Refresh(t.Context(), a)
				if target.Available(time.Now()) {
					t.Error("it is tried at once")
				}
				time.Sleep(5 * time.Second)
				if !target.Available(time.Now()) {
					t.Error("it is never tried again")
				}
			})
		})
	}
}

// TestColdTargetGetsWhatItBears shows that one instance of all warms a cold target
// up, at its rate, and that a target which falls back into cold start is one again.
func TestColdTargetGetsWhatItBears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		warming, taken := 0, 0
		for _, self := range []string{"e1", "e2", "e3"} {
			s, target := newSet(self, func(n *fleet.Server) { n.ColdMillis = 10_000 })
			if !s.WarmsUp(target) {
				continue
			}
			warming++
			for range 1000 {
				if target.Reserve(time.Now(), target.Profile.WarmUpRate) {
					taken++
				}
				time.Sleep(time.Millisecond)
			}
		}
		if warming != 1 || taken < 4 || taken > 5 {
			t.Errorf("%d instances warm it up with %d requests in a second, want 1 with 4", warming, taken)
		}
		_, target := newSet("e1", func(*fleet.Server) {})
		if target.Snapshot(time.Now()).Cold {
			t.Error("a warm target counts as cold")
		}
		target.Refresh(t.Context(), &asker{report: health.Report{Known: true, Slots: 2, Cold: 2 * time.Second}})
		if !target.Snapshot(time.Now()).Cold {
			t.Error("a target that fell back into cold start counts as warm")
		}
		time.Sleep(3 * time.Second)
		if target.Snapshot(time.Now()).Cold {
			t.Error("a target stays cold without end")
		}
	})
}

// TestSetFollowsTheView shows which targets take requests, and that a target keeps
// what is known of it until it starts anew.
func TestSetFollowsTheView(t *testing.T) {
	var n fleet.Server
	n.Name, n.Service, n.DataCentre, n.Address, n.Slots, n.Incarnation = "s", "a", "dc1", "a:1", 2, 1
	r := &snipefront.Routing{Services: map[string]snipefront.Profile{"a": {Name: "a"}}}
	s := &health.Set{Self: snipefront.Instance{Name: "e1", DataCentre: "dc1"}}
	take := func(change func(n *fleet.Server), out ...string) *health.Target {
		next := n
		change(&next)
		v := fleet.View{Servers: map[string]fleet.Server{"s": next}, Out: map[string]bool{}}
		for _, d := range out {
			v.Out[d] = true
		}
		s.Update(time.Now(), v, r)
		t, takes := s.Current("s")
		if takes != (len(s.Candidates("a")) == 1) {
			panic("Current and Candidates differ")
		}
		if !takes {
			return nil
		}
		return t
	}
	first := take(func(*fleet.Server) {})
	first.Reserve(time.Now(), 0)
	if t2 := take(func(n *fleet.Server) { n.Sequence = 9 }); t2 == nil || t2.Snapshot(time.Now()).Running != 1 {
		t.Error("what is known was lost with a heartbeat")
	}
	if take(func(n *fleet.Server) { n.Draining = true }) != nil {
		t.Error("a leaving target takes requests")
	}
	if take(func(*fleet.Server) {}, "dc1") != nil {
		t.Error("a target of a data centre out of service takes requests")
	}
	if take(func(n *fleet.Server) { n.Service = "unknown" }) != nil {
		t.Error("a target of an unknown service takes requests")
	}
	if t2 := take(func(n *fleet.Server) { n.Incarnation = 2 }); t2 == nil || t2.Snapshot(time.Now()).Running != 0 {
		t.Error("a new start has requests of the old one")
	}
}

// TestSlowProbeSaysNothingOfTargetThatTellsNoLoad shows that a target whose health
// path waits for a slot like any request is not left alone for that.
func TestSlowProbeSaysNothingOfTargetThatTellsNoLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, target := newSet("e1", func(*fleet.Server) {})
		target.Refresh(t.Context(), &asker{report: health.Report{Healthy: true}})
		time.Sleep(2 * time.Second)
		target.Refresh(t.Context(), &asker{err: errors.WithMessage(health.ErrSlow, "no answer")})
		if !target.Available(time.Now()) {
			t.Error("it is left alone")
		}
	})
}

// TestFaultsAreForgotten shows that a target which failed a request is not avoided
// for long where it gets no other one to prove itself with.
func TestFaultsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, target := newSet("e1", func(*fleet.Server) {})
		target.Reserve(time.Now(), 0)
		target.Done(time.Now(), health.Faulty)
		first := target.Snapshot(time.Now()).Faults
		time.Sleep(15 * time.Second)
		if last := target.Snapshot(time.Now()).Faults; first == 0 || last > first/4 {
			t.Errorf("the share of faults is %.2f after a fault and %.2f 15s later", first, last)
		}
	})
}
