package cell_test

import (
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
	"github.com/snipefront/snipefront/internal/dispatch/notice"
	"github.com/snipefront/snipefront/internal/dispatch/picker"
)

// TestNoticeLastsForTheIncarnation guards against a backend server that has said that it
// drains, or asked for a pause, and gets requests or probes again: after its announcement,
// after its announcements had ended for a while, or at another address; and against a new
// incarnation that gets none.
func TestNoticeLastsForTheIncarnation(t *testing.T) {
	for name, n := range map[string]notice.Notice{"draining": {Draining: true}, "pause": {Pause: time.Minute}} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			c := &cell.Cell{Picker: picker.Free{}}
			announce := func(incarnation uint64, address string, expires time.Duration) snipefront.BackendServer {
				b := snipefront.BackendServer{Name: "s", Incarnation: incarnation, Address: address, Slots: 2, Expires: now.Add(expires)}
				c.Announce(now, b)
				return b
			}
			receives := func() bool {
				s, err := c.Acquire(t.Context(), cell.SlotRequest{Deadline: now.Add(time.Hour)})
				if err == nil {
					s.Done(cell.Canceled)
				}
				return err == nil
			}
			first := announce(5, "x", time.Second)
			c.Open(now)
			if !receives() {
				t.Fatal("it receives no requests")
			}
			c.Hear(now, first, n)
			if receives() || c.Probe(now.Add(30*time.Second)) != nil {
				t.Error("it receives requests or probes")
			}
			c.Expire(now.Add(2 * time.Second))
			announce(5, "x", time.Hour)
			announce(5, "y", time.Hour)
			if receives() {
				t.Error("it receives requests after it was announced again")
			}
			announce(6, "y", time.Hour)
			if !receives() {
				t.Error("a new incarnation receives none")
			}
			c.Hear(now, first, n)
			if !receives() {
				t.Error("a late answer of an earlier incarnation counts")
			}
		})
	}
}
