package proxy_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/pipe"
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
	if a := p.RefuseUnread(request(t, "/p/1").Request); !isMemoryRefusal(t, a) {
		t.Errorf("the refusal is %+v", a)
	}
	if !strings.Contains(log.String(), "request=7") {
		t.Errorf("the log is %q, want the id 7", log.String())
	}
}
