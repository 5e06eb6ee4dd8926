package meter_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/snipefront/snipefront/internal/rpc/meter"
)

// counter is a prometheus.Counter whose value the test can read.
type counter struct {
	prometheus.Counter
	n atomic.Int64
}

// Add implements prometheus.Counter.
func (c *counter) Add(n float64) { c.n.Add(int64(n)) }

// TestBothEndsCountTheSameBytes guards against bytes that are lost or counted wrongly
// when a connection carries several services. A connection must count with all its
// bytes from its first call of the metered handler, and others not at all.
func TestBothEndsCountTheSameBytes(t *testing.T) {
	var received, sent, clientReceived, clientSent counter
	server := &meter.Meter{Received: &received, Sent: &sent}
	client := &meter.Meter{Received: &clientReceived, Sent: &clientSent}
	r := http.NewServeMux()
	echo := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { _, _ = io.Copy(w, q.Body) })
	r.Handle("/control", meter.Handler(echo))
	r.Handle("/other", echo)
	s := httptest.NewUnstartedServer(r)
	s.Listener = server.Listener(s.Listener)
	s.Config.ConnContext = meter.Context
	s.Start()
	call := func(c *http.Client, path string) {
		resp, err := c.Get(s.URL + path)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	call(&http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}, "/other")
	if n := received.n.Load(); n != 0 {
		t.Errorf("%v bytes of another service are counted, want none", n)
	}
	c := &http.Client{Transport: &http.Transport{DialContext: client.Dialer(time.Minute)}}
	call(c, "/other")
	call(c, "/control")
	call(c, "/control")
	c.CloseIdleConnections()
	s.Close()
	if i, o := received.n.Load(), sent.n.Load(); i < 150 || o < 150 || i != clientSent.n.Load() || o != clientReceived.n.Load() {
		t.Errorf("the server counts %v bytes received and %v sent, the client %v sent and %v received, want the same, at least 150 each way", i, o, clientSent.n.Load(), clientReceived.n.Load())
	}
}
