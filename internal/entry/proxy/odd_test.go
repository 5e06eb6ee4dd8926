package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
)

// TestOddRemainingTimeIsIgnored guards against a request that is refused at once since its
// caller says that it waits for a time that can't be, and against other callers whose requests
// count as late for it.
func TestOddRemainingTimeIsIgnored(t *testing.T) {
	for _, remaining := range []string{"1e300", "1e13", "3600001", "9223372036855", "9223372036854775807", "1e400", "Inf", "+Inf", "-Inf", "NaN", "-1e300", "-0.5", "500ms"} {
		s := &sender{response: &snipefront.Response{Status: http.StatusOK}}
		p := newProxy(t, s)
		r := request(t, "/p/1", "Remaining: "+remaining)
		p.Handle(t.Context(), r)
		if got := s.call.Deadline.Sub(r.Read); got != 800*time.Millisecond {
			t.Errorf("with the remaining time %q the deadline is %v after the request, want that of the route, 800ms", remaining, got)
		}
		next := request(t, "/p/1", "Remaining: 500")
		p.Handle(t.Context(), next)
		if got := s.call.Goal.Sub(next.Read); got != 300*time.Millisecond {
			t.Errorf("after the remaining time %q the goal of the next caller is %v after its request, want 300ms", remaining, got)
		}
	}
}
