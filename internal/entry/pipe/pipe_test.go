package pipe_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/pipe"
)

// testTimeout ends the waits of a test that hangs.
const testTimeout = 20 * time.Second

type handler func(ctx context.Context, r *pipe.Request) pipe.Answer

// Refuse implements pipe.Handler.
func (h handler) Refuse(*http.Request) (pipe.Answer, bool) { return pipe.Answer{}, false }

// RefuseForMemory implements pipe.Handler.
func (h handler) RefuseForMemory(*http.Request) pipe.Answer {
	return pipe.Answer{Status: http.StatusServiceUnavailable}
}

// Handle implements pipe.Handler.
func (h handler) Handle(ctx context.Context, r *pipe.Request) pipe.Answer { return h(ctx, r) }

var limits = snipefront.CallerLimits{HeaderBytes: 2 << 10, BodyBytes: 1 << 10, HeaderTimeout: testTimeout, IdleTimeout: testTimeout}

// serve starts a server and returns it with a client connection to it.
func serve(t *testing.T, h handler) (*pipe.Server, net.Conn) {
	t.Helper()
	return serveLimited(t, h, nil, limits)
}

// serveLimited is serve for a server with the observer o, which may be nil, and the limits of
// callers.
func serveLimited(t *testing.T, h handler, o pipe.Observer, of snipefront.CallerLimits) (*pipe.Server, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &pipe.Server{Handler: h, Observer: o, Limits: func() snipefront.CallerLimits { return of }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s, c
}

func echo(_ context.Context, r *pipe.Request) pipe.Answer {
	return pipe.Answer{Status: http.StatusOK, Header: http.Header{"Path": {r.URL.Path}}, Body: r.Content}
}

// read reads one answer with its body.
func read(t *testing.T, b *bufio.Reader) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(b, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return r, string(text)
}

// TestPipelinedRequestsRunConcurrently guards against pipelined requests that run one
// after another, and against answers out of order. The first request ends only after
// the second has started, and its answer must still be sent first.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	second := make(chan struct{})
	_, c := serve(t, func(ctx context.Context, r *pipe.Request) pipe.Answer {
		if r.URL.Path == "/1" {
			select {
			case <-second:
			case <-ctx.Done():
			}
		} else {
			close(second)
		}
		return echo(ctx, r)
	})
	fmt.Fprint(c, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
	b := bufio.NewReader(c)
	for _, want := range []string{"/1", "/2"} {
		if r, _ := read(t, b); r.Header.Get("Path") != want {
			t.Errorf("got the answer of %s, want that of %s", r.Header.Get("Path"), want)
		}
	}
}

// TestHandlerGetsCompleteBody guards against a request that is handled with a part of
// its body. It sends one body with Content-Length and one in two chunks.
func TestHandlerGetsCompleteBody(t *testing.T) {
	_, c := serve(t, echo)
	b := bufio.NewReader(c)
	for _, body := range []string{"Content-Length: 5\r\n\r\nhello", "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"} {
		fmt.Fprint(c, "POST /p HTTP/1.1\r\nHost: x\r\n"+body)
		if _, text := read(t, b); text != "hello" {
			t.Errorf("the body is %q, want hello", text)
		}
	}
}

// TestUnreadableRequestsAreRejected guards against malformed requests, or requests over
// the size limits, that are handled or leave the connection open.
func TestUnreadableRequestsAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"no request":     {"hello\r\n\r\n", http.StatusBadRequest},
		"large header":   {"GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 16<<10), http.StatusRequestHeaderFieldsTooLarge},
		"large body":     {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n", http.StatusRequestEntityTooLarge},
		"large chunks":   {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("a", 2048) + "\r\n", http.StatusRequestEntityTooLarge},
		"two lengths":    {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello", http.StatusBadRequest},
		"unknown coding": {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\nhello", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			_, n := serve(t, func(context.Context, *pipe.Request) pipe.Answer {
				t.Error("the request was handled")
				return pipe.Answer{}
			})
			fmt.Fprint(n, c.text)
			if r, _ := read(t, bufio.NewReader(n)); r.StatusCode != c.status || !r.Close {
				t.Errorf("the status is %d (close %v), want %d (close true)", r.StatusCode, r.Close, c.status)
			}
		})
	}
}

// TestDisconnectCancelsRequests guards against a request that keeps running after its
// caller has closed the connection.
func TestDisconnectCancelsRequests(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	_, c := serve(t, func(ctx context.Context, _ *pipe.Request) pipe.Answer {
		close(begun)
		<-ctx.Done()
		close(ended)
		return pipe.Answer{Status: http.StatusOK}
	})
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	<-begun
	c.Close()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("timed out: the request was not canceled")
	}
}

// unanswered is an observer that sends each request without an answer to a channel.
type unanswered chan *pipe.Request

// Unanswered implements pipe.Observer.
func (u unanswered) Unanswered(r *pipe.Request, _ error) { u <- r }

// TestUnansweredRequestIsReported guards against a request that ends without an answer and
// without a trace: that of a caller that has closed its connection, and that of an instance
// which still runs it.
func TestUnansweredRequestIsReported(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	seen := make(unanswered, 1)
	s, c := serveLimited(t, func(ctx context.Context, r *pipe.Request) pipe.Answer {
		close(begun)
		<-release
		a := echo(ctx, r)
		a.Body = make([]byte, 16<<20)
		return a
	}, seen, limits)
	fmt.Fprint(c, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
	<-begun
	if list := s.Pending(); len(list) != 1 || list[0].URL.Path != "/1" {
		t.Errorf("%d requests are pending, want /1", len(list))
	}
	c.Close()
	close(release)
	select {
	case r := <-seen:
		if r.URL.Path != "/1" {
			t.Errorf("%s is reported, want /1", r.URL.Path)
		}
	case <-time.After(testTimeout):
		t.Error("timed out: the request was not reported")
	}
}

// TestDrainAnswersAdmittedRequests guards against a drain that loses requests. Each
// admitted request must get its answer, the last answer must close the connection, and
// no request may be admitted after it.
func TestDrainAnswersAdmittedRequests(t *testing.T) {
	begun, release := make(chan struct{}, 2), make(chan struct{})
	s, c := serve(t, func(ctx context.Context, r *pipe.Request) pipe.Answer {
		begun <- struct{}{}
		<-release
		return echo(ctx, r)
	})
	fmt.Fprint(c, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
	<-begun
	<-begun
	s.Drain()
	close(release)
	b := bufio.NewReader(c)
	if r, _ := read(t, b); r.Close {
		t.Error("the first answer closes the connection, want it open for the second")
	}
	if r, _ := read(t, b); !r.Close {
		t.Error("the last answer leaves the connection open, want it closed")
	}
	fmt.Fprint(c, "GET /3 HTTP/1.1\r\nHost: x\r\n\r\n")
	if _, err := b.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: got %v, want EOF", err)
	}
	select {
	case <-begun:
		t.Error("a request was admitted after the last answer")
	default:
	}
}

// oneConn is a listener with one connection.
type oneConn struct {
	net.Listener
	conns chan net.Conn
}

// Accept implements net.Listener.
func (l oneConn) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// TestAnswerBeingWrittenIsNotCutOff guards against a planned stop that closes a connection
// as idle while the last answer on it is being written: the request has run, and its
// caller gets no answer.
func TestAnswerBeingWrittenIsNotCutOff(t *testing.T) {
	s, far := serveOnPipe(t, handler(echo))
	fmt.Fprint(far, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
	b := bufio.NewReaderSize(far, 1)
	first, err := b.ReadByte()
	if err != nil {
		t.Fatal(err)
	}
	s.Drain()
	if n := s.CloseIdle(); n != 1 {
		t.Errorf("%d connections are busy while an answer is being written, want 1", n)
	}
	whole := bufio.NewReader(io.MultiReader(strings.NewReader(string(first)), b))
	if r, err := http.ReadResponse(whole, nil); err != nil || r.Header.Get("Path") != "/1" {
		t.Errorf("the answer is %v, %v; want the whole one", r, err)
	}
}
