package peers_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/mux"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

const (
	// limit bounds a wait that only a hanging test reaches.
	limit = 20 * time.Second
	// overdue is the time under which no answer is overdue.
	overdue = 20 * time.Millisecond
)

// relay passes bytes between connections until it is told to silence those that
// are open.
type relay struct {
	net.Listener
	to string

	mu       sync.Mutex
	silent   []*atomic.Bool
	accepted int
	// closed counts the connections that the client closed.
	closed int
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	r := &relay{Listener: l, to: to}
	go r.run()
	return r
}

func (r *relay) run() {
	for {
		c, err := r.Accept()
		if err != nil {
			return
		}
		s, err := net.Dial("tcp", r.to)
		if err != nil {
			c.Close()
			continue
		}
		silent := &atomic.Bool{}
		r.mu.Lock()
		r.accepted++
		r.silent = append(r.silent, silent)
		r.mu.Unlock()
		go func() {
			pass(s, c, silent)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.closed++
		}()
		go pass(c, s, silent)
	}
}

// pass copies bytes and the end of the connection while it is not silent.
func pass(to, from net.Conn, silent *atomic.Bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if silent.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, e := to.Write(b[:n]); err != nil || e != nil {
			to.Close()
			return
		}
	}
}

// silence makes all open connections silent for good.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.silent {
		s.Store(true)
	}
}

func (r *relay) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// open returns the number of connections that the client holds open.
func (r *relay) open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted - r.closed
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
