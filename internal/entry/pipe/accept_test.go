package pipe_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
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

// gatedListener accepts nothing until open is closed.
type gatedListener struct {
	*net.TCPListener
	open chan struct{}
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	<-l.open
	return l.TCPListener.Accept()
}

// TestOpenedConnectionsAreServedAfterListenerCloses guards against requests on connections
// that callers have opened, and that this instance has not accepted yet when it closes its
// listener: the kernel resets them.
func TestOpenedConnectionsAreServedAfterListenerCloses(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := gatedListener{TCPListener: tcp.(*net.TCPListener), open: make(chan struct{})}
	s := &pipe.Server{Handler: handler(echo), Limits: func() snipefront.CallerLimits { return limits }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(t.Context(), l) }()
	var conns []net.Conn
	for range 5 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		ask(t, c, "/1")
		conns = append(conns, c)
	}
	s.CloseListener()
	close(l.open)
	for _, c := range conns {
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("no answer: %v", err)
			continue
		}
		r.Body.Close()
	}
	awaitClosed(t, l.Addr())
	for _, c := range conns {
		c.Close()
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestNewConnectionIsNotIdle guards against a stop that closes a connection as idle as soon as
// it is accepted, while the request for which its caller has opened it is on its way.
func TestNewConnectionIsNotIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, far := serveOnPipe(t, handler(echo))
		synctest.Wait()
		s.Drain()
		if n := s.CloseIdle(); n != 1 {
			t.Errorf("%d connections are busy, want the new one", n)
		}
		ask(t, far, "/1")
		if r, _ := read(t, bufio.NewReader(far)); r.Header.Get("Path") != "/1" || !r.Close {
			t.Errorf("got the answer of %s (close %v), want that of /1 (close true)", r.Header.Get("Path"), r.Close)
		}
	})
}

// TestUnusedConnectionIsIdleSoon guards against a stop that waits for a connection on which no
// request comes.
func TestUnusedConnectionIsIdleSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := serveOnPipe(t, handler(echo))
		time.Sleep(time.Second)
		if n := s.CloseIdle(); n != 0 {
			t.Errorf("%d connections are busy, want none", n)
		}
	})
}
