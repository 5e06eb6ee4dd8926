package pipe_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/pipe"
)

// TestServeEndsAfterListenerIsClosed guards against a stop that waits for its connections
// for ever: the end of the context must close them, too, if the listener was closed before.
func TestServeEndsAfterListenerIsClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	patient := limits
	patient.IdleTimeout = time.Hour
	s := &pipe.Server{Handler: handler(echo), Limits: func() snipefront.CallerLimits { return patient }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	read(t, bufio.NewReader(c))
	s.CloseListener()
	awaitClosed(t, l.Addr())
	cancel()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Error("timed out: Serve still waits for an idle connection")
	}
}

// awaitClosed waits until nothing accepts connections at a.
func awaitClosed(t *testing.T, a net.Addr) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c, err := net.Dial(a.Network(), a.String())
		if err != nil {
			return
		}
		c.Close()
	}
	t.Error("the listener is still open")
}

// TestDrainAdmitsNoRequestBehindPendingOne guards against a caller that pipelines and so
// keeps its connection to a stopping instance to the end: what it sent last ran and was
// never answered. A request behind a pending one must not run, and the answer to the
// pending one must close the connection, so that the caller sends the other elsewhere.
func TestDrainAdmitsNoRequestBehindPendingOne(t *testing.T) {
	begun, release := make(chan string, 2), make(chan struct{})
	s, c := serve(t, func(ctx context.Context, r *pipe.Request) pipe.Answer {
		begun <- r.URL.Path
		<-release
		return echo(ctx, r)
	})
	ask(t, c, "/1")
	<-begun
	s.Drain()
	ask(t, c, "/2")
	select {
	case path := <-begun:
		t.Errorf("%s was admitted behind a pending request", path)
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	b := bufio.NewReader(c)
	if r, _ := read(t, b); r.Header.Get("Path") != "/1" || !r.Close {
		t.Errorf("got the answer of %s (close %v), want that of /1 (close true)", r.Header.Get("Path"), r.Close)
	}
	if _, err := b.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: got %v, want EOF", err)
	}
}

// ask sends a request without a body.
func ask(t *testing.T, c net.Conn, path string) {
	t.Helper()
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

// TestRequestBeingReadIsNotCutOff guards against a planned stop that takes a connection for
// idle while a request is being read, and closes it: its caller has sent the whole request
// and gets no answer.
func TestRequestBeingReadIsNotCutOff(t *testing.T) {
	s, c := serveOnPipe(t, handler(echo))
	// A write returns once it has been read, and the second one is read for the request
	// that the first one began.
	for _, part := range []string{"POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n", "hel"} {
		if _, err := io.WriteString(c, part); err != nil {
			t.Fatal(err)
		}
	}
	s.Drain()
	if s.CloseIdle() == 0 {
		t.Fatal("the connection was closed while a request was being read")
	}
	if _, err := io.WriteString(c, "lo"); err != nil {
		t.Fatal(err)
	}
	if r, text := read(t, bufio.NewReader(c)); text != "hello" || !r.Close {
		t.Errorf("the answer is %q (close %v), want hello (close true)", text, r.Close)
	}
}

// serveOnPipe starts a server with one connection, and returns it with the other end of that.
// A write to either end waits until the other end has read all of it.
func serveOnPipe(t *testing.T, h pipe.Handler) (*pipe.Server, net.Conn) {
	t.Helper()
	return serveServerOnPipe(t, &pipe.Server{Handler: h})
}

// serveServerOnPipe is serveOnPipe for s, whose limits and log it sets.
func serveServerOnPipe(t *testing.T, s *pipe.Server) (*pipe.Server, net.Conn) {
	t.Helper()
	s.Limits = func() snipefront.CallerLimits { return limits }
	s.Logger = slog.New(slog.NewTextHandler(io.Discard, nil))
	near, far := net.Pipe()
	l := oneConn{conns: make(chan net.Conn, 1)}
	l.conns <- near
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(context.Background(), l) }()
	t.Cleanup(func() {
		far.Close()
		close(l.conns)
		if err := <-ended; err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
	return s, far
}

// TestUnreadableRequestCancelsNoPendingOne guards against a pending request that is canceled,
// and so lost, since the one behind it did not come in time.
func TestUnreadableRequestCancelsNoPendingOne(t *testing.T) {
	hasty := limits
	hasty.HeaderTimeout = 50 * time.Millisecond
	begun, release := make(chan struct{}), make(chan struct{})
	_, c := serveLimited(t, func(ctx context.Context, r *pipe.Request) pipe.Answer {
		close(begun)
		select {
		case <-release:
		case <-ctx.Done():
			t.Error("the request was canceled")
		}
		return echo(ctx, r)
	}, nil, hasty)
	ask(t, c, "/1")
	<-begun
	if _, err := io.WriteString(c, "GET /2 HT"); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(4*hasty.HeaderTimeout, func() { close(release) })
	b := bufio.NewReader(c)
	if r, _ := read(t, b); r.Header.Get("Path") != "/1" {
		t.Errorf("got the answer of %q, want that of /1", r.Header.Get("Path"))
	}
	if r, _ := read(t, b); r.StatusCode != http.StatusRequestTimeout || !r.Close {
		t.Errorf("got status %d (close %v), want %d (close true)", r.StatusCode, r.Close, http.StatusRequestTimeout)
	}
}

// TestCutOffAnswersRequests guards against a stop that ends with requests in flight and gives
// their callers no answer at all: one that runs, and one that is still being read.
func TestCutOffAnswersRequests(t *testing.T) {
	begun := make(chan struct{})
	s, c := serve(t, func(ctx context.Context, _ *pipe.Request) pipe.Answer {
		close(begun)
		<-ctx.Done()
		return pipe.Answer{Status: http.StatusGatewayTimeout}
	})
	ask(t, c, "/1")
	<-begun
	s.Drain()
	s.CutOff()
	if r, _ := read(t, bufio.NewReader(c)); r.StatusCode != http.StatusGatewayTimeout || !r.Close {
		t.Errorf("the request that ran: status %d (close %v), want %d (close true)", r.StatusCode, r.Close, http.StatusGatewayTimeout)
	}

	s, far := serveOnPipe(t, handler(echo))
	for _, part := range []string{"POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n", "hel"} {
		if _, err := io.WriteString(far, part); err != nil {
			t.Fatal(err)
		}
	}
	s.Drain()
	s.CutOff()
	if r, _ := read(t, bufio.NewReader(far)); r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == "" || !r.Close {
		t.Errorf("the request that was being read: status %d (close %v), want %d with Retry-After (close true)", r.StatusCode, r.Close, http.StatusServiceUnavailable)
	}
}

// refuser refuses each request.
type refuser struct{ handler }

// Refuse implements pipe.Handler.
func (refuser) Refuse(*http.Request) (pipe.Answer, bool) {
	return pipe.Answer{Status: http.StatusServiceUnavailable}, true
}

// TestRefusalComesBeforeBody guards against a request that can't be served and is refused
// only once its caller has sent the whole of a long body.
func TestRefusalComesBeforeBody(t *testing.T) {
	_, far := serveOnPipe(t, refuser{echo})
	if _, err := io.WriteString(far, "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if r, _ := read(t, bufio.NewReader(far)); r.StatusCode != http.StatusServiceUnavailable || !r.Close {
		t.Errorf("status %d (close %v), want %d (close true)", r.StatusCode, r.Close, http.StatusServiceUnavailable)
	}
}

// TestRequestAfterAnswerThatStaysOpenIsAnswered guards against a request that gets no answer
// although its caller has sent it after the whole answer before, which didn't close the
// connection: the server had begun to drain before it recorded that this was written.
func TestRequestAfterAnswerThatStaysOpenIsAnswered(t *testing.T) {
	s, far := serveOnPipe(t, handler(echo))
	ask(t, far, "/1")
	b := bufio.NewReaderSize(far, 1)
	first, err := b.ReadByte()
	if err != nil {
		t.Fatal(err)
	}
	s.Drain()
	ask(t, far, "/2")
	time.Sleep(100 * time.Millisecond)
	whole := bufio.NewReader(io.MultiReader(bytes.NewReader([]byte{first}), b))
	if r, _ := read(t, whole); r.Close {
		t.Fatal("the first answer closes the connection")
	}
	if r, _ := read(t, whole); r.Header.Get("Path") != "/2" || !r.Close {
		t.Errorf("got the answer of %s (close %v), want that of /2 (close true)", r.Header.Get("Path"), r.Close)
	}
}
