package sender_test

import (
	"bytes"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/rpc/bound"
)

// TestAnswerThatWaitsForMemoryIsNotHalfOpen guards against an answer that is given up as if
// its connection passed nothing, while it waits for memory of this instance.
func TestAnswerThatWaitsForMemoryIsNotHalfOpen(t *testing.T) {
	const size = 1 << 20
	f := serve(t, func(int, *http.Request, []byte) (string, bool) {
		return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n" + strings.Repeat("a", size), true
	})
	m := &bound.Memory{Limit: size}
	held, err := m.ReadBody(t.Context(), bytes.NewReader(make([]byte, size)), size, size)
	if err != nil {
		t.Fatal(err)
	}
	s := newSender()
	s.MaxAnswerBytes, s.OverdueFloor, s.Memory = size, overdueFloor, m
	go func() {
		time.Sleep(10 * overdueFloor)
		runtime.KeepAlive(held)
	}()
	if a := send(t, s, f, request(http.MethodGet, "")); a.Verdict != snipefront.Ran || len(a.Response.Body) != size {
		t.Errorf("the attempt is %v, %v, %v, want the whole answer", a.Verdict, a.Reason, a.Err)
	}
}
