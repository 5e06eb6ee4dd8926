package calls_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/calls"
	"github.com/snipefront/snipefront/internal/rpc/bound"
)

// holder keeps each request until release is closed.
type holder struct {
	begun   chan int
	release chan struct{}
}

// Serve implements snipefront.Handler.
func (h *holder) Serve(ctx context.Context, r *snipefront.Request) (*snipefront.Response, error) {
	h.begun <- len(r.Body)
	select {
	case <-h.release:
	case <-ctx.Done():
	}
	return &snipefront.Response{Status: http.StatusOK, Body: r.Body[:1]}, nil
}

// TestBodiesStayWithinMemory guards against bodies of several callers that take an instance
// over its memory together. One without memory is refused unread, a short one is served,
// and a refusal says nothing of earlier sendings with the same key.
func TestBodiesStayWithinMemory(t *testing.T) {
	const size = 1 << 20
	next := &holder{begun: make(chan int, 2), release: make(chan struct{})}
	c := &snipefront.Config{Services: map[string]snipefront.Service{"balance": {Name: "balance", Deadline: testTimeout}}}
	h := &calls.Handler{
		Next: next, Config: func() *snipefront.Config { return c }, Ready: func() bool { return true }, MaxBodyBytes: size, Counter: discardCounter{},
		Bodies: bound.Bodies{Requests: &bound.Memory{Limit: size, Reserve: size, Wait: 50 * time.Millisecond}},
	}
	send := func(length int, key string) <-chan *httptest.ResponseRecorder {
		done := make(chan *httptest.ResponseRecorder, 1)
		r := httptest.NewRequest(http.MethodPost, "/balance/1", bytes.NewReader(make([]byte, length)))
		if key != "" {
			r.Header.Set(calls.IdempotencyKeyHeader, key)
		}
		go func() {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			done <- w
		}()
		return done
	}
	long := send(size, "")
	if n := <-next.begun; n != size {
		t.Fatalf("the long body has %d bytes", n)
	}
	for key, want := range map[string]snipefront.Verdict{"": snipefront.NotRun, "k": snipefront.MayHaveRun} {
		w := <-send(size/2, key)
		head := w.Header()
		if w.Code != http.StatusServiceUnavailable || head.Get(calls.ReasonHeader) != string(snipefront.ReasonMemory) || head.Get(calls.VerdictHeader) != want.String() ||
			head.Get("Retry-After") == "" || head.Get("Connection") != "close" {
			t.Errorf("a second long body with the key %q: status %d, %v", key, w.Code, head)
		}
	}
	short := send(1000, "")
	if n := <-next.begun; n != 1000 {
		t.Errorf("the short body has %d bytes", n)
	}
	close(next.release)
	for _, done := range []<-chan *httptest.ResponseRecorder{long, short} {
		if w := <-done; w.Code != http.StatusOK {
			t.Errorf("status %d, want 200", w.Code)
		}
	}
}
