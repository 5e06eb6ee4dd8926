package pool_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/dispatch/pool"
	"github.com/snipefront/snipefront/internal/rpc/bound"
)

// TestAnswerWaitsForMemory guards against the answer of a request that has run, and is lost
// since earlier answers take all of the memory: the backend server waits instead.
func TestAnswerWaitsForMemory(t *testing.T) {
	const size = 1 << 20
	address := serve(t, serveAnswers(func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, size, strings.Repeat("a", size))
	}))
	m := &bound.Memory{Limit: size}
	exchange := func(ctx context.Context) (*pool.Exchange, error) {
		var p pool.Pool
		c, err := p.Get(ctx, address, false)
		if err != nil {
			t.Error(err)
			return nil, err
		}
		e := &pool.Exchange{Head: []byte("GET / HTTP/1.1\r\nHost: x\r\nId: 1\r\n\r\n"), Method: http.MethodGet, IDField: "Id", ID: "1", MaxBytes: size, Memory: m}
		_, err = e.Do(ctx, c)
		return e, err
	}
	first, err := exchange(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := exchange(short); !errors.Is(err, bound.ErrNoMemory) {
		t.Errorf("an answer without memory until its deadline: %v, want %v", err, bound.ErrNoMemory)
	}
	ended := make(chan error, 1)
	go func() {
		e, err := exchange(t.Context())
		if err == nil && len(e.Answer) != size {
			err = errors.Errorf("%d bytes", len(e.Answer))
		}
		ended <- err
	}()
	for !m.Scarce() {
		time.Sleep(time.Millisecond)
	}
	runtime.KeepAlive(first)
	if err := <-ended; err != nil {
		t.Errorf("an answer that waited for memory: %v", err)
	}
}
