package poison_test

import (
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/request/poison"
)

// versioned returns an incarnation that runs the version of a service.
func versioned(service, name, version string) poison.Server {
	return poison.Server{Service: service, DataCentre: "d", Name: name, Incarnation: 1, Version: version}
}

// crashAll records that the request 7 crashed the backend servers.
func crashAll(g *poison.Register, servers ...poison.Server) {
	for _, s := range servers {
		g.ConnectionBroke(start, 7, s)
		g.Crashed(start, s)
	}
}

// TestAnswerReleasesOnlyItsSoftware guards against a request that crashes the backend servers
// of one version, or of one service, and is released by the answer of another.
func TestAnswerReleasesOnlyItsSoftware(t *testing.T) {
	a1, b1 := versioned("s", "a", "v2"), versioned("s", "b", "v2")
	for name, test := range map[string]struct {
		by        poison.Server
		want      poison.Admission
		provenOld bool
	}{
		"the version that crashed": {versioned("s", "c", "v2"), poison.Clear, false},
		"a version not known":      {versioned("s", "c", ""), poison.Clear, false},
		"another version":          {versioned("s", "c", "v1"), poison.Quarantined, true},
		"another service":          {versioned("r", "c", "v2"), poison.Quarantined, false},
	} {
		t.Run(name, func(t *testing.T) {
			var g, other poison.Register
			g.Spread = sharer{&other}
			crashAll(&g, a1, b1)
			now := start.Add(time.Second)
			g.Answered(now, 7, poison.Answer{Server: test.by, Status: 200, Signed: true})
			for _, r := range []*poison.Register{&g, &other} {
				expectAdmission(t, r, now, 7, test.want)
				if got := r.Proven(7, poison.Software{Service: "s", Version: "v1"}); got != test.provenOld {
					t.Errorf("the old version is proven: %v, want %v", got, test.provenOld)
				}
				if r.Proven(7, a1.Software()) {
					t.Error("the version that crashed is proven")
				}
			}
		})
	}
}

// TestCrashEndsProof guards against a request that may run on software which has answered it
// and crashes by it since.
func TestCrashEndsProof(t *testing.T) {
	var g poison.Register
	old := versioned("s", "c", "v1")
	crashAll(&g, versioned("s", "a", "v2"), versioned("s", "b", "v2"))
	g.Answered(start, 7, poison.Answer{Server: old, Status: 200, Signed: true})
	later := start.Add(4 * time.Second)
	g.ConnectionBroke(later, 7, old)
	g.Crashed(later, old)
	if g.Proven(7, old.Software()) {
		t.Error("the software is still proven after it crashed")
	}
}
