package pipe_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/pipe"
)

const (
	// idleConnections is the number of connections that stay open, and idleFields the number of
	// header fields in each of their requests.
	idleConnections, idleFields = 200, 1000
	// maxIdleBytes is what an idle connection may take on the heap, in bytes: with as many of them
	// as descriptors, 4,100, a process of 284 MB stays under half of its memory.
	maxIdleBytes = 32 << 10
)

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestIdleConnectionKeepsNoRequest guards against a process that runs out of memory, since each idle
// connection keeps the header of its last requests, many times as long as it was sent.
func TestIdleConnectionKeepsNoRequest(t *testing.T) {
	for _, pipelined := range []int{1, 4} {
		var header strings.Builder
		for i := range idleFields {
			fmt.Fprintf(&header, "a%d: b\r\n", i)
		}
		request := strings.Repeat("GET /p HTTP/1.1\r\nHost: x\r\n"+header.String()+"\r\n", pipelined)
		ok := func(context.Context, *pipe.Request) pipe.Answer { return pipe.Answer{Status: http.StatusOK} }
		address := startWithLimits(t, ok, nil, snipefront.CallerLimits{HeaderBytes: 16 << 10, BodyBytes: 1 << 10, HeaderTimeout: testTimeout, IdleTimeout: testTimeout})
		before := heapBytes()
		var open []*caller
		for range idleConnections {
			c := dial(t, address)
			open = append(open, c)
			if _, err := fmt.Fprint(c, request); err != nil {
				t.Fatal(err)
			}
			b := bufio.NewReaderSize(c, 16)
			for range pipelined {
				if r, err := http.ReadResponse(b, nil); err != nil || r.StatusCode != http.StatusOK {
					t.Fatalf("the answer is %v, %v", r, err)
				}
			}
		}
		n := (heapBytes() - before) / idleConnections
		t.Logf("%d bytes for each idle connection after %d requests", n, pipelined)
		if n > maxIdleBytes {
			t.Errorf("an idle connection takes %d bytes after %d requests, want %d at most", n, pipelined, maxIdleBytes)
		}
		runtime.KeepAlive(open)
	}
}
