package caller_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/snipefront/snipefront/internal/stand/answer"
	"github.com/snipefront/snipefront/internal/stand/caller"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

// TestBrokenAnswersAreFaulty guards against a caller that passes over an answer with a status or a
// field that is none in HTTP, since its body is the right one, or counts it as refused.
func TestBrokenAnswersAreFaulty(t *testing.T) {
	for name, form := range map[string]string{
		"000":              "HTTP/1.1 000 Zero\r\nContent-Length: %d\r\n\r\n%s",
		"600":              "HTTP/1.1 600 High\r\nContent-Length: %d\r\n\r\n%s",
		"blank in a name":  "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: %d\r\n\r\n%s",
		"interim answer":   "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
		"blank in trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX Y: z\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go rawtcp.Serve(l, rawtcp.HTTPHandler(func(c net.Conn, r *http.Request) {
				q := answer.Request{Target: r.URL.RequestURI(), RequestID: r.Header.Get("X-Request-Id")}
				_, _ = io.WriteString(c, fmt.Sprintf(form, answer.Length, q.Answer()))
			}))
			r, s := runCaller(t, &caller.Caller{Direct: []string{l.Addr().String()}}, http.MethodGet)
			if s.OK != 0 || s.CutShort != s.Arrived || r.Faulty() != s.Arrived {
				t.Errorf("%+v, want all counted as cut short and faulty", s)
			}
		})
	}
}
