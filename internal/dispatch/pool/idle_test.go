package pool_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/pool"
)

// TestOddIdleTimeoutIsIgnored guards against connections that are closed after a quarter of a
// second, since a backend server names an idle timeout that is no number of seconds or a
// number too large.
func TestOddIdleTimeoutIsIgnored(t *testing.T) {
	const pause = 400 * time.Millisecond
	for _, field := range []string{
		"timeout=60", "timeout=9223372036854775807", "timeout=9223372037", "timeout=1e300", "timeout=-5", "timeout=0", "timeout=", "timeout",
		"timeout=9223372036854775808", "timeout=soon", "max=5", "max=5, timeout=9223372036854775807",
	} {
		t.Run(field, func(t *testing.T) {
			t.Parallel()
			address := serve(t, serveAnswers(func(c net.Conn, id string) {
				_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: %s\r\nContent-Length: 2\r\n\r\nok", id, field))
			}))
			p := &pool.Pool{}
			if _, _, err := exchange(t, p, address, "0"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(pause)
			if _, reused, err := exchange(t, p, address, "1"); err != nil || !reused {
				t.Errorf("after %v the connection is reused: %v, error %v, want it reused", pause, reused, err)
			}
		})
	}
}
