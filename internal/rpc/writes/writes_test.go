package writes_test

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/rpc/writes"
)

const (
	// rounds is how often the test races Wrote against Write.
	rounds = 500
	// testTimeout bounds each wait of a test. Only a test that hangs reaches it.
	testTimeout = 20 * time.Second
)

// dialPair returns a connection and a channel. The channel receives the bytes that the
// other end has read when the connection is closed.
func dialPair(t *testing.T) (net.Conn, <-chan []byte) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	arrived := make(chan []byte, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			arrived <- nil
			return
		}
		defer c.Close()
		b, _ := io.ReadAll(c)
		arrived <- b
	}()
	c, err := writes.Dialer(testTimeout)(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return c, arrived
}

// TestSealedConnectionCarriesNothing calls Wrote while the request is being written.
// If Wrote returns false, no byte may arrive, since the request counts as not run.
func TestSealedConnectionCarriesNothing(t *testing.T) {
	for i := range rounds {
		c, arrived := dialPair(t)
		var tracker writes.Tracker
		trace := httptrace.ContextClientTrace(tracker.With(context.Background()))
		trace.GotConn(httptrace.GotConnInfo{Conn: c})
		if i == 0 && tracker.Wrote() {
			t.Error("Wrote returned true before any write")
		}
		done := make(chan struct{}, 2)
		go func() {
			_, _ = c.Read(make([]byte, 1))
			done <- struct{}{}
		}()
		go func() {
			_, _ = c.Write([]byte("x"))
			done <- struct{}{}
		}()
		wrote := tracker.Wrote()
		if !wrote {
			_, _ = c.Write([]byte("later"))
		}
		c.Close()
		<-done
		<-done
		if b := <-arrived; !wrote && len(b) > 0 {
			t.Fatalf("%q arrived after Wrote returned false", b)
		}
	}
}
