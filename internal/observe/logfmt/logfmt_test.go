package logfmt_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/observe/logfmt"
)

// TestErrorIsOneLine guards against a stack trace in the log, which would spread a
// record over many lines.
func TestErrorIsOneLine(t *testing.T) {
	var b bytes.Buffer
	logfmt.New(&b, slog.LevelInfo).Warn("failed", "error", errors.New("no quorum"))
	if got := b.String(); !strings.HasSuffix(got, "level=WARN msg=failed error=\"no quorum\"\n") {
		t.Errorf("got %q, want one line that ends in the message of the error", got)
	}
}

// TestRateLimiterLimitsRepeatedMessage guards against a repeated message that floods the
// log. It must be limited without an effect on other messages, and the next line must
// have the number of suppressed ones.
func TestRateLimiterLimitsRepeatedMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		l := slog.New(logfmt.NewRateLimiter(slog.NewTextHandler(&b, nil)))
		for range 1000 {
			l.Info("refused")
		}
		l.Info("started")
		n := strings.Count(b.String(), "msg=refused")
		if n == 0 || n > 100 || !strings.Contains(b.String(), "msg=started") {
			t.Errorf("%d of 1000 lines written; line of the other message written: %v; want 1 to 100 lines, and true", n, strings.Contains(b.String(), "started"))
		}
		time.Sleep(time.Second)
		l.Info("refused")
		if want := fmt.Sprintf("leftOut=%d", 1000-n); !strings.Contains(b.String(), want) {
			t.Errorf("no %s in the log", want)
		}
	})
}

// TestQueueNeverBlocks guards against a process that hangs because nobody reads its
// log.
func TestQueueNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		q := &logfmt.Queue{Writer: w}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- q.Run(ctx) }()
		for range 10000 {
			if _, err := q.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		cancel()
		go func() { _, _ = io.Copy(io.Discard, r) }()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if err := w.Close(); err != nil {
			t.Error(err)
		}
	})
}
