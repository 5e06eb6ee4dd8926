package direct_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/budget"
	"github.com/snipefront/snipefront/internal/stand/model"
)

// TestColdAgainIsKnownToAll guards against a backend server that becomes cold again and is
// overloaded until its next heartbeat, by the instances that have no load probe left to
// find out: the first that does must tell them.
func TestColdAgainIsKnownToAll(t *testing.T) {
	const heartbeat = 1500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(limitedSize{instances: 85, servers: 4, slots: 2})
		p := f.routing.Services[service]
		p.WarmUpRate = 3.7
		f.routing.Services[service] = p
		f.update(func(*fleet.View) {})
		for _, d := range f.dispatchers {
			d.Probes = &budget.Probes{PerSecond: probeRate}
			d.Probes.SetFleet(time.Now(), 4, 85)
		}
		time.AfterFunc(5*time.Second, func() {
			f.servers.Set("s0", model.Condition{ColdUntil: time.Now().Add(4 * time.Second)})
			time.AfterFunc(heartbeat, func() {
				f.update(func(v *fleet.View) {
					n := v.Servers["s0"]
					n.ColdMillis = 2500
					v.Servers["s0"] = n
				})
			})
		})
		f.run(t, 10*time.Second, 200)
		t.Logf("%d requests within a second", f.servers.MaxColdRate)
		if most := 3.7*1.5 + 5; float64(f.servers.MaxColdRate) > most {
			t.Errorf("a cold backend server received %d requests within a second, want %.0f at most", f.servers.MaxColdRate, most)
		}
	})
}
