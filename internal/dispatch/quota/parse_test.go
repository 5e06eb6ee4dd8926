package quota_test

import (
	"testing"

	"github.com/snipefront/snipefront/internal/dispatch/quota"
)

// TestOddLimitIsUnreadable guards against a rate limit that is taken from text which names no
// usable number, and against one that ends since an answer had such a text.
func TestOddLimitIsUnreadable(t *testing.T) {
	for text, want := range map[string]float64{"0": 0, "2.5": 2.5, " 3 ": 3, "1e3": 1000, "1000000000": 1e9} {
		if s, err := quota.Parse([]string{text}); err != nil || s.RateLimit != named(want) {
			t.Errorf("%q is taken for %+v, %v, want %g", text, s, err, want)
		}
	}
	for _, text := range []string{"-1", "-0.001", "1e9.5", "1000000001", "1e300", "1e400", "Inf", "-Inf", "NaN", "", "many", "2,3", "2/s"} {
		if s, err := quota.Parse([]string{text}); err == nil || s.Readable {
			t.Errorf("%q is taken for %+v, want an error", text, s)
		}
	}
	if s, err := quota.Parse([]string{"2", "1e300"}); err == nil || s.Readable {
		t.Errorf("a limit beside an odd one is taken for %+v, want an error", s)
	}
}
