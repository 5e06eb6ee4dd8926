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

// sum is a counter of whole numbers.
type sum struct {
	prometheus.Counter
	n atomic.Int64
}

// Add implements prometheus.Counter.
func (s *sum) Add(n float64) { s.n.Add(int64(n)) }

// TestBothEndsCountTheSameBytes shows that a connection counts with all its bytes
// from its first call of the metered handler, and another not at all.
func TestBothEndsCountTheSameBytes(t *testing.T) {
	var in, out, clientIn, clientOut sum
	server := &meter.Meter{Received: &in, Sent: &out}
	client := &meter.Meter{Received: &clientIn, Sent: &clientOut}
	r := http.NewServeMux()
	echo := http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) { _, _ = io.Copy(w, h.Body) })
	r.Handle("/control", meter.Handler(echo))
	r.Handle("/other", echo)
	s := httptest.NewUnstartedServer(r)
	s.Listener = server.Listener(s.Listener)
	s.Config.ConnContext = meter.Context
	s.Start()
	call := func(c *http.Client, path string) {
		a, err := c.Get(s.URL + path)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, a.Body)
		a.Body.Close()
	}
	call(&http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}, "/other")
	if n := in.n.Load(); n != 0 {
		t.Errorf("%v bytes of another service are counted", n)
	}
	c := &http.Client{Transport: &http.Transport{DialContext: client.Dialer(time.Minute)}}
	call(c, "/other")
	call(c, "/control")
	call(c, "/control")
	c.CloseIdleConnections()
	s.Close()
	if i, o := in.n.Load(), out.n.Load(); i < 150 || o < 150 || i != clientOut.n.Load() || o != clientIn.n.Load() {
		t.Errorf("the server counts %v and %v, the client %v and %v", i, o, clientOut.n.Load(), clientIn.n.Load())
	}
}
