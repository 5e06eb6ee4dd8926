package health_test

import (
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/dispatch/notice"
)

// sharedDraining records which backend servers are shared as draining.
type sharedDraining struct {
	health.Sharer
	names []string
}

func (s *sharedDraining) ShareDraining(n fleet.Server) { s.names = append(s.names, n.Name) }

// TestOnlyNewIncarnationEndsNotice guards against a backend server that has said that it
// drains, or asked for a pause, and gets requests again since the fleet says that it is
// ready, lost it for a while, or has moved its address; and against a new incarnation that
// gets none.
func TestOnlyNewIncarnationEndsNotice(t *testing.T) {
	server := func(name string, incarnation uint64, address string) fleet.Server {
		var n fleet.Server
		n.Name, n.Service, n.Incarnation, n.Address, n.Slots = name, "a", incarnation, address, 2
		return n
	}
	routing := &snipefront.Routing{Services: map[string]snipefront.ServiceProfile{"a": {Name: "a"}}}
	for name, test := range map[string]struct {
		later fleet.Server
		want  bool
	}{
		"ready again":          {server("s", 5, "x"), false},
		"new incarnation":      {server("s", 6, "x"), true},
		"another name":         {server("r", 6, "x"), true},
		"a different address":  {server("s", 5, "y"), false},
		"an older incarnation": {server("s", 4, "x"), true},
	} {
		for _, lostBefore := range []bool{false, true} {
			for _, n := range []notice.Notice{{Draining: true}, {Pause: time.Minute}} {
				shared := &sharedDraining{}
				set := &health.Set{Sharer: shared}
				update := func(list ...fleet.Server) {
					v := fleet.View{Servers: map[string]fleet.Server{}}
					for _, n := range list {
						v.Servers[n.Name] = n
					}
					set.Update(time.Now(), v, routing)
				}
				update(server("s", 5, "x"))
				target, _ := set.Current("s")
				target.Hear(n)
				target.Hear(n)
				if lostBefore {
					update()
				}
				update(test.later)
				got, accepts := set.Current(test.later.Name)
				if receives := accepts && got.Available(time.Now()); receives != test.want {
					t.Errorf("%s, lost before: %v, after %+v: it receives requests: %v, want %v", name, lostBefore, n, receives, test.want)
				}
				if n.Draining && len(shared.names) != 1 {
					t.Errorf("shared %d times, want once", len(shared.names))
				}
			}
		}
	}
}

// TestFirstRequestAfterPauseIsAlone guards against many requests that reach a backend server
// at the moment at which its pause ends.
func TestFirstRequestAfterPauseIsAlone(t *testing.T) {
	set := &health.Set{}
	var n fleet.Server
	n.Name, n.Service, n.Slots = "s", "a", 4
	set.Update(time.Now(), fleet.View{Servers: map[string]fleet.Server{"s": n}}, &snipefront.Routing{Services: map[string]snipefront.ServiceProfile{"a": {Name: "a"}}})
	target, _ := set.Current("s")
	target.Hear(notice.Notice{Pause: time.Second})
	reserve := func(after time.Duration) bool {
		return target.Reserve(time.Now().Add(after), 0, health.Priority{})
	}
	if reserve(900 * time.Millisecond) {
		t.Error("a request is admitted in the pause")
	}
	if !reserve(2*time.Second) || reserve(2*time.Second) {
		t.Error("after the pause not exactly one request is admitted")
	}
	target.Done(time.Now().Add(2*time.Second), health.Answered)
	for range 2 {
		if !reserve(2 * time.Second) {
			t.Error("a request is not admitted after the first has been answered")
		}
	}
}
