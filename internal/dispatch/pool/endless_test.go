package pool_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/pool"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

const (
	// endlessTimeout is the time that an exchange has. Only a failing test uses all of it.
	endlessTimeout = 5 * time.Second
	// endlessBody is the limit of the body of an answer, in bytes.
	endlessBody = 1 << 20
	// maxWritten is more than endlessBody and what the sockets of a connection hold, in bytes.
	maxWritten = 16 << 20
	// maxAllocated bounds what an exchange allocates, in bytes: its buffer grows by doubling.
	maxAllocated = 6 * endlessBody
)

// endlessResult is the end of an exchange with a backend server whose answer never ends.
type endlessResult struct {
	err error
	// timedOut is true if the exchange used all of its time.
	timedOut bool
	// written is how many bytes the backend server had written when its connection was
	// closed, and allocated how many the exchange allocated.
	written   int64
	allocated uint64
}

// exchangeEndless runs an exchange with a backend server whose answer never ends.
func exchangeEndless(t *testing.T, part rawtcp.Endless, pause, timeout time.Duration) endlessResult {
	t.Helper()
	closed := make(chan int64, 1)
	address := serve(t, serveAnswers(func(c net.Conn, id string) { closed <- part.Write(c, "Id: "+id+"\r\n", pause) }))
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	var p pool.Pool
	c, err := p.Get(ctx, address, false)
	if err != nil {
		t.Fatal(err)
	}
	e := &pool.Exchange{Head: []byte("GET / HTTP/1.1\r\nHost: x\r\nId: 1\r\n\r\n"), Method: http.MethodGet, IDField: "Id", ID: "1", MaxBytes: endlessBody}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	reusable, err := e.Do(ctx, c)
	runtime.ReadMemStats(&after)
	if reusable {
		t.Error("the connection is used again")
	}
	return endlessResult{err: err, timedOut: ctx.Err() != nil, written: <-closed, allocated: after.TotalAlloc - before.TotalAlloc}
}

// TestAnswerWithoutEndIsCutOff guards against a backend server that writes bytes without
// end, fast, in any part of an answer: the exchange read them until its deadline and took
// gigabytes of memory.
func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	for _, part := range rawtcp.AllEndless {
		t.Run(string(part), func(t *testing.T) {
			r := exchangeEndless(t, part, 0, endlessTimeout)
			if r.err == nil || r.timedOut {
				t.Errorf("the exchange ended with %v, timed out: %v", r.err, r.timedOut)
			}
			if r.written > maxWritten || r.allocated > maxAllocated {
				t.Errorf("%d bytes were written and %d allocated, want %d and %d at most", r.written, r.allocated, int64(maxWritten), maxAllocated)
			}
		})
	}
}

// TestSlowAnswerWithoutEndIsCutOff guards against the same where the bytes come slowly. A
// head must be complete soon after it has begun. A body may last until the deadline, but
// takes no more memory than it has bytes.
func TestSlowAnswerWithoutEndIsCutOff(t *testing.T) {
	for _, part := range rawtcp.AllEndless {
		t.Run(string(part), func(t *testing.T) {
			timeout, inHead := endlessTimeout, true
			switch part {
			case rawtcp.Chunks, rawtcp.Extension, rawtcp.Trailer, rawtcp.Body:
				timeout, inHead = time.Second, false
			}
			r := exchangeEndless(t, part, 5*time.Millisecond, timeout)
			if r.err == nil || inHead && r.timedOut {
				t.Errorf("the exchange ended with %v, timed out: %v", r.err, r.timedOut)
			}
			if r.allocated > maxAllocated {
				t.Errorf("%d bytes were allocated, want %d at most", r.allocated, maxAllocated)
			}
		})
	}
}
