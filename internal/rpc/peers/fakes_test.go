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
	// testTimeout bounds the waits of a test that hangs.
	testTimeout = 20 * time.Second
	// overdueFloor is the minimum time after which an answer is overdue.
	overdueFloor = 20 * time.Millisecond
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

// funcOwner runs requests with the function f and counts them.
type funcOwner struct {
	echoOwner
	f     func(ctx context.Context, r *snipefront.Request) (*snipefront.Response, error)
	count atomic.Int64
}

func (o *funcOwner) HandleForward(ctx context.Context, _ snipefront.Cell, r *snipefront.Request, _ bool) (peers.Answer, error) {
	o.count.Add(1)
	resp, err := o.f(ctx, r)
	return peers.Answer{Response: resp}, err
}

// echo returns an answer with the body of the request.
func echo(_ context.Context, r *snipefront.Request) (*snipefront.Response, error) {
	return &snipefront.Response{Status: http.StatusOK, Body: r.Body}, nil
}

// rendezvous blocks a call of wait until there is a second one.
type rendezvous chan struct{}

func (m rendezvous) wait() {
	select {
	case m <- struct{}{}:
	case <-m:
	}
}

// newPairingOwner returns an owner that echoes. A request with the body "pair" first
// waits for another such request.
func newPairingOwner() *funcOwner {
	m := make(rendezvous)
	return &funcOwner{f: func(ctx context.Context, r *snipefront.Request) (*snipefront.Response, error) {
		if string(r.Body) == "pair" {
			m.wait()
		}
		return echo(ctx, r)
	}}
}

// callTwice makes two concurrent calls, which leave two open connections.
func callTwice(t *testing.T, call func() error) {
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

// startServer starts an HTTP server for s and returns its address.
func startServer(t *testing.T, s *peers.Server) string {
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

func newRequest(method, body string) *snipefront.Request {
	return &snipefront.Request{
		Method:     method,
		Target:     "/balance/1",
		Body:       []byte(body),
		Deadline:   time.Now().Add(testTimeout),
		Idempotent: method == http.MethodGet,
	}
}

var testCell = snipefront.Cell{Service: "balance", DataCentre: "d"}

func forward(t *testing.T, c *peers.Client, address string, r *snipefront.Request) (peers.Answer, *snipefront.Error) {
	t.Helper()
	a, err := c.Forward(t.Context(), address, 1, testCell, r, false)
	return a, snipefront.AsError(err)
}

// openTwoConns leaves two open connections to an owner of newPairingOwner.
func openTwoConns(t *testing.T, c *peers.Client, address string) {
	t.Helper()
	callTwice(t, func() error {
		_, err := c.Forward(t.Context(), address, 1, testCell, newRequest(http.MethodGet, "pair"), false)
		return err
	})
}
