package pipe_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/pipe"
)

// TestStopWaitsForConnectionsThatListenerAccepts guards against a stop that finds no connection
// left while its listener still accepts those that callers have opened: it cut them off at once.
func TestStopWaitsForConnectionsThatListenerAccepts(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := gatedListener{TCPListener: tcp.(*net.TCPListener), open: make(chan struct{})}
	s := &pipe.Server{Handler: handler(echo), Limits: func() snipefront.CallerLimits { return limits }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	ask(t, c, "/1")
	for !s.Accepting() {
		time.Sleep(time.Millisecond)
	}
	s.Drain()
	s.CloseListener()
	close(l.open)
	answered := make(chan error, 1)
	go func() {
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			r.Body.Close()
		}
		c.Close()
		answered <- err
	}()
	for s.Accepting() || s.CloseIdle() > 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-answered; err != nil {
		t.Errorf("no answer: %v", err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
