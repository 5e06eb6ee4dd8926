package direct_test

import (
	"bytes"
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/rpc/bound"
)

// TestNoRequestIsHedgedWhileAnswersWaitForMemory guards against further attempts for answers
// that are late only since this instance has no memory for them.
func TestNoRequestIsHedgedWhileAnswersWaitForMemory(t *testing.T) {
	const size = 1 << 20
	m := &bound.Memory{Limit: size}
	held, err := m.ReadBody(t.Context(), bytes.NewReader(make([]byte, size)), size, size)
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeLink{send: func(ctx context.Context, _ string) direct.Attempt {
		if _, err := m.ReadBody(ctx, bytes.NewReader(make([]byte, size)), size, size); err != nil {
			return broken
		}
		return answered
	}}
	d := newDispatcher(3, s)
	d.Answers = m
	begun := time.Now()
	if _, err := d.Serve(t.Context(), newCall(true)); err == nil {
		t.Error("the answer found memory")
	}
	if len(s.sent) != 1 {
		t.Errorf("sent to %v in %v, want one attempt", s.sent, time.Since(begun))
	}
	runtime.KeepAlive(held)
}
