package cells_test

import (
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/cells"
)

// TestAnnouncementsStayFew shows that the announcements that arrive do not grow
// with the backend servers, up to the longest lease.
func TestAnnouncementsStayFew(t *testing.T) {
	for _, servers := range []int{0, 1, 3, 4, 34, 100, 120, 1000} {
		l := cells.LeaseFor(servers)
		if l < 3*time.Second || l > 2*time.Minute {
			t.Errorf("%d backend servers: a lease of %v", servers, l)
		}
		rate := float64(3*servers) / l.Seconds()
		if servers <= 120 && rate > 3.001 {
			t.Errorf("%d backend servers: %.1f announcements a second", servers, rate)
		}
	}
}
