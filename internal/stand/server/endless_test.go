package server_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/stand/rawtcp"
	"github.com/snipefront/snipefront/internal/stand/server"
)

// TestAnswersWithoutEnd checks that with Endless a request and a probe get an answer that
// doesn't end, and that the server goes on once they have closed the connection.
func TestAnswersWithoutEnd(t *testing.T) {
	s := &server.Server{Slots: 1}
	ctx, stop := context.WithCancel(t.Context())
	url, ended := start(t, ctx, s)
	s.SetMode(server.Mode{Endless: rawtcp.Body, EndlessPauseMillis: 1})
	for _, path := range []string{"/1", "/.stand/health", "/.stand/load", "/2"} {
		r, err := http.Get(url + path)
		if err != nil {
			t.Fatal(err)
		}
		b := make([]byte, 1000)
		for range 10 {
			if _, err := r.Body.Read(b); err != nil {
				t.Fatalf("the answer to %s ended: %v", path, err)
			}
		}
		r.Body.Close()
	}
	s.SetMode(server.Mode{})
	client := http.Client{Timeout: testTimeout}
	if r, err := client.Get(url + "/3"); err != nil || r.StatusCode != http.StatusOK {
		t.Errorf("a later request ended with %v, %v", r, err)
	}
	stop()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Error("the server does not stop")
	}
}
