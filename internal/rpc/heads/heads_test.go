package heads_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/snipefront/snipefront/internal/rpc/heads"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

const (
	brokenAnswer = "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 0\r\n\r\n"
	staleAnswer  = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"
	freshAnswer  = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfresh"
)

// listen serves connections by f and returns the URL.
func listen(t *testing.T, f func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go rawtcp.Serve(l, f)
	return "http://" + l.Addr().String()
}

// get sends a request over tr and returns the body of the answer.
func get(t *testing.T, tr heads.Transport, url string) (string, error) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// TestConnectionOfBrokenAnswerCarriesNoOther guards against a request that waits for a connection, gets
// the one of a broken answer without a body and takes what comes on it for its own answer.
func TestConnectionOfBrokenAnswerCarriesNoOther(t *testing.T) {
	for range 50 {
		returned := make(chan struct{})
		var accepted atomic.Int64
		url := listen(t, func(c net.Conn) {
			broken := accepted.Add(1) == 1
			b := bufio.NewReader(c)
			for first := true; ; first = false {
				if _, err := http.ReadRequest(b); err != nil {
					return
				}
				switch {
				case broken && first:
					_, _ = io.WriteString(c, brokenAnswer)
				case broken:
					<-returned
					_, _ = io.WriteString(c, staleAnswer)
				default:
					_, _ = io.WriteString(c, freshAnswer)
				}
			}
		})
		// The second request waits until the connection of the first is idle.
		tr := heads.Transport{Base: &http.Transport{MaxConnsPerHost: 1}}
		ended := make(chan string, 2)
		for range 2 {
			go func() {
				body, err := get(t, tr, url)
				var broken *heads.Error
				if errors.As(err, &broken) {
					close(returned)
				}
				ended <- body
			}()
		}
		for range 2 {
			if body := <-ended; body == "stale" {
				t.Fatal("a request took an answer from the connection of a broken one")
			}
		}
		tr.CloseIdleConnections()
	}
}

// TestManyInterimAnswersAreSkipped guards against an answer that is lost since many small interim
// answers come before it.
func TestManyInterimAnswersAreSkipped(t *testing.T) {
	url := listen(t, rawtcp.HTTPHandler(func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 102 Processing\r\nX-Y: z\r\n\r\n", 200)+freshAnswer)
	}))
	tr := heads.Transport{Base: &http.Transport{DisableKeepAlives: true}}
	if body, err := get(t, tr, url); err != nil || body != "fresh" {
		t.Errorf("got %q, %v, want the answer", body, err)
	}
}
