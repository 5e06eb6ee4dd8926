package snipefront_test

import (
	"testing"

	"github.com/snipefront/snipefront"
)

func TestParseVerdictDefaultsToMayHaveRun(t *testing.T) {
	for _, v := range []snipefront.Verdict{snipefront.NotRun, snipefront.Ran, snipefront.MayHaveRun} {
		if got := snipefront.ParseVerdict(v.String()); got != v {
			t.Errorf("ParseVerdict(%q) = %v", v.String(), got)
		}
	}
	if got := snipefront.ParseVerdict("not run"); got != snipefront.MayHaveRun {
		t.Errorf("unknown text parsed as %v", got)
	}
}
