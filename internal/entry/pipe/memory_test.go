package pipe_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/pipe"
	"github.com/snipefront/snipefront/internal/rpc/bound"
)

const (
	// longBody is the length of a long body, and maxBody the limit, in bytes.
	longBody = 1 << 20
	maxBody  = 4 << 20
)

// startBounded starts a server with a bound on requests, and returns its address.
func startBounded(t *testing.T, h handler, bodies *bound.Memory) string {
	t.Helper()
	return startWithLimits(t, h, bodies, snipefront.CallerLimits{HeaderBytes: 2 << 10, BodyBytes: maxBody, HeaderTimeout: testTimeout, IdleTimeout: testTimeout})
}

// startWithLimits is startBounded with the limits of callers.
func startWithLimits(t *testing.T, h handler, bodies *bound.Memory, callerLimits snipefront.CallerLimits) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &pipe.Server{
		Handler: h, Bodies: bodies, Limits: func() snipefront.CallerLimits { return callerLimits },
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// caller is a connection to a server.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return &caller{Conn: c, reader: bufio.NewReader(c)}
}

// send sends a request with a body of n bytes, in one chunk if chunked is true.
func (c *caller) send(n int, chunked bool) {
	body := strings.Repeat("a", n)
	if chunked {
		fmt.Fprintf(c, "POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", n, body)
		return
	}
	fmt.Fprintf(c, "POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", n, body)
}

// holdOpen returns a handler that keeps each request until the channel is closed.
func holdOpen() (h handler, begun, release chan struct{}) {
	begun, release = make(chan struct{}, 8*16), make(chan struct{})
	return func(ctx context.Context, r *pipe.Request) pipe.Answer {
		begun <- struct{}{}
		select {
		case <-release:
		case <-ctx.Done():
		}
		return pipe.Answer{Status: http.StatusOK, Body: []byte(fmt.Sprint(len(r.Content)))}
	}, begun, release
}

func await(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		t.Fatalf("timed out: %s", what)
	}
}

// TestLongBodiesStayWithinMemory guards against long bodies on several connections that
// take an instance over its memory together: it was killed, and all that it had in flight
// was lost. The second one is refused at once, and a short one beside them is served.
func TestLongBodiesStayWithinMemory(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %v", chunked), func(t *testing.T) {
			h, begun, release := holdOpen()
			m := &bound.Memory{Limit: 2 * longBody, Reserve: longBody, Wait: 50 * time.Millisecond}
			address := startBounded(t, h, m)
			first, second, short := dial(t, address), dial(t, address), dial(t, address)
			first.send(longBody*9/10, chunked)
			await(t, "the first body was not served", begun)
			second.send(longBody*5/4, chunked)
			if r, _ := read(t, second.reader); r.StatusCode != http.StatusServiceUnavailable || !r.Close {
				t.Errorf("a body over the memory left: status %d, closed %v, want 503 and true", r.StatusCode, r.Close)
			}
			short.send(1<<10, chunked)
			await(t, "a short body was not served beside a long one", begun)
			close(release)
			if r, text := read(t, first.reader); r.StatusCode != http.StatusOK || text != fmt.Sprint(longBody*9/10) {
				t.Errorf("the first body: status %d, %s bytes", r.StatusCode, text)
			}
			if r, text := read(t, short.reader); r.StatusCode != http.StatusOK || text != "1024" {
				t.Errorf("the short body: status %d, %s bytes", r.StatusCode, text)
			}
		})
	}
}

// TestPipelinedShortBodiesStayWithinMemory guards against short bodies on many pipelined
// connections that take an instance over its memory together.
func TestPipelinedShortBodiesStayWithinMemory(t *testing.T) {
	h, _, release := holdOpen()
	m := &bound.Memory{Reserve: longBody}
	address := startBounded(t, h, m)
	const pipelined = 16
	callers := make([]*caller, 8)
	for n := range callers {
		callers[n] = dial(t, address)
		for range pipelined {
			callers[n].send(32<<10, false)
		}
	}
	for end := time.Now().Add(testTimeout); m.Used() < longBody/2; {
		if time.Now().After(end) {
			t.Fatalf("timed out: %d bytes are taken", m.Used())
		}
	}
	if m.Used() > longBody {
		t.Errorf("%d bytes are taken, want %d at most", m.Used(), longBody)
	}
	close(release)
	refused := 0
	for _, c := range callers {
		for range pipelined {
			r, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if r.StatusCode == http.StatusServiceUnavailable {
				refused++
			}
			if r.Close {
				break
			}
		}
	}
	if refused == 0 {
		t.Error("no request was refused")
	}
	awaitUnused(t, m)
}

// awaitUnused waits until m holds nothing any more.
func awaitUnused(t *testing.T, m *bound.Memory) {
	t.Helper()
	for end := time.Now().Add(testTimeout); m.Used() > 0; runtime.GC() {
		if time.Now().After(end) {
			t.Fatalf("timed out: %d bytes are still held", m.Used())
		}
	}
}

// TestUploadThatStopsGivesItsMemoryUp guards against a caller that announces a long body,
// does not send it, and so keeps others from sending theirs.
func TestUploadThatStopsGivesItsMemoryUp(t *testing.T) {
	m := &bound.Memory{Limit: longBody, Reserve: longBody, Wait: 100 * time.Millisecond}
	address := startBounded(t, func(_ context.Context, r *pipe.Request) pipe.Answer {
		return pipe.Answer{Status: http.StatusOK, Body: []byte(fmt.Sprint(len(r.Content)))}
	}, m)
	silent := dial(t, address)
	fmt.Fprintf(silent, "POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", longBody)
	for m.Used() < longBody {
		time.Sleep(time.Millisecond)
	}
	begun := time.Now()
	for served := false; !served; time.Sleep(100 * time.Millisecond) {
		c := dial(t, address)
		c.send(longBody, false)
		r, _ := read(t, c.reader)
		served = r.StatusCode == http.StatusOK
		if time.Since(begun) > testTimeout/2 {
			t.Fatal("timed out: an upload without a byte keeps its memory")
		}
	}
	if r, _ := read(t, silent.reader); r.StatusCode != http.StatusRequestTimeout || !r.Close {
		t.Errorf("the upload without a byte: status %d, closed %v, want 408 and true", r.StatusCode, r.Close)
	}
}

// TestKeptConnectionHoldsNoBody guards against a connection that keeps the body of its last
// request in memory while it is idle.
func TestKeptConnectionHoldsNoBody(t *testing.T) {
	m := &bound.Memory{Limit: longBody, Reserve: longBody, Wait: 100 * time.Millisecond}
	address := startBounded(t, func(_ context.Context, r *pipe.Request) pipe.Answer {
		return pipe.Answer{Status: http.StatusOK, Body: []byte(fmt.Sprint(len(r.Content)))}
	}, m)
	c := dial(t, address)
	c.send(longBody, false)
	if r, text := read(t, c.reader); r.StatusCode != http.StatusOK || text != fmt.Sprint(longBody) {
		t.Fatalf("status %d, %s bytes", r.StatusCode, text)
	}
	awaitUnused(t, m)
}

// TestContinueIsAskedForOnlyWithMemory guards against a caller that is told to send a body
// which is refused then.
func TestContinueIsAskedForOnlyWithMemory(t *testing.T) {
	m := &bound.Memory{Limit: longBody, Reserve: longBody, Wait: 50 * time.Millisecond}
	address := startBounded(t, echo, m)
	ask := func(length int) *http.Response {
		c := dial(t, address)
		fmt.Fprintf(c, "POST /p HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", length)
		r, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	if r := ask(longBody); r.StatusCode != http.StatusContinue {
		t.Errorf("status %d with memory, want 100", r.StatusCode)
	}
	if r := ask(longBody / 2); r.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d without memory, want 503", r.StatusCode)
	}
}

// TestAnswersForSlowCallersStayWithinMemory guards against answers that wait for callers
// which don't read: they took an instance over its memory. While they take all of the
// memory for answers, new requests are refused unread, and those that have run are answered.
func TestAnswersForSlowCallersStayWithinMemory(t *testing.T) {
	const pipelined = 16
	m := &bound.Memory{Reserve: pipelined / 2 * bound.ShortBytes}
	s := &pipe.Server{
		Handler: handler(func(context.Context, *pipe.Request) pipe.Answer {
			return pipe.Answer{Status: http.StatusOK, Body: make([]byte, bound.ShortBytes)}
		}),
		Answers: m, Limits: func() snipefront.CallerLimits { return limits }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	// A write to an end of net.Pipe waits until the other end is read.
	l := oneConn{conns: make(chan net.Conn, 2)}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(t.Context(), l) }()
	slow, slowEnd := net.Pipe()
	l.conns <- slowEnd
	for range pipelined {
		fmt.Fprint(slow, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	for end := time.Now().Add(testTimeout); !m.Full(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out: %d bytes are held for a caller that doesn't read", m.Used())
		}
	}
	other, otherEnd := net.Pipe()
	l.conns <- otherEnd
	fmt.Fprint(other, "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
	if r, _ := read(t, bufio.NewReader(other)); r.StatusCode != http.StatusServiceUnavailable || !r.Close {
		t.Errorf("a new request: status %d, closed %v, want 503 and true", r.StatusCode, r.Close)
	}
	b := bufio.NewReader(slow)
	for n := range pipelined {
		if r, text := read(t, b); r.StatusCode == http.StatusOK && len(text) != bound.ShortBytes || r.StatusCode != http.StatusOK && n < pipelined/2 {
			t.Errorf("answer %d: status %d, %d bytes", n, r.StatusCode, len(text))
		} else if r.Close {
			break
		}
	}
	slow.Close()
	other.Close()
	close(l.conns)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if m.Used() != 0 {
		t.Errorf("%d bytes are still held", m.Used())
	}
}

// TestSlowCallerHoldsNoMemoryThatOthersNeed guards against one caller that reads a long answer
// slowly, while all others wait for the memory that the answer takes, up to their deadlines.
func TestSlowCallerHoldsNoMemoryThatOthersNeed(t *testing.T) {
	const length = 1 << 20
	m := &bound.Memory{Limit: length}
	h := handler(func(ctx context.Context, _ *pipe.Request) pipe.Answer {
		body, err := m.ReadBody(ctx, bytes.NewReader(make([]byte, length)), length, length)
		if err != nil {
			t.Error(err)
		}
		return pipe.Answer{Status: http.StatusOK, Body: body}
	})
	_, far := serveServerOnPipe(t, &pipe.Server{Handler: h, Answers: m, WriteTimeout: 100 * time.Millisecond})
	ask(t, far, "/1")
	r, err := http.ReadResponse(bufio.NewReaderSize(far, 1), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	granted := make(chan error, 1)
	go func() {
		_, err := m.ReadBody(t.Context(), bytes.NewReader(make([]byte, length)), length, length)
		granted <- err
	}()
	// The caller takes a part within each timeout, and all of it in over a second.
	read := 0
	for p := make([]byte, 32<<10); err == nil; time.Sleep(40 * time.Millisecond) {
		var n int
		n, err = io.ReadFull(r.Body, p)
		read += n
	}
	if read == length {
		t.Error("the slow caller got its whole answer while another waited for memory")
	}
	if err := <-granted; err != nil {
		t.Error(err)
	}
}
