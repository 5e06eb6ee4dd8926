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

// TestNextAddressAnswers has a first address that takes the connection and
// never answers, one whose answer is cut short and one whose answer is no JSON.
func TestNextAddressAnswers(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	short := serve(t, func(w http.ResponseWriter) {
		w.Header().Set("Content-Length", "100")
		fmt.Fprint(w, `{"Revision":1}`)
	})
	garbled := serve(t, func(w http.ResponseWriter) { fmt.Fprint(w, `{"Revision":2`) })
	whole := serve(t, func(w http.ResponseWriter) { fmt.Fprint(w, `{"Revision":3}`) })
	c := client.Client{
		Addresses:      []string{silent.Addr().String(), short, garbled, whole},
		AttemptTimeout: 100 * time.Millisecond,
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	got, err := c.Config(ctx)
	if err != nil || got.Revision != 3 {
		t.Errorf("revision %d, error %v", got.Revision, err)
	}
}

func serve(t *testing.T, answer func(http.ResponseWriter)) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w) }))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}
