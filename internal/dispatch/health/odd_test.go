package health_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/health"
)

// TestOddWarmUpIsIgnored guards against a backend server that stays cold for ever, or isn't
// cold on one kind of machine only, since an answer to a load probe had a number too large.
func TestOddWarmUpIsIgnored(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"1500": 1500 * time.Millisecond, " 1500": 0, "3600000": snipefront.MaxWarmUp, "3600001": 0, "1e12": 0, "1e300": 0, "1e400": 0,
		"Inf": 0, "NaN": 0, "-1": 0, "-1e300": 0, "0": 0, "": 0, "soon": 0,
	} {
		if r := health.ParseReport(fields, http.StatusOK, http.Header{"Cold": {text}}, time.Now()); r.Cold != want {
			t.Errorf("with %q the warm-up takes %v, want %v", text, r.Cold, want)
		}
	}
}

// TestOddLoadIsIgnored guards against a backend server that looks idle, since the sum of the
// numbers in its load report overflows, or that gets no requests for a slowdown that can't be.
func TestOddLoadIsIgnored(t *testing.T) {
	for _, text := range []string{
		"9223372036854775807,1,8", "1,9223372036854775807,8", "1000001,0,8", "0,1000001,8", "0,0,10001", "0,0,9223372036854775807",
		"0,0,8,9223372036854775807", "0,0,8,1000001", "0,0,8,-1", "1e3,0,8", "9223372036854775808,0,8", "3,1,8,x", ",,", "1;0;8",
	} {
		if r := health.ParseReport(fields, http.StatusOK, http.Header{"Load": {text}}, time.Now()); r.Known {
			t.Errorf("load %q is taken for %+v, want it ignored", text, r)
		}
	}
	if r := health.ParseReport(fields, http.StatusOK, http.Header{"Load": {"1000000,1000000,10000,1000000"}}, time.Now()); !r.Known {
		t.Error("the largest load is ignored")
	}
}

// TestColdRegistrationEnds guards against a backend server that stays cold for ever by a
// registration that an earlier build let in.
func TestColdRegistrationEnds(t *testing.T) {
	for _, millis := range []int64{9_223_372_036_854, 1 << 62, 1_000_000_000_000_000} {
		synctest.Test(t, func(t *testing.T) {
			_, target := newSet("e1", func(n *fleet.Server) { n.ColdMillis = millis })
			if !target.Snapshot(time.Now()).Cold {
				t.Errorf("with a warm-up of %d ms the target is warm", millis)
			}
			time.Sleep(snipefront.MaxWarmUp)
			if target.Snapshot(time.Now()).Cold {
				t.Errorf("with a warm-up of %d ms the target is still cold after %v", millis, snipefront.MaxWarmUp)
			}
		})
	}
}
