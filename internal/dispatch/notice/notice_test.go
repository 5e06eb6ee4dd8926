package notice_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/dispatch/notice"
)

// TestPauseIsParsed guards against a pause that is ignored since it has a fraction, and one
// that lasts for ever, or ends at once, since its length is absurd.
func TestPauseIsParsed(t *testing.T) {
	const longest = 10 * time.Minute
	for text, test := range map[string]struct {
		status int
		want   time.Duration
		err    error
	}{
		"2":                             {503, 2 * time.Second, nil},
		"0.25":                          {503, 250 * time.Millisecond, nil},
		" 1.5 ":                         {503, 1500 * time.Millisecond, nil},
		"0":                             {503, 0, nil},
		"":                              {503, 0, nil},
		"600.5":                         {503, longest, notice.ErrPauseTooLong},
		"1e300":                         {503, longest, notice.ErrPauseTooLong},
		"1e999":                         {503, longest, notice.ErrPauseTooLong},
		"Inf":                           {503, longest, notice.ErrPauseTooLong},
		"-1":                            {503, 0, notice.ErrPauseUnreadable},
		"NaN":                           {503, 0, notice.ErrPauseUnreadable},
		"soon":                          {503, 0, notice.ErrPauseUnreadable},
		"Wed, 21 Oct 2026 07:28:00 GMT": {503, 0, notice.ErrPauseUnreadable},
		"3":                             {429, 0, nil},
		"4":                             {200, 0, nil},
	} {
		n, err := notice.Parse("Leaving", test.status, http.Header{"Retry-After": {text}})
		if n.Pause != test.want || !errors.Is(err, test.err) {
			t.Errorf("%q with status %d asks for %v, %v, want %v, %v", text, test.status, n.Pause, err, test.want, test.err)
		}
	}
}
