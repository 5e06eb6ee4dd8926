package pipe_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/snipefront/snipefront/internal/entry/pipe"
)

// TestInvalidAnswerIsNotWritten guards against an answer with a status or a field that is none in
// HTTP and that is written to a caller, whatever it came from.
func TestInvalidAnswerIsNotWritten(t *testing.T) {
	for _, a := range []pipe.Answer{
		{Status: 0},
		{Status: 20},
		{Status: http.StatusContinue},
		{Status: http.StatusSwitchingProtocols},
		{Status: 600},
		{Status: 999},
		{Status: -200},
		{Status: http.StatusOK, Header: http.Header{"X Y": {"z"}}},
		{Status: http.StatusOK, Header: http.Header{"Transfer-Encoding ": {"chunked"}}},
		{Status: http.StatusOK, Header: http.Header{"X\x01y": {"z"}}},
		{Status: http.StatusOK, Header: http.Header{"X-Y": {"a\x01z"}}},
		{Status: http.StatusOK, Header: http.Header{"X-Y": {"a\x00z"}}},
		{Status: http.StatusOK, Header: http.Header{"X-Y": {"a\r\nz: 1"}}},
	} {
		t.Run(fmt.Sprintf("%d %q", a.Status, a.Header), func(t *testing.T) {
			a.Body = []byte("not to be seen")
			_, c := serve(t, func(context.Context, *pipe.Request) pipe.Answer { return a })
			fmt.Fprint(c, "GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			r, text := read(t, bufio.NewReader(c))
			if r.StatusCode != http.StatusBadGateway || text != "" || r.Header.Get("X-Y") != "" {
				t.Errorf("the caller got %d, %v with %q, want a bare 502", r.StatusCode, r.Header, text)
			}
		})
	}
}
