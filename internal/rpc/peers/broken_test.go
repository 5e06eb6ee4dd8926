package peers_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// TestForwardedAnswerIsChecked guards against an answer of a backend server that is none and that
// another instance, of an earlier version, forwards: it would be given to the caller, or end the
// connection to the caller where its status can't be written.
func TestForwardedAnswerIsChecked(t *testing.T) {
	for _, r := range []snipefront.Response{
		{Status: 0},
		{Status: 20},
		{Status: http.StatusSwitchingProtocols},
		{Status: http.StatusEarlyHints},
		{Status: 600},
		{Status: 999},
		{Status: http.StatusOK, Header: http.Header{"X Y": {"z"}}},
		{Status: http.StatusOK, Header: http.Header{"Content-Length ": {"2"}}},
		{Status: http.StatusOK, Header: http.Header{"": {"z"}}},
		{Status: http.StatusOK, Header: http.Header{"X\x01y": {"z"}}},
		{Status: http.StatusOK, Header: http.Header{"X-Y": {"a\x01z"}}},
		{Status: http.StatusOK, Header: http.Header{"X-Y": {"a\r\nz: 1"}}},
	} {
		t.Run(fmt.Sprintf("%d %v", r.Status, r.Header), func(t *testing.T) {
			o := &funcOwner{f: func(context.Context, *snipefront.Request) (*snipefront.Response, error) { return &r, nil }}
			a, err := forward(t, &peers.Client{}, startServer(t, &peers.Server{Owner: o}), newRequest(http.MethodPost, "x"))
			if a.Response != nil || err == nil || err.Verdict != snipefront.MayHaveRun || err.Status != http.StatusBadGateway || err.RetryAfter != 0 {
				t.Errorf("got %+v and %+v, want 502 that may have run", a.Response, err)
			}
			if n := o.count.Load(); n != 1 {
				t.Errorf("it was forwarded %d times, want once", n)
			}
		})
	}
}

// TestForwardedRefusalIsChecked guards against a refusal of another instance whose status can't be
// written to the caller.
func TestForwardedRefusalIsChecked(t *testing.T) {
	for _, status := range []int{0, 20, http.StatusSwitchingProtocols, 600} {
		o := &funcOwner{f: func(context.Context, *snipefront.Request) (*snipefront.Response, error) {
			return nil, &snipefront.Error{Verdict: snipefront.NotRun, Reason: snipefront.ReasonShed, Status: status}
		}}
		_, err := forward(t, &peers.Client{}, startServer(t, &peers.Server{Owner: o}), newRequest(http.MethodPost, "x"))
		if err == nil || err.Verdict != snipefront.MayHaveRun || err.Status != http.StatusBadGateway {
			t.Errorf("with status %d got %+v, want 502 that may have run", status, err)
		}
	}
}
