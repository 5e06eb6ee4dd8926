package serve_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/snipefront/snipefront/internal/daemon/serve"
)

// TestWaitIncludesCallsInFlight guards against a process that ends while a call is in flight, as
// soon as its servers have begun to stop: the caller of a control instance or a directory that
// is stopped as planned gets a closed connection instead of its answer.
func TestWaitIncludesCallsInFlight(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	begun, stopping := make(chan struct{}), make(chan struct{})
	var ended atomic.Bool
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-stopping
		// The listener is closed once the server has begun to stop.
		for {
			c, err := net.Dial("tcp", address)
			if err != nil {
				break
			}
			c.Close()
		}
		w.WriteHeader(http.StatusNoContent)
		ended.Store(true)
	})
	ctx, cancel := context.WithCancel(t.Context())
	g := &serve.Group{Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	if err := g.HTTP(ctx, "calls", address, h); err != nil {
		t.Fatal(err)
	}
	status := make(chan int, 1)
	go func() {
		r, err := http.Get("http://" + address)
		if err != nil {
			status <- 0
			return
		}
		r.Body.Close()
		status <- r.StatusCode
	}()
	<-begun
	cancel()
	close(stopping)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if !ended.Load() {
		t.Error("Wait returned while a call was in flight")
	}
	if s := <-status; s != http.StatusNoContent {
		t.Errorf("the call in flight got status %d, want 204", s)
	}
}
