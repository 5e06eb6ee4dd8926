package client_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/config/client"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

// TestResponseResetBeforeRequestTriesNextAddress guards against a part of a response without a length that
// counts as the final one: the connection was reset before the request was written, whose write then took
// the error. Which call takes it is chance, so it makes many.
func TestResponseResetBeforeRequestTriesNextAddress(t *testing.T) {
	const calls = 500
	whole := serve(t, func(w http.ResponseWriter) { fmt.Fprint(w, `{"Revision":3}`) })
	for name, text := range map[string]string{
		"accepted":           "HTTP/1.1 200 OK\r\n\r\n{\"Revision\":2}",
		"accepted, HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n{\"Revision\":2}",
		"conflict":           "HTTP/1.1 409 Conflict\r\n\r\n{\"Revision\":2}",
		"refused":            "HTTP/1.1 400 Bad Request\r\n\r\nfile 1: unkno",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go rawtcp.Serve(l, rawtcp.ResetAtOnce(text))
			c := client.Client{Addresses: []string{l.Addr().String(), whole}}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			final := 0
			for range calls {
				if got, err := c.Config(ctx); err != nil || got.Revision != 3 {
					final++
				}
			}
			if final > 0 {
				t.Errorf("%d of %d parts of a response count as final, want the next address tried", final, calls)
			}
		})
	}
}
