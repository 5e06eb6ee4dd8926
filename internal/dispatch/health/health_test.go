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

var fields = snipefront.HeaderFields{Load: "Load", Cold: "Cold", Server: "Server"}

// TestParseReport checks what is parsed from the answer to a load probe, and that a
// malformed load is ignored as a whole.
func TestParseReport(t *testing.T) {
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
		r := health.ParseReport(fields, http.StatusOK, http.Header{"Load": {c.load}}, time.Now())
		if r.Known != c.known || r.Running != c.running || r.Waiting != c.waiting || r.Slots != c.slots || r.Pace != c.pace {
			t.Errorf("load %q is parsed as %+v, want it known only if valid, with the numbers in it", c.load, r)
		}
	}
	r := health.ParseReport(fields, http.StatusServiceUnavailable, http.Header{"Cold": {"1500"}, "Server": {"s"}}, time.Now())
	if r.Healthy || r.Cold != 1500*time.Millisecond || r.Server != "s" {
		t.Errorf("the report is %+v, want unhealthy, cold for 1.5s, from server s", r)
	}
}

// countingProber counts probes and answers each with the same report or error.
type countingProber struct {
	probes atomic.Int64
	report health.Report
	err    error
}

// Probe implements health.Prober.
func (p *countingProber) Probe(*health.Target) (health.Report, error) {
	p.probes.Add(1)
	time.Sleep(5 * time.Millisecond)
	r := p.report
	r.At = time.Now()
	return r, p.err
}

// newSet returns a set with one backend server, as the named one of three instances
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
	s.Update(time.Now(), v, &snipefront.Routing{Services: map[string]snipefront.ServiceProfile{"a": {Name: "a", WarmUpRate: 4}}})
	t, _ := s.Current("s")
	return s, t
}

// always allows every probe.
func always() bool { return true }

// TestConcurrentRefreshesShareOneProbe guards against a probe per choice: choices at
// the same time, or within the lifetime of a load report, share one probe, and a
// later choice causes another.
func TestConcurrentRefreshesShareOneProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, target := newSet("e1", func(*fleet.Server) {})
		p := &countingProber{report: health.Report{Known: true, Slots: 2, Server: "s"}}
		for range 10 {
			go target.Refresh(t.Context(), p, always)
		}
		time.Sleep(20 * time.Millisecond)
		target.Refresh(t.Context(), p, always)
		if n := p.probes.Load(); n != 1 {
			t.Errorf("%d probes for concurrent choices, want 1", n)
		}
		time.Sleep(50 * time.Millisecond)
		target.Refresh(t.Context(), p, always)
		if n := p.probes.Load(); n != 2 {
			t.Errorf("%d probes after the first report expired, want 2", n)
		}
	})
}

// TestUnreachableTargetIsUnavailableDuringBackoff guards against choosing a target
// that does not answer, or whose address another backend server has taken, and
// against never trying it again.
func TestUnreachableTargetIsUnavailableDuringBackoff(t *testing.T) {
	for name, p := range map[string]*countingProber{
		"no answer":      {err: errors.New("refused")},
		"another server": {report: health.Report{Known: true, Slots: 2, Server: "other"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, target := newSet("e1", func(*fleet.Server) {})
				target.Refresh(t.Context(), p, always)
				if target.Available(time.Now()) {
					t.Error("target is available immediately after a failed probe")
				}
				time.Sleep(5 * time.Second)
				if !target.Available(time.Now()) {
					t.Error("target is still unavailable after 5s")
				}
			})
		})
	}
}

// TestColdTargetIsWarmedUpByOneInstanceAtItsRate guards against overloading a cold
// target: exactly one instance sends requests to it, at its warm-up rate, and a
// target that reports itself cold again counts as cold until that time is over.
func TestColdTargetIsWarmedUpByOneInstanceAtItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		warming, accepted := 0, 0
		for _, self := range []string{"e1", "e2", "e3"} {
			s, target := newSet(self, func(n *fleet.Server) { n.ColdMillis = 10_000 })
			if !s.WarmsUp(target) {
				continue
			}
			warming++
			for range 1000 {
				if target.Reserve(time.Now(), target.Profile.WarmUpRate, health.Priority{}) {
					accepted++
				}
				time.Sleep(time.Millisecond)
			}
		}
		if warming != 1 || accepted < 4 || accepted > 5 {
			t.Errorf("%d instances warm up the target with %d requests in a second, want 1 with 4", warming, accepted)
		}
		_, target := newSet("e1", func(*fleet.Server) {})
		if target.Snapshot(time.Now()).Cold {
			t.Error("a warm target counts as cold")
		}
		target.Refresh(t.Context(), &countingProber{report: health.Report{Known: true, Slots: 2, Cold: 2 * time.Second}}, always)
		if !target.Snapshot(time.Now()).Cold {
			t.Error("a target that reports itself cold again counts as warm")
		}
		time.Sleep(3 * time.Second)
		if target.Snapshot(time.Now()).Cold {
			t.Error("a target is still cold after its reported cold time")
		}
	})
}

// TestUpdateKeepsStateOfSameIncarnation checks that a heartbeat does not reset the
// counts of a target while a new incarnation does. It also checks that targets that
// are draining, in a data centre out of service or of an unknown service accept no
// requests.
func TestUpdateKeepsStateOfSameIncarnation(t *testing.T) {
	var n fleet.Server
	n.Name, n.Service, n.DataCentre, n.Address, n.Slots, n.Incarnation = "s", "a", "dc1", "a:1", 2, 1
	r := &snipefront.Routing{Services: map[string]snipefront.ServiceProfile{"a": {Name: "a"}}}
	s := &health.Set{Self: snipefront.Instance{Name: "e1", DataCentre: "dc1"}}
	update := func(change func(n *fleet.Server), out ...string) *health.Target {
		next := n
		change(&next)
		v := fleet.View{Servers: map[string]fleet.Server{"s": next}, Out: map[string]bool{}}
		for _, d := range out {
			v.Out[d] = true
		}
		s.Update(time.Now(), v, r)
		t, accepts := s.Current("s")
		if accepts != (len(s.Candidates("a")) == 1) {
			panic("Current and Candidates differ")
		}
		if !accepts {
			return nil
		}
		return t
	}
	first := update(func(*fleet.Server) {})
	first.Reserve(time.Now(), 0, health.Priority{})
	if t2 := update(func(n *fleet.Server) { n.Sequence = 9 }); t2 == nil || t2.Snapshot(time.Now()).Running != 1 {
		t.Error("counts were lost with a heartbeat")
	}
	if update(func(n *fleet.Server) { n.Draining = true }) != nil {
		t.Error("a draining target accepts requests")
	}
	if update(func(*fleet.Server) {}, "dc1") != nil {
		t.Error("a target of a data centre out of service accepts requests")
	}
	if update(func(n *fleet.Server) { n.Service = "unknown" }) != nil {
		t.Error("a target of an unknown service accepts requests")
	}
	if t2 := update(func(n *fleet.Server) { n.Incarnation = 2 }); t2 == nil || t2.Snapshot(time.Now()).Running != 0 {
		t.Error("a new incarnation counts requests of the old one")
	}
}

// TestProbeTimeoutIsIgnoredForTargetWithoutLoadReports guards against avoiding a
// target that is only busy: if it reports no load, its health path may wait for a
// free slot like any request.
func TestProbeTimeoutIsIgnoredForTargetWithoutLoadReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, target := newSet("e1", func(*fleet.Server) {})
		target.Refresh(t.Context(), &countingProber{report: health.Report{Healthy: true}}, always)
		time.Sleep(2 * time.Second)
		target.Refresh(t.Context(), &countingProber{err: errors.WithMessage(health.ErrProbeTimeout, "no answer")}, always)
		if !target.Available(time.Now()) {
			t.Error("target is unavailable after a probe timeout")
		}
	})
}

// TestFaultShareDecaysWithoutRequests guards against avoiding a target for long
// after a failed request: as long as it is avoided, it receives no request whose
// success could lower its fault share.
func TestFaultShareDecaysWithoutRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, target := newSet("e1", func(*fleet.Server) {})
		target.Reserve(time.Now(), 0, health.Priority{})
		target.Done(time.Now(), health.Faulty)
		first := target.Snapshot(time.Now()).Faults
		time.Sleep(15 * time.Second)
		if last := target.Snapshot(time.Now()).Faults; first == 0 || last > first/4 {
			t.Errorf("fault share %.2f after a fault and %.2f 15s later, want at most a quarter of it", first, last)
		}
	})
}

// TestTargetWithoutLoadReportsIsProbedBeforeItIsOverloaded guards against a backend server
// that doesn't report its load, becomes cold again and gets requests as a warm one does for
// as long as the last answer to a probe counts: it crashes. Before this instance has sent
// more than its part of a warm-up, it must have started a further probe, for which requests
// don't wait.
func TestTargetWithoutLoadReportsIsProbedBeforeItIsOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, target := newSet("e1", func(*fleet.Server) {})
		p := &countingProber{report: health.Report{Healthy: true}}
		target.Refresh(t.Context(), p, always)
		// Three instances share the four requests per second of a warm-up.
		for range 2 {
			target.Reserve(time.Now(), 0, health.Priority{})
		}
		p.report.Cold = 2 * time.Second
		begun := time.Now()
		target.Refresh(t.Context(), p, always)
		if waited := time.Since(begun); waited > 0 {
			t.Errorf("a choice waited %v for the probe", waited)
		}
		synctest.Wait()
		time.Sleep(20 * time.Millisecond)
		if n := p.probes.Load(); n != 2 {
			t.Errorf("%d probes after the part of a warm-up was sent, want 2", n)
		}
		if !target.Snapshot(time.Now()).Cold {
			t.Error("the target counts as warm")
		}
	})
}
