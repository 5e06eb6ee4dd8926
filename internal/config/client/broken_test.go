package client_test

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/config/client"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

// TestBrokenResponseTriesNextAddress guards against a response with a status or a field that is none
// in HTTP and that counts as the final one: a call would be refused, or take what it holds for the
// configuration, though the next address gives a sound response.
func TestBrokenResponseTriesNextAddress(t *testing.T) {
	complete := serve(t, func(w http.ResponseWriter) { _, _ = io.WriteString(w, `{"Revision":3}`) })
	answers := rawtcp.InvalidStatuses("")
	maps.Copy(answers, rawtcp.InvalidFields(""))
	maps.Copy(answers, rawtcp.InvalidTrailers(""))
	answers["blank within a name, a whole configuration"] = "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 14\r\n\r\n" + `{"Revision":2}`
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go rawtcp.Serve(l, rawtcp.HTTPHandler(func(c net.Conn, _ *http.Request) {
				_, _ = io.WriteString(c, text)
				c.Close()
			}))
			c := client.Client{Addresses: []string{l.Addr().String(), complete}}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			got, err := c.Config(ctx)
			if err != nil || got.Revision != 3 {
				t.Errorf("got revision %d and error %v, want revision 3 from the next address", got.Revision, err)
			}
		})
	}
}
