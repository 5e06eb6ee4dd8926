package proxy_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/pipe"
	"github.com/snipefront/snipefront/internal/rpc/bound"
)

// isMemoryRefusal reports whether a refuses the request 7 for lack of memory: it was not run,
// and may be sent again.
func isMemoryRefusal(t *testing.T, a pipe.Answer) bool {
	t.Helper()
	var problem struct{ Reason, Verdict string }
	if err := json.Unmarshal(a.Body, &problem); err != nil {
		t.Fatal(err)
	}
	return a.Status == http.StatusServiceUnavailable && a.Header.Get("Retry-After") != "" && a.Header.Get("Id") == "7" &&
		problem.Reason == string(snipefront.ReasonMemory) && problem.Verdict == snipefront.NotRun.String()
}

// TestUnreadRequestIsRefusedWithItsID guards against a refusal for lack of memory that can't
// be traced: without the id, the verdict or a log line.
func TestUnreadRequestIsRefusedWithItsID(t *testing.T) {
	p := newProxy(t, nil)
	var log bytes.Buffer
	p.Logger = slog.New(slog.NewTextHandler(&log, nil))
	if a := p.RefuseForMemory(request(t, "/p/1").Request); !isMemoryRefusal(t, a) {
		t.Errorf("the refusal is %+v", a)
	}
	if !strings.Contains(log.String(), "request=7") {
		t.Errorf("the log is %q, want the id 7", log.String())
	}
}

// TestRequestsWithLongAnswersAreRefusedWhileAnswersWait guards against a request that is sent
// on although its answer, like that of the route's last one, will find no memory, so that
// it runs and is lost. A route with short answers is served.
func TestRequestsWithLongAnswersAreRefusedWhileAnswersWait(t *testing.T) {
	const size = 1 << 20
	m := &bound.Memory{Limit: size}
	held, err := m.ReadBody(t.Context(), bytes.NewReader(make([]byte, size)), size, size)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := m.ReadBody(ctx, bytes.NewReader(make([]byte, size)), size, size)
		ended <- err
	}()
	for !m.Scarce() {
		time.Sleep(time.Millisecond)
	}
	s := &sender{response: &snipefront.Response{Status: http.StatusOK, Body: make([]byte, 2*bound.ShortBytes)}}
	p := newProxy(t, s)
	p.Answers = m
	if a := p.Handle(t.Context(), request(t, "/p/1")); a.Status != http.StatusOK {
		t.Fatalf("the first request: status %d, want 200", a.Status)
	}
	s.call = nil
	if a := p.Handle(t.Context(), request(t, "/p/2")); !isMemoryRefusal(t, a) || s.call != nil {
		t.Errorf("a request on a route with long answers: %+v, sent on: %v", a, s.call != nil)
	}
	cancel()
	if err := <-ended; !errors.Is(err, bound.ErrNoMemory) {
		t.Errorf("the answer that waited ended with %v", err)
	}
	s.response.Body = []byte("short")
	for n := range 2 {
		if a := p.Handle(t.Context(), request(t, "/p/3")); a.Status != http.StatusOK {
			t.Errorf("request %d after the wait has ended: status %d, want 200", n, a.Status)
		}
	}
	runtime.KeepAlive(held)
}
