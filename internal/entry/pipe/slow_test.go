package pipe_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/entry/pipe"
)

// TestSlowCallerGetsLastAnswer guards against a connection that is closed behind its last
// answer before its caller has read that: bytes that the caller sends meanwhile turn the
// close into a reset, which drops what it has not read.
func TestSlowCallerGetsLastAnswer(t *testing.T) {
	const length = 1 << 20
	s, c := serve(t, func(context.Context, *pipe.Request) pipe.Answer {
		return pipe.Answer{Status: http.StatusOK, Body: make([]byte, length)}
	})
	s.Drain()
	ask(t, c, "/1")
	b := bufio.NewReader(c)
	if _, err := b.Peek(1); err != nil {
		t.Fatal(err)
	}
	time.Sleep(600 * time.Millisecond)
	ask(t, c, "/2")
	time.Sleep(10 * time.Millisecond)
	if r, text := read(t, b); len(text) != length || !r.Close {
		t.Errorf("the answer has %d bytes (close %v), want %d (close true)", len(text), r.Close, length)
	}
}

// TestSteadyCallerGetsLongAnswer guards against an answer that is cut off although its caller
// reads it, since all of it took longer than the timeout for a write.
func TestSteadyCallerGetsLongAnswer(t *testing.T) {
	const length = 1 << 20
	h := handler(func(context.Context, *pipe.Request) pipe.Answer {
		return pipe.Answer{Status: http.StatusOK, Body: make([]byte, length)}
	})
	_, far := serveServerOnPipe(t, &pipe.Server{Handler: h, WriteTimeout: 300 * time.Millisecond})
	ask(t, far, "/1")
	r, err := http.ReadResponse(bufio.NewReaderSize(far, 1), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	for n := int64(0); n < length; n += 64 << 10 {
		time.Sleep(50 * time.Millisecond)
		if _, err := io.CopyN(io.Discard, r.Body, 64<<10); err != nil {
			t.Fatalf("the answer was cut off after %d bytes: %v", n, err)
		}
	}
}
