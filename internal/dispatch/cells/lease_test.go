package cells_test

import (
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/cells"
)

// TestAnnouncementRateIsBounded guards against announcements that overload an instance:
// their rate stays at 3 per second or less, however many backend servers there are, up
// to the number at which the longest lease is reached.
func TestAnnouncementRateIsBounded(t *testing.T) {
	for _, servers := range []int{0, 1, 3, 4, 34, 100, 120, 1000} {
		l := cells.LeaseFor(servers)
		if l < 3*time.Second || l > 2*time.Minute {
			t.Errorf("%d backend servers: lease of %v, want 3s to 2m", servers, l)
		}
		rate := float64(3*servers) / l.Seconds()
		if servers <= 120 && rate > 3.001 {
			t.Errorf("%d backend servers: %.1f announcements per second, want at most 3", servers, rate)
		}
	}
}
