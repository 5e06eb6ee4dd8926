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

// TestForwardReplacesHalfOpenConnections guards against requests that wait on
// half-open connections until their deadline. An idempotent request is answered over a
// new connection, any other one fails with MayHaveRun, and the next request uses a new
// connection.
func TestForwardReplacesHalfOpenConnections(t *testing.T) {
	o := newPairingOwner()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			r := newRelay(t, startServer(t, &peers.Server{Owner: o}))
			c := &peers.Client{OverdueFloor: overdueFloor, ProvenFor: testTimeout}
			address := r.Addr().String()
			openTwoConns(t, c, address)
			r.MakeHalfOpen()
			before := o.count.Load()
			a, err := forward(t, c, address, newRequest(method, "x"))
			switch {
			case method == http.MethodGet && (err != nil || string(a.Response.Body) != "x"):
				t.Errorf("idempotent request: %v, want its body as the answer", err)
			case method == http.MethodPost && (err == nil || err.Verdict != snipefront.MayHaveRun || err.RetryAfter != 0):
				t.Errorf("request that is not idempotent: %+v, want MayHaveRun without a time for a resend", err)
			}
			if _, err := forward(t, c, address, newRequest(method, "y")); err != nil {
				t.Errorf("next request: %v, want an answer", err)
			}
			if n := o.count.Load() - before; method == http.MethodPost && n != 1 {
				t.Errorf("%d requests ran, want only the second", n)
			}
		})
	}
}

// TestNonIdempotentRequestAvoidsIdleConnections guards against losing a request that is
// not idempotent on a half-open connection. The open connections have been idle for
// longer than ProvenFor, so the request uses a new one.
func TestNonIdempotentRequestAvoidsIdleConnections(t *testing.T) {
	r := newRelay(t, startServer(t, &peers.Server{Owner: newPairingOwner()}))
	c := &peers.Client{OverdueFloor: overdueFloor, ProvenFor: time.Nanosecond}
	openTwoConns(t, c, r.Addr().String())
	r.MakeHalfOpen()
	if _, err := forward(t, c, r.Addr().String(), newRequest(http.MethodPost, "x")); err != nil {
		t.Error(err)
	}
}

// TestSlowOwnerRunsRequestOnce guards against sending a request again although the
// owner still runs it. The owner answers long after the answer is overdue.
func TestSlowOwnerRunsRequestOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		o := &funcOwner{f: func(ctx context.Context, r *snipefront.Request) (*snipefront.Response, error) {
			select {
			case <-time.After(10 * overdueFloor):
			case <-ctx.Done():
			}
			return echo(ctx, r)
		}}
		r := newRequest(method, "x")
		r.Deadline = time.Now().Add(testTimeout)
		c := &peers.Client{OverdueFloor: overdueFloor}
		if _, err := forward(t, c, startServer(t, &peers.Server{Owner: o}), r); err != nil {
			t.Errorf("%s: %v", method, err)
		}
		if n := o.count.Load(); n != 1 {
			t.Errorf("%s ran %d times, want once", method, n)
		}
	}
}

// TestUnreachablePeerEndsIdempotentRequest guards against waiting for an unreachable
// instance. All open connections are half-open and new ones are refused, so an
// idempotent request fails before its deadline.
func TestUnreachablePeerEndsIdempotentRequest(t *testing.T) {
	r := newRelay(t, startServer(t, &peers.Server{Owner: newPairingOwner()}))
	c := &peers.Client{OverdueFloor: overdueFloor}
	openTwoConns(t, c, r.Addr().String())
	r.MakeHalfOpen()
	r.Close()
	q := newRequest(http.MethodGet, "x")
	_, err := forward(t, c, r.Addr().String(), q)
	if err == nil || err.Verdict != snipefront.MayHaveRun || !time.Now().Before(q.Deadline) {
		t.Errorf("request to an unreachable instance: %+v, want MayHaveRun before the deadline", err)
	}
	if _, err := forward(t, c, r.Addr().String(), q); err == nil || err.Verdict != snipefront.NotRun {
		t.Errorf("request without a connection: %+v, want NotRun", err)
	}
}

// TestRenewalsHaveTheirOwnConnections guards against faults that spread between renewals
// and requests. The connections of renewals are half-open, so the next renewal uses a
// new one. The connections of requests remain in use.
func TestRenewalsHaveTheirOwnConnections(t *testing.T) {
	l, m := newLeader(1), make(rendezvous)
	steps := func(context.Context, []raft.Message) ([]raft.Message, error) {
		m.wait()
		return nil, nil
	}
	r := newRelay(t, startServer(t, &peers.Server{Owner: newPairingOwner(), Leader: l, Log: l.Log, Steps: steps}))
	c := &peers.Client{}
	address := r.Addr().String()
	renew := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := c.Renew(ctx, address, leader.Renewal{Instance: newInstance(0)})
		return err
	}
	expect := func(n int) {
		t.Helper()
		if got := r.Accepted(); got != n {
			t.Errorf("%d connections, want %d", got, n)
		}
	}
	callTwice(t, func() error {
		_, err := c.Step(t.Context(), address, nil)
		return err
	})
	r.MakeHalfOpen()
	openTwoConns(t, c, address)
	expect(4)
	if err := renew(overdueFloor); err == nil {
		t.Fatal("renewed on a half-open connection")
	}
	if err := renew(testTimeout); err != nil {
		t.Errorf("next renewal: %v", err)
	}
	openTwoConns(t, c, address)
	expect(5)
}

// TestUnusedAddressExpires guards against connections that stay open for good after an
// instance has left the fleet, and against closing those that are in use.
func TestUnusedAddressExpires(t *testing.T) {
	r := newRelay(t, startServer(t, &peers.Server{Owner: newPairingOwner()}))
	c := &peers.Client{}
	// The index is the number of addresses that are still kept after the time.
	for kept, after := range []time.Duration{time.Hour, 0} {
		openTwoConns(t, c, r.Addr().String())
		if n := c.Expire(time.Now().Add(after)); n != kept {
			t.Errorf("%d addresses are kept %v after a call, want %d", n, after, kept)
		}
		if n := c.Expire(time.Now()); n != kept {
			t.Errorf("%d addresses remain, want %d", n, kept)
		}
	}
	if n := r.Accepted(); n != 4 {
		t.Errorf("%d connections, want two before and two after the address expired", n)
	}
	for end := time.Now().Add(testTimeout); r.Open() != 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, want two", r.Open())
		}
	}
}

// TestCancelReachesOwner guards against an owner that keeps running a request after its
// caller has canceled it.
func TestCancelReachesOwner(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan error, 1)
	o := &funcOwner{f: func(ctx context.Context, _ *snipefront.Request) (*snipefront.Response, error) {
		close(begun)
		select {
		case <-ctx.Done():
			ended <- ctx.Err()
		case <-time.After(testTimeout):
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
	_, err := c.Forward(ctx, startServer(t, &peers.Server{Owner: o}), 1, testCell, newRequest(http.MethodPost, "x"), false)
	if e := snipefront.AsError(err); e == nil || e.Verdict != snipefront.MayHaveRun {
		t.Errorf("canceled request: %v, want MayHaveRun", err)
	}
	if <-ended == nil {
		t.Error("the owner was not canceled")
	}
}

// TestMessageSizeLimits guards against a wrong verdict for a message over the limit of
// the client or of the server. Only a request that the client does not send is NotRun.
func TestMessageSizeLimits(t *testing.T) {
	const small = 4 << 10
	long := strings.Repeat("x", 2*small)
	o := &funcOwner{f: func(context.Context, *snipefront.Request) (*snipefront.Response, error) {
		return &snipefront.Response{Status: http.StatusOK, Body: []byte(long)}, nil
	}}
	wide := startServer(t, &peers.Server{Owner: o})
	narrow := startServer(t, &peers.Server{Owner: o, MaxBytes: small})
	for _, test := range []struct {
		name    string
		client  *peers.Client
		address string
		body    string
		verdict snipefront.Verdict
		reason  snipefront.Reason
		runs    int64
	}{
		{"request over the client's limit", &peers.Client{MaxBytes: small}, wide, long, snipefront.NotRun, snipefront.ReasonTooLarge, 0},
		{"request over the server's limit", &peers.Client{}, narrow, long, snipefront.MayHaveRun, snipefront.ReasonPeer, 0},
		{"answer over the client's limit", &peers.Client{MaxBytes: small}, wide, "x", snipefront.MayHaveRun, snipefront.ReasonAnswerTooBig, 1},
	} {
		before := o.count.Load()
		_, err := forward(t, test.client, test.address, newRequest(http.MethodPost, test.body))
		if err == nil || err.Verdict != test.verdict || err.Reason != test.reason {
			t.Errorf("%s: %+v does not have the wanted verdict and reason", test.name, err)
		}
		if n := o.count.Load() - before; n != test.runs {
			t.Errorf("%s: ran %d times", test.name, n)
		}
	}
}

// TestClosedConnectionVerdicts guards against a wrong NotRun when a connection closes.
// The first request is partly read before the other end closes its connection, so it may
// have run. The second one gets no connection.
func TestClosedConnectionVerdicts(t *testing.T) {
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
		if _, err := forward(t, c, l.Addr().String(), newRequest(http.MethodPost, "x")); err == nil || err.Verdict != want {
			t.Errorf("request on a closed connection: want the verdict %v, got %+v", want, err)
		}
	}
}

// TestAnswerOfAnotherCallIsRejected guards against taking a surplus answer on a reused
// connection for that of the next call. The other end sends two answers to each call.
func TestAnswerOfAnotherCallIsRejected(t *testing.T) {
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
				a, _ := forward(t, c, s.Listener.Addr().String(), newRequest(http.MethodPost, body))
				if a.Response != nil && string(a.Response.Body) != body {
					t.Errorf("request %s got the answer %s", body, a.Response.Body)
					return
				}
			}
		})
	}
	all.Wait()
}

// TestUnresponsivePeerEndsIdempotentRequests guards against a check for every request
// that waits for an unresponsive instance, which accepts connections and never answers.
// All idempotent requests fail after a few checks.
func TestUnresponsivePeerEndsIdempotentRequests(t *testing.T) {
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
	c := &peers.Client{OverdueFloor: overdueFloor}
	ended := make(chan *snipefront.Error, calls)
	for range calls {
		go func() {
			_, err := forward(t, c, l.Addr().String(), newRequest(http.MethodGet, "x"))
			ended <- err
		}()
	}
	for range calls {
		if err := <-ended; err == nil || err.Verdict != snipefront.MayHaveRun {
			t.Errorf("request to an unresponsive instance: %+v, want MayHaveRun", err)
		}
	}
	if n := accepted.Load(); n > calls+calls/2 {
		t.Errorf("%d connections for %d requests, want at most 3 for every 2 requests", n, calls)
	}
}
