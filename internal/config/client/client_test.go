package client_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/config/client"
)

// TestCallTriesNextAddress guards against a call that fails at an address without a
// usable response, although the next address would give one. The first address accepts
// the connection and never responds, the next response is truncated, and the one after
// that is malformed JSON.
func TestCallTriesNextAddress(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	truncated := serve(t, func(w http.ResponseWriter) {
		w.Header().Set("Content-Length", "100")
		fmt.Fprint(w, `{"Revision":1}`)
	})
	malformed := serve(t, func(w http.ResponseWriter) { fmt.Fprint(w, `{"Revision":2`) })
	complete := serve(t, func(w http.ResponseWriter) { fmt.Fprint(w, `{"Revision":3}`) })
	c := client.Client{
		Addresses:      []string{unresponsive.Addr().String(), truncated, malformed, complete},
		AttemptTimeout: 100 * time.Millisecond,
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	got, err := c.Config(ctx)
	if err != nil || got.Revision != 3 {
		t.Errorf("got revision %d and error %v, want revision 3 from the last address", got.Revision, err)
	}
}

func serve(t *testing.T, handle func(http.ResponseWriter)) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { handle(w) }))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}
