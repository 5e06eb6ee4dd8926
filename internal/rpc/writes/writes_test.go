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
	// rounds is the number of races that are run.
	rounds = 500
	// limit bounds a wait that only a hanging test reaches.
	limit = 20 * time.Second
)

// pair returns a watched connection and the bytes that its other end reads
// until it is closed.
func pair(t *testing.T) (net.Conn, <-chan []byte) {
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
	c, err := writes.Dialer(limit)(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return c, arrived
}

// TestSealedConnectionCarriesNothing asks a probe while the request is being
// written. Where the probe says that nothing was written, nothing arrives.
func TestSealedConnectionCarriesNothing(t *testing.T) {
	for i := range rounds {
		c, arrived := pair(t)
		var p writes.Tracker
		trace := httptrace.ContextClientTrace(p.With(context.Background()))
		trace.GotConn(httptrace.GotConnInfo{Conn: c})
		if i == 0 && p.Wrote() {
			t.Error("written before any write")
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
		wrote := p.Wrote()
		if !wrote {
			_, _ = c.Write([]byte("later"))
		}
		c.Close()
		<-done
		<-done
		if b := <-arrived; !wrote && len(b) > 0 {
			t.Fatalf("%q arrived after the probe said that nothing was written", b)
		}
	}
}
