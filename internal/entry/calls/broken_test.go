package calls_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/calls"
)

// TestInvalidAnswerIsNotWritten guards against an answer with a status or a field that is none in
// HTTP and that is written to a caller, or ends its connection without an answer.
func TestInvalidAnswerIsNotWritten(t *testing.T) {
	for _, r := range []snipefront.Response{
		{Status: 0},
		{Status: http.StatusSwitchingProtocols},
		{Status: http.StatusEarlyHints},
		{Status: 600},
		{Status: 999},
		{Status: http.StatusOK, Header: http.Header{"X Y": {"z"}}},
		{Status: http.StatusOK, Header: http.Header{"X-Y": {"a\x01z"}}},
	} {
		t.Run(fmt.Sprintf("%d %q", r.Status, r.Header), func(t *testing.T) {
			address := serve(t, &recorder{response: &r})
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/balance/1", nil)
			if err != nil {
				t.Fatal(err)
			}
			got, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			defer got.Body.Close()
			if got.StatusCode != http.StatusBadGateway || got.Header.Get(calls.VerdictHeader) != snipefront.MayHaveRun.String() || got.Header.Get("X-Y") != "" {
				t.Errorf("the caller got %d, %v, want 502 that may have run", got.StatusCode, got.Header)
			}
		})
	}
}
