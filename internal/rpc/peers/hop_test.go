package peers_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/quorum/raft"
	"github.com/snipefront/snipefront/internal/rpc/peers"
	"github.com/snipefront/snipefront/internal/rpc/wire"
)

// TestSilentPeer has the open connections go silent for good. A request that may
// be repeated is answered well before its deadline, any other gets the truth, and
// the next one goes on a new connection.
func TestSilentPeer(t *testing.T) {
	o := pairs()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			r := newRelay(t, host(t, &peers.Server{Owner: o}))
			c := &peers.Client{OverdueFloor: overdue, ProvenFor: limit}
			address := r.Addr().String()
			openTwo(t, c, address)
			r.Silence()
			before := o.count.Load()
			a, err := forward(t, c, address, request(method, "x"))
			switch {
			case method == http.MethodGet && (err != nil || string(a.Response.Body) != "x"):
				t.Errorf("idempotent request: %v", err)
			case method == http.MethodPost && (err == nil || err.Verdict != snipefront.MayHaveRun || err.RetryAfter != 0):
				t.Errorf("request that must not repeat: %+v", err)
			}
			if _, err := forward(t, c, address, request(method, "y")); err != nil {
				t.Errorf("next request: %v", err)
			}
			if n := o.count.Load() - before; method == http.MethodPost && n != 1 {
				t.Errorf("%d requests ran, want the second alone", n)
			}
		})
	}
}

// TestUnprovenPeer sends a request that must not run twice when the open
// connections were idle for too long.
func TestUnprovenPeer(t *testing.T) {
	r := newRelay(t, host(t, &peers.Server{Owner: pairs()}))
	c := &peers.Client{OverdueFloor: overdue, ProvenFor: time.Nanosecond}
	openTwo(t, c, r.Addr().String())
	r.Silence()
	if _, err := forward(t, c, r.Addr().String(), request(http.MethodPost, "x")); err != nil {
		t.Error(err)
	}
}

// TestSlowOwner has an owner that runs the request for long after it is overdue.
func TestSlowOwner(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		o := &run{f: func(ctx context.Context, r *snipefront.Request) (*snipefront.Response, error) {
			select {
			case <-time.After(10 * overdue):
			case <-ctx.Done():
			}
			return echo(ctx, r)
		}}
		r := request(method, "x")
		r.Deadline = time.Now().Add(limit)
		c := &peers.Client{OverdueFloor: overdue}
		if _, err := forward(t, c, host(t, &peers.Server{Owner: o}), r); err != nil {
			t.Errorf("%s: %v", method, err)
		}
		if n := o.count.Load(); n != 1 {
			t.Errorf("%s ran %d times", method, n)
		}
	}
}

// TestLostPeer has all connections go silent and new ones refused. A request that
// may be repeated is given up well before its deadline.
func TestLostPeer(t *testing.T) {
	r := newRelay(t, host(t, &peers.Server{Owner: pairs()}))
	c := &peers.Client{OverdueFloor: overdue}
	openTwo(t, c, r.Addr().String())
	r.Silence()
	r.Close()
	q := request(http.MethodGet, "x")
	_, err := forward(t, c, r.Addr().String(), q)
	if err == nil || err.Verdict != snipefront.MayHaveRun || !time.Now().Before(q.Deadline) {
		t.Errorf("request to a lost instance: %+v", err)
	}
	if _, err := forward(t, c, r.Addr().String(), q); err == nil || err.Verdict != snipefront.NotRun {
		t.Errorf("request without a connection: %+v", err)
	}
}

// TestRenewalApart silences the connections of renewals. The next renewal goes
// on a new one, and those of requests stay.
func TestRenewalApart(t *testing.T) {
	l, m := newLeader(1), make(meeting)
	steps := func(context.Context, []raft.Message) ([]raft.Message, error) {
		m.wait()
		return nil, nil
	}
	r := newRelay(t, host(t, &peers.Server{Owner: pairs(), Leader: l, Log: l.Log, Steps: steps}))
	c := &peers.Client{}
	address := r.Addr().String()
	renew := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := c.Renew(ctx, address, leader.Renewal{Instance: self(0)})
		return err
	}
	expect := func(n int) {
		t.Helper()
		if got := r.Accepted(); got != n {
			t.Errorf("%d connections, want %d", got, n)
		}
	}
	twice(t, func() error {
		_, err := c.Step(t.Context(), address, nil)
		return err
	})
	r.Silence()
	openTwo(t, c, address)
	expect(4)
	if err := renew(overdue); err == nil {
		t.Fatal("renewed on a silent connection")
	}
	if err := renew(limit); err != nil {
		t.Errorf("next renewal: %v", err)
	}
	openTwo(t, c, address)
	expect(5)
}

// TestUnusedAddress forgets an address only after a time without a call.
func TestUnusedAddress(t *testing.T) {
	r := newRelay(t, host(t, &peers.Server{Owner: pairs()}))
	c := &peers.Client{}
	for kept, after := range []time.Duration{time.Hour, 0} {
		openTwo(t, c, r.Addr().String())
		if n := c.Expire(time.Now().Add(after)); n != kept {
			t.Errorf("%d addresses are kept %v after a call, want %d", n, after, kept)
		}
		if n := c.Expire(time.Now()); n != kept {
			t.Errorf("%d addresses are left, want %d", n, kept)
		}
	}
	if n := r.Accepted(); n != 4 {
		t.Errorf("%d connections, want two before and two after", n)
	}
	for end := time.Now().Add(limit); r.Open() != 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, want two", r.Open())
		}
	}
}

// TestCancelReachesOwner has the caller give up.
func TestCancelReachesOwner(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan error, 1)
	o := &run{f: func(ctx context.Context, _ *snipefront.Request) (*snipefront.Response, error) {
		close(begun)
		select {
		case <-ctx.Done():
			ended <- ctx.Err()
		case <-time.After(limit):
			ended <- nil
		}
		return nil, ctx.Err()
	}}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	c := &peers.Client{}
	_, err := c.Forward(ctx, host(t, &peers.Server{Owner: o}), 1, cellName, request(http.MethodPost, "x"), false)
	if e := snipefront.AsError(err); e == nil || e.Verdict != snipefront.MayHaveRun {
		t.Errorf("canceled request: %v", err)
	}
	if <-ended == nil {
		t.Error("the owner was not canceled")
	}
}

// TestMessageBounds has messages over the limits of either side.
func TestMessageBounds(t *testing.T) {
	const small = 4 << 10
	long := strings.Repeat("x", 2*small)
	o := &run{f: func(context.Context, *snipefront.Request) (*snipefront.Response, error) {
		return &snipefront.Response{Status: http.StatusOK, Body: []byte(long)}, nil
	}}
	wide := host(t, &peers.Server{Owner: o})
	narrow := host(t, &peers.Server{Owner: o, MaxBytes: small})
	for _, x := range []struct {
		name    string
		client  *peers.Client
		address string
		body    string
		verdict snipefront.Verdict
		reason  snipefront.Reason
		runs    int64
	}{
		{"request, here", &peers.Client{MaxBytes: small}, wide, long, snipefront.NotRun, snipefront.ReasonTooLarge, 0},
		{"request, there", &peers.Client{}, narrow, long, snipefront.MayHaveRun, snipefront.ReasonPeer, 0},
		{"answer", &peers.Client{MaxBytes: small}, wide, "x", snipefront.MayHaveRun, snipefront.ReasonAnswerTooBig, 1},
	} {
		before := o.count.Load()
		_, err := forward(t, x.client, x.address, request(http.MethodPost, x.body))
		if err == nil || err.Verdict != x.verdict || err.Reason != x.reason {
			t.Errorf("%s: %+v", x.name, err)
		}
		if n := o.count.Load() - before; n != x.runs {
			t.Errorf("%s: ran %d times", x.name, n)
		}
	}
}

// TestClosedConnection has the other end close before and after it reads.
func TestClosedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1))
		l.Close()
		c.Close()
	}()
	c := &peers.Client{}
	for _, want := range []snipefront.Verdict{snipefront.MayHaveRun, snipefront.NotRun} {
		if _, err := forward(t, c, l.Addr().String(), request(http.MethodPost, "x")); err == nil || err.Verdict != want {
			t.Errorf("want %v: %+v", want, err)
		}
	}
}

// TestNoAnswerOfAnotherCall has the other end send two answers for each call, so
// that one is left over on the connection.
func TestNoAnswerOfAnotherCall(t *testing.T) {
	h := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		b, _ := io.ReadAll(q.Body)
		var f wire.ForwardRequest
		_ = proto.Unmarshal(b, &f)
		b, _ = proto.Marshal(&wire.ForwardResponse{Status: http.StatusOK, Body: f.Body})
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n", len(b))
		c, in, err := http.NewResponseController(w).Hijack()
		for err == nil {
			_, _ = c.Write([]byte(head + string(b) + head + string(b)))
			q, err = http.ReadRequest(in.Reader)
			if err == nil {
				_, err = io.Copy(io.Discard, q.Body)
			}
		}
	})
	s := httptest.NewServer(h)
	defer s.Close()
	c := &peers.Client{}
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			for n := range 500 {
				body := strconv.Itoa(n*8 + i)
				a, _ := forward(t, c, s.Listener.Addr().String(), request(http.MethodPost, body))
				if a.Response != nil && string(a.Response.Body) != body {
					t.Errorf("request %s got the answer %s", body, a.Response.Body)
					return
				}
			}
		})
	}
	all.Wait()
}

// TestFrozenPeer has an instance that accepts connections and answers nothing. All
// requests that may be repeated are given up by what a few checks found.
func TestFrozenPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var accepted atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			accepted.Add(1)
		}
	}()
	const calls = 40
	c := &peers.Client{OverdueFloor: overdue}
	ended := make(chan *snipefront.Error, calls)
	for range calls {
		go func() {
			_, err := forward(t, c, l.Addr().String(), request(http.MethodGet, "x"))
			ended <- err
		}()
	}
	for range calls {
		if err := <-ended; err == nil || err.Verdict != snipefront.MayHaveRun {
			t.Errorf("request to a frozen instance: %+v", err)
		}
	}
	if n := accepted.Load(); n > calls+calls/2 {
		t.Errorf("%d connections for %d requests", n, calls)
	}
}
