package sender_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/dispatch/sender"
)

// testTimeout bounds each wait of a test. Only a test that hangs reaches it.
const testTimeout = 20 * time.Second

// fake is a backend server that answers with raw bytes.
type fake struct {
	net.Listener
	// answer returns the bytes to write for request n of a connection, counted from 1,
	// and whether to keep the connection open.
	answer func(n int, r *http.Request, body []byte) (raw string, more bool)

	mu       sync.Mutex
	requests int
	accepted int
}

func serve(t *testing.T, answer func(n int, r *http.Request, body []byte) (string, bool)) *fake {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fake{Listener: l, answer: answer}
	t.Cleanup(func() { l.Close() })
	go f.accept()
	return f
}

func (f *fake) accept() {
	for {
		c, err := f.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.accepted++
		f.mu.Unlock()
		go f.serveConn(c)
	}
}

func (f *fake) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.requests++
		f.mu.Unlock()
		raw, more := f.answer(n, r, body)
		if _, err := io.WriteString(c, raw); err != nil || !more {
			return
		}
	}
}

// counts returns the number of requests read and of connections accepted.
func (f *fake) counts() (requests, accepted int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests, f.accepted
}

func (f *fake) server() snipefront.BackendServer {
	return snipefront.BackendServer{Name: "b", Address: f.Addr().String()}
}

// newSender returns a sender for which no answer is overdue, and no connection slow to open,
// before testTimeout.
func newSender() *sender.Sender {
	return &sender.Sender{MaxAnswerBytes: 1 << 10, DialTimeout: testTimeout, OverdueFloor: testTimeout}
}

func request(method, body string) *snipefront.Request {
	return &snipefront.Request{
		Method:     method,
		Target:     "/balance/1",
		Header:     http.Header{},
		Body:       []byte(body),
		Deadline:   time.Now().Add(testTimeout),
		Idempotent: method != http.MethodPost,
	}
}

// service refuses with 503.
var service = snipefront.Service{RefusalStatuses: []int{http.StatusServiceUnavailable}}

func send(t *testing.T, s *sender.Sender, f *fake, r *snipefront.Request) sender.Attempt {
	t.Helper()
	ctx, cancel := context.WithDeadline(t.Context(), r.Deadline)
	defer cancel()
	return s.Send(ctx, f.server(), r, service)
}

const completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
