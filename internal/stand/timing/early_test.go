package timing_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/stand/rawtcp"
	"github.com/snipefront/snipefront/internal/stand/timing"
)

// TestResetBeforeRequestFails guards against a measurement that takes a part of an answer without a length
// for a whole one: the connection was reset before the request was written, whose write then took the
// error. Which call takes it is chance.
func TestResetBeforeRequestFails(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go rawtcp.Serve(l, rawtcp.ResetAtOnce("HTTP/1.1 200 OK\r\n\r\npart"))
	m := timing.Measurement{Addresses: []string{l.Addr().String()}, Method: http.MethodGet, Rate: 500, Length: time.Second}
	targets, calls := m.Run(t.Context())
	if failed := targets[0].Failed; failed != calls {
		t.Errorf("%d of %d calls failed, want all", failed, calls)
	}
}
