package lines_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/observe/lines"
)

// TestErrorIsOneLine logs an error that carries a stack.
func TestErrorIsOneLine(t *testing.T) {
	var b bytes.Buffer
	lines.New(&b, slog.LevelInfo).Warn("failed", "error", errors.New("no quorum"))
	if got := b.String(); !strings.HasSuffix(got, "level=WARN msg=failed error=\"no quorum\"\n") {
		t.Errorf("got %q", got)
	}
}
