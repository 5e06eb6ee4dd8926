package peers_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/mux"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/rpc/peers"
	"github.com/snipefront/snipefront/internal/stand/relay"
)

const (
	// limit bounds a wait that only a hanging test reaches.
	limit = 20 * time.Second
	// overdue is the time under which no answer is overdue.
	overdue = 20 * time.Millisecond
)

func newRelay(t *testing.T, to string) *relay.Relay {
	t.Helper()
	r, err := relay.Start(to)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	return r
}

// run is an owner that runs requests with a function and counts them.
type run struct {
	owner
	f     func(ctx context.Context, r *snipefront.Request) (*snipefront.Response, error)
	count atomic.Int64
}

func (o *run) Forwarded(ctx context.Context, _ snipefront.Cell, r *snipefront.Request, _ bool) (peers.Answer, error) {
	o.count.Add(1)
	resp, err := o.f(ctx, r)
	return peers.Answer{Response: resp}, err
}

// echo answers with the body of the request.
func echo(_ context.Context, r *snipefront.Request) (*snipefront.Response, error) {
	return &snipefront.Response{Status: http.StatusOK, Body: r.Body}, nil
}

// meeting holds a call until another one is there too.
type meeting chan struct{}

func (m meeting) wait() {
	select {
	case m <- struct{}{}:
	case <-m:
	}
}

// pairs echoes after requests with the body "pair" have met.
func pairs() *run {
	m := make(meeting)
	return &run{f: func(ctx context.Context, r *snipefront.Request) (*snipefront.Response, error) {
		if string(r.Body) == "pair" {
			m.wait()
		}
		return echo(ctx, r)
	}}
}

// twice makes two calls at once, which leaves two open connections behind.
func twice(t *testing.T, call func() error) {
	t.Helper()
	var both sync.WaitGroup
	for range 2 {
		both.Go(func() {
			if err := call(); err != nil {
				t.Error(err)
			}
		})
	}
	both.Wait()
}

// host serves s and returns its address.
func host(t *testing.T, s *peers.Server) string {
	t.Helper()
	m := mux.NewRouter()
	s.Route(m)
	h := httptest.NewServer(m)
	t.Cleanup(func() {
		h.CloseClientConnections()
		h.Close()
	})
	return h.Listener.Addr().String()
}

func request(method, body string) *snipefront.Request {
	return &snipefront.Request{
		Method:     method,
		Target:     "/balance/1",
		Body:       []byte(body),
		Deadline:   time.Now().Add(limit),
		Idempotent: method == http.MethodGet,
	}
}

var cellName = snipefront.Cell{Service: "balance", DataCentre: "d"}

func forward(t *testing.T, c *peers.Client, address string, r *snipefront.Request) (peers.Answer, *snipefront.Error) {
	t.Helper()
	a, err := c.Forward(t.Context(), address, 1, cellName, r, false)
	return a, snipefront.AsError(err)
}

// openTwo leaves two open connections to an owner that pairs.
func openTwo(t *testing.T, c *peers.Client, address string) {
	t.Helper()
	twice(t, func() error {
		_, err := c.Forward(t.Context(), address, 1, cellName, request(http.MethodGet, "pair"), false)
		return err
	})
}
