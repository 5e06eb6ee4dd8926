package pipe_test

import (
	"bufio"
	"fmt"
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
