package writes_test

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/snipefront/snipefront/internal/rpc/writes"
)

// TestNextRequestKeepsRecordOfWrite guards against a request that was sent and is said not to
// have run. The transport hands its connection to the next request as soon as an answer has
// arrived, which may turn out to belong to another request. The next request must not be
// disturbed, and must not change what is known of the first.
func TestNextRequestKeepsRecordOfWrite(t *testing.T) {
	client, server := net.Pipe()
	c, err := writes.Wrap(func(context.Context, string, string) (net.Conn, error) { return client, nil })(t.Context(), "", "")
	if err != nil {
		t.Fatal(err)
	}
	arrived := make(chan []byte, 1)
	go func() {
		b, _ := io.ReadAll(server)
		arrived <- b
	}()
	go func() { _, _ = c.Read(make([]byte, 1)) }()
	var first, second writes.Tracker
	httptrace.ContextClientTrace(first.With(t.Context())).GotConn(httptrace.GotConnInfo{Conn: c})
	if _, err := c.Write([]byte("first")); err != nil {
		t.Fatal(err)
	}
	httptrace.ContextClientTrace(second.With(t.Context())).GotConn(httptrace.GotConnInfo{Conn: c, Reused: true})
	if !first.Wrote() {
		t.Error("the first request counts as not sent")
	}
	if _, err := c.Write([]byte(" second")); err != nil {
		t.Errorf("the second request failed: %v", err)
	}
	if !second.Wrote() {
		t.Error("the second request counts as not sent")
	}
	c.Close()
	if b := <-arrived; string(b) != "first second" {
		t.Errorf("%q arrived", b)
	}
}
