package pool_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/pool"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

// serve accepts connections, runs f on each and returns the address.
func serve(t *testing.T, f func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go rawtcp.Serve(l, f)
	return l.Addr().String()
}

// serveAnswers returns a handler of connections that calls f to answer each request.
func serveAnswers(f func(c net.Conn, id string)) func(net.Conn) {
	return rawtcp.HTTPHandler(func(c net.Conn, r *http.Request) { f(c, r.Header.Get("Id")) })
}

// responseText returns the complete answer to the request with the id.
func responseText(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
}

func respond(c net.Conn, id string) { _, _ = io.WriteString(c, responseText(id)) }

// exchange runs one exchange on a connection of p and reports whether the connection
// was reused.
func exchange(t *testing.T, p *pool.Pool, address, id string) (*pool.Exchange, bool, error) {
	t.Helper()
	c, err := p.Get(t.Context(), address, false)
	if err != nil {
		t.Fatal(err)
	}
	reused := c.Reused
	e := &pool.Exchange{
		Head: []byte("GET / HTTP/1.1\r\nHost: x\r\nId: " + id + "\r\n\r\n"), Method: http.MethodGet, IDField: "Id", ID: id, MaxBytes: 100,
	}
	reusable, err := e.Do(t.Context(), c)
	if reusable {
		p.Put(c, 8)
	}
	return e, reused, err
}

// TestConnectionIsReused guards against a new connection for each request. Of requests sent
// one after the other, all but the first must use the idle connection.
func TestConnectionIsReused(t *testing.T) {
	address := serve(t, serveAnswers(respond))
	p := &pool.Pool{}
	for i := range 3 {
		e, reused, err := exchange(t, p, address, fmt.Sprint(i))
		if err != nil || string(e.Answer) != "ok" || reused != (i > 0) {
			t.Errorf("request %d: %q, reused %v, error %v, want ok on a connection reused after the first", i, e.Answer, reused, err)
		}
	}
}

// TestOnlyMatchingAnswerIsReturned guards against an answer to another request, or a
// malformed or truncated one, that is returned as the answer.
func TestOnlyMatchingAnswerIsReturned(t *testing.T) {
	for name, c := range map[string]struct {
		write func(c net.Conn, id string)
		ok    bool
	}{
		"an answer to an earlier request first": {func(c net.Conn, id string) { respond(c, "earlier"); respond(c, id) }, true},
		"another answer only":                   {func(c net.Conn, _ string) { respond(c, "earlier"); c.Close() }, false},
		"no HTTP":                               {func(c net.Conn, _ string) { fmt.Fprint(c, "garbage\r\n\r\n") }, false},
		"a body cut short": {func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nok", id)
			c.Close()
		}, false},
		"a body over the limit": {func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 200\r\n\r\n%s", id, strings.Repeat("a", 200))
		}, false},
		"nothing": {func(c net.Conn, _ string) { c.Close() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			e, _, err := exchange(t, &pool.Pool{}, serve(t, serveAnswers(c.write)), "mine")
			if (err == nil) != c.ok {
				t.Fatalf("got error %v, want one unless the matching answer arrives complete", err)
			}
			if c.ok && (string(e.Answer) != "ok" || e.Response.Header.Get("Id") != "mine") {
				t.Errorf("the answer is %q of %s, want ok of mine", e.Answer, e.Response.Header.Get("Id"))
			}
		})
	}
}

// TestConnectionWithExtraBytesIsNotReused guards against an answer that is returned for the
// next request. The backend server sends two answers in one write, so that the second one
// stays on the connection.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	address := serve(t, serveAnswers(func(c net.Conn, id string) { _, _ = io.WriteString(c, responseText(id)+responseText(id)) }))
	p := &pool.Pool{}
	for i := range 3 {
		if _, reused, err := exchange(t, p, address, fmt.Sprint(i)); err != nil || reused {
			t.Errorf("request %d: reused %v, error %v, want its answer on a new connection", i, reused, err)
		}
	}
}

// TestLateExtraAnswerIsDiscarded guards against an answer that is returned for the next
// request. The backend server repeats its last answer after it has read that request, which
// must get its own answer.
func TestLateExtraAnswerIsDiscarded(t *testing.T) {
	last := ""
	address := serve(t, serveAnswers(func(c net.Conn, id string) {
		if last != "" {
			respond(c, last)
		}
		last = id
		respond(c, id)
	}))
	p := &pool.Pool{}
	for i := range 3 {
		id := fmt.Sprint(i)
		e, reused, err := exchange(t, p, address, id)
		if err != nil || e.Response.Header.Get("Id") != id || reused != (i > 0) {
			t.Errorf("request %d: reused %v, error %v, want its own answer, on a connection reused after the first", i, reused, err)
		}
	}
}

// TestClosedConnectionIsNotReused guards against requests that fail on a connection that the
// backend server has closed while it was idle. The next request must use a new one.
func TestClosedConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 1)
	address := serve(t, serveAnswers(func(c net.Conn, id string) {
		respond(c, id)
		c.Close()
		closed <- struct{}{}
	}))
	p := &pool.Pool{}
	for i := range 3 {
		if _, reused, err := exchange(t, p, address, fmt.Sprint(i)); err != nil || reused {
			t.Errorf("request %d: reused %v, error %v, want its answer on a new connection", i, reused, err)
		}
		<-closed
	}
}

// TestConnectionWithUnsentBodyIsNotReused guards against a backend server that reads the rest
// of a body as the next request. It answers before it has read the body, so the connection
// must not be reused.
func TestConnectionWithUnsentBodyIsNotReused(t *testing.T) {
	address := serve(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		respond(c, "mine")
		time.Sleep(time.Minute)
	})
	p := &pool.Pool{}
	c, err := p.Get(t.Context(), address, false)
	if err != nil {
		t.Fatal(err)
	}
	const length = 64 << 20
	e := &pool.Exchange{
		Head: []byte(fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", length)), Body: make([]byte, length),
		Method: http.MethodPost, IDField: "Id", ID: "mine", MaxBytes: 100,
	}
	reusable, err := e.Do(t.Context(), c)
	if err != nil || reusable {
		t.Errorf("reusable %v, error %v, want false and none", reusable, err)
	}
}

// TestCancellationClosesConnection guards against a backend server that works on a
// canceled request: the connection must be closed, so that it notices.
func TestCancellationClosesConnection(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	address := serve(t, func(c net.Conn) {
		b := bufio.NewReader(c)
		if _, err := http.ReadRequest(b); err != nil {
			return
		}
		close(begun)
		_, _ = b.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	c, err := (&pool.Pool{}).Get(ctx, address, false)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		<-begun
		cancel()
	}()
	e := &pool.Exchange{Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), Method: http.MethodGet, MaxBytes: 100}
	if _, err := e.Do(ctx, c); err == nil {
		t.Error("the exchange succeeded without an answer")
	}
	<-ended
}
