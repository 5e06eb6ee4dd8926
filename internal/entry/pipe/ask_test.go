package pipe_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/entry/pipe"
)

// askToSend sends the header of a request on c whose body waits for the status 100.
func askToSend(t *testing.T, c net.Conn, path string) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
}

// TestBodyIsNotAskedForInsideAnswer guards against a status 100 among the bytes of an earlier
// answer, whose caller then gets another body than that of the backend server.
func TestBodyIsNotAskedForInsideAnswer(t *testing.T) {
	body := bytes.Repeat([]byte("a"), 16<<20)
	_, c := serve(t, func(context.Context, *pipe.Request) pipe.Answer {
		return pipe.Answer{Status: http.StatusOK, Body: body}
	})
	ask(t, c, "/1")
	b := bufio.NewReader(c)
	r, err := http.ReadResponse(b, nil)
	if err != nil {
		t.Fatal(err)
	}
	askToSend(t, c, "/2")
	time.Sleep(100 * time.Millisecond)
	got, err := io.ReadAll(r.Body)
	if err != nil || !bytes.Equal(got, body) {
		t.Errorf("got another body (%v), with the status 100 at byte %d", err, bytes.Index(got, []byte("HTTP/1.1 100")))
	}
}

// TestBodyIsAskedForLongAfterLastAnswer guards against a caller whose connection is closed
// without an answer since the time for writing the answer before had passed.
func TestBodyIsAskedForLongAfterLastAnswer(t *testing.T) {
	const writeTimeout = 50 * time.Millisecond
	_, c := serveServerOnPipe(t, &pipe.Server{Handler: handler(echo), WriteTimeout: writeTimeout})
	b := bufio.NewReader(c)
	ask(t, c, "/1")
	read(t, b)
	time.Sleep(2 * writeTimeout)
	askToSend(t, c, "/2")
	if r, err := http.ReadResponse(b, nil); err != nil || r.StatusCode != http.StatusContinue {
		t.Errorf("got %v, %v; want the status 100", r, err)
	}
}
