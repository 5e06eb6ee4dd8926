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

// serve accepts connections and hands each to f.
func serve(t *testing.T, f func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go rawtcp.Each(l, f)
	return l.Addr().String()
}

// answer reads requests and answers each with what f writes.
func answer(f func(c net.Conn, id string)) func(net.Conn) {
	return rawtcp.Requests(func(c net.Conn, r *http.Request) { f(c, r.Header.Get("Id")) })
}

// text is the whole answer to a request.
func text(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
}

func whole(c net.Conn, id string) { _, _ = io.WriteString(c, text(id)) }

// do makes one exchange on a connection of p.
func do(t *testing.T, p *pool.Pool, address, id string) (*pool.Exchange, bool, error) {
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
		p.Put(c)
	}
	return e, reused, err
}

// TestConnectionIsUsedAgain shows that a connection carries one request after the
// other.
func TestConnectionIsUsedAgain(t *testing.T) {
	address := serve(t, answer(whole))
	p := &pool.Pool{}
	for i := range 3 {
		e, reused, err := do(t, p, address, fmt.Sprint(i))
		if err != nil || string(e.Answer) != "ok" || reused != (i > 0) {
			t.Errorf("request %d: %q, reused %v, %v", i, e.Answer, reused, err)
		}
	}
}

// TestAnswersOfOthersAreNeverTaken shows what a request makes of bytes that are not
// its answer.
func TestAnswersOfOthersAreNeverTaken(t *testing.T) {
	for name, c := range map[string]struct {
		write func(c net.Conn, id string)
		ok    bool
	}{
		"an answer to an earlier request first": {func(c net.Conn, id string) { whole(c, "earlier"); whole(c, id) }, true},
		"another answer only":                   {func(c net.Conn, _ string) { whole(c, "earlier"); c.Close() }, false},
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
			e, _, err := do(t, &pool.Pool{}, serve(t, answer(c.write)), "mine")
			if (err == nil) != c.ok {
				t.Fatalf("the error is %v", err)
			}
			if c.ok && (string(e.Answer) != "ok" || e.Response.Header.Get("Id") != "mine") {
				t.Errorf("the answer is %q of %s", e.Answer, e.Response.Header.Get("Id"))
			}
		})
	}
}

// TestConnectionWithMoreBytesIsNotUsedAgain shows that an answer too many ends a
// connection. It comes in one piece with the first.
func TestConnectionWithMoreBytesIsNotUsedAgain(t *testing.T) {
	address := serve(t, answer(func(c net.Conn, id string) { _, _ = io.WriteString(c, text(id)+text(id)) }))
	p := &pool.Pool{}
	for i := range 3 {
		if _, reused, err := do(t, p, address, fmt.Sprint(i)); err != nil || reused {
			t.Errorf("request %d: reused %v, %v", i, reused, err)
		}
	}
}

// TestLateExtraAnswerIsPassedOver shows that an answer too many that comes when the
// connection is in use again is not taken for the next one's.
func TestLateExtraAnswerIsPassedOver(t *testing.T) {
	last := ""
	address := serve(t, answer(func(c net.Conn, id string) {
		if last != "" {
			whole(c, last)
		}
		last = id
		whole(c, id)
	}))
	p := &pool.Pool{}
	for i := range 3 {
		id := fmt.Sprint(i)
		e, reused, err := do(t, p, address, id)
		if err != nil || e.Response.Header.Get("Id") != id || reused != (i > 0) {
			t.Errorf("request %d: reused %v, %v", i, reused, err)
		}
	}
}

// TestClosedConnectionIsNotUsedAgain shows that a connection that the backend server
// closed while it was unused carries no request.
func TestClosedConnectionIsNotUsedAgain(t *testing.T) {
	closed := make(chan struct{}, 1)
	address := serve(t, answer(func(c net.Conn, id string) {
		whole(c, id)
		c.Close()
		closed <- struct{}{}
	}))
	p := &pool.Pool{}
	for i := range 3 {
		if _, reused, err := do(t, p, address, fmt.Sprint(i)); err != nil || reused {
			t.Errorf("request %d: reused %v, %v", i, reused, err)
		}
		<-closed
	}
}

// TestEarlyAnswerLeavesNoBodyBehind shows that the rest of a body that was answered
// before it was read is not taken for another request's.
func TestEarlyAnswerLeavesNoBodyBehind(t *testing.T) {
	address := serve(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		whole(c, "mine")
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
		t.Errorf("reusable %v, %v", reusable, err)
	}
}

// TestEndOfTheRequestClosesTheConnection shows that a backend server learns that a
// request was given up.
func TestEndOfTheRequestClosesTheConnection(t *testing.T) {
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
		t.Error("an answer that nobody sent")
	}
	<-ended
}
