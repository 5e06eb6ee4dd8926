package snipefront_test

import (
	"testing"

	"github.com/snipefront/snipefront"
)

// TestParseVerdictDefaultsToMayHaveRun guards against an unknown text that is read as the
// guarantee NotRun, so that a request which may have run is sent once more.
func TestParseVerdictDefaultsToMayHaveRun(t *testing.T) {
	for _, v := range []snipefront.Verdict{snipefront.NotRun, snipefront.Ran, snipefront.MayHaveRun} {
		if got := snipefront.ParseVerdict(v.String()); got != v {
			t.Errorf("ParseVerdict(%q) = %v, want the verdict with this name", v.String(), got)
		}
	}
	if got := snipefront.ParseVerdict("not run"); got != snipefront.MayHaveRun {
		t.Errorf("unknown text parsed as %v, want may-have-run", got)
	}
}
