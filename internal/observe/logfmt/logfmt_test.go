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

// TestErrorIsOneLine logs an error that carries a stack.
func TestErrorIsOneLine(t *testing.T) {
	var b bytes.Buffer
	logfmt.New(&b, slog.LevelInfo).Warn("failed", "error", errors.New("no quorum"))
	if got := b.String(); !strings.HasSuffix(got, "level=WARN msg=failed error=\"no quorum\"\n") {
		t.Errorf("got %q", got)
	}
}

// TestBoundedLeavesLinesOut shows that a message that comes without end is bounded,
// that others pass, and that what was left out is told.
func TestBoundedLeavesLinesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		l := slog.New(logfmt.NewBounded(slog.NewTextHandler(&b, nil)))
		for range 1000 {
			l.Info("refused")
		}
		l.Info("started")
		n := strings.Count(b.String(), "msg=refused")
		if n == 0 || n > 100 || !strings.Contains(b.String(), "msg=started") {
			t.Errorf("%d of 1000 lines passed, and of the other message %v", n, strings.Contains(b.String(), "started"))
		}
		time.Sleep(time.Second)
		l.Info("refused")
		if want := fmt.Sprintf("leftOut=%d", 1000-n); !strings.Contains(b.String(), want) {
			t.Errorf("no %s in the last line", want)
		}
	})
}

// TestQueueNeverWaits shows that a reader who reads nothing stops nobody.
func TestQueueNeverWaits(t *testing.T) {
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
