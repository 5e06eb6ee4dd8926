package calls_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/entry/calls"
)

// testTimeout bounds a wait. Only a test that hangs reaches it.
const testTimeout = 20 * time.Second

// recorder records the requests that the handler forwards and returns the same response
// to each.
type recorder struct {
	response *snipefront.Response

	mu       sync.Mutex
	received []*snipefront.Request
}

func (rc *recorder) Serve(_ context.Context, r *snipefront.Request) (*snipefront.Response, error) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.received = append(rc.received, r)
	return rc.response, nil
}

func (rc *recorder) requests() []*snipefront.Request {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.received
}

type discardCounter struct{}

func (discardCounter) Answered(string, int, time.Duration) {}
func (discardCounter) Refused(string, *snipefront.Error)   {}

// serve runs a server that forwards requests to rec, and returns its address.
func serve(t *testing.T, rec *recorder) string {
	t.Helper()
	if rec.response == nil {
		rec.response = &snipefront.Response{Status: http.StatusOK, Body: []byte("ok"), BackendServer: "b"}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &snipefront.Config{Services: map[string]snipefront.Service{"balance": {Name: "balance", Deadline: testTimeout}}}
	s := &http.Server{
		Handler:        &calls.Handler{Next: rec, Config: func() *snipefront.Config { return c }, Ready: func() bool { return true }, MaxBodyBytes: 100, Counter: discardCounter{}},
		MaxHeaderBytes: 4 << 10,
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("server ended: %v", err)
		}
	})
	return l.Addr().String()
}

// exchange sends raw, closes the sending side of the connection and returns all that it
// receives.
func exchange(t *testing.T, address, raw string) string {
	t.Helper()
	c, err := net.DialTimeout("tcp", address, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	// The server may respond and close the connection before all is written.
	_, _ = io.WriteString(c, raw)
	_ = c.(*net.TCPConn).CloseWrite()
	b, _ := io.ReadAll(c)
	return string(b)
}

// TestAmbiguousRequestsAreRefused sends requests that exceed a limit, are cut short, or
// whose length or target two parsers could read in two ways (request smuggling), and
// checks that none is forwarded.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	for _, c := range []struct{ name, raw, status string }{
		{"two lengths", "POST /balance/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy", "400"},
		{"length list", "POST /balance/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 2\r\n\r\nxy", "400"},
		{"signed length", "POST /balance/1 HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\nx", "400"},
		{"two transfer encodings", "POST /balance/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n", "501"},
		{"other transfer encoding", "POST /balance/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", "501"},
		{"space before the colon", "POST /balance/1 HTTP/1.1\r\nHost: h\r\nContent-Length : 1\r\n\r\nx", "400"},
		{"NUL in a value", "GET /balance/1 HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n", "400"},
		{"NUL in the target", "GET /balance/\x00 HTTP/1.1\r\nHost: h\r\n\r\n", "400"},
		{"folded first line", "GET /balance/1 HTTP/1.1\r\n X: y\r\nHost: h\r\n\r\n", "400"},
		{"no host", "GET /balance/1 HTTP/1.1\r\n\r\n", "400"},
		{"two hosts", "GET /balance/1 HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "400"},
		{"header over the limit", "GET /balance/1 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 1<<16) + "\r\n\r\n", "431"},
		{"body cut short", "POST /balance/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx", "400"},
		{"chunks cut short", "POST /balance/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nx", "400"},
		{"body over the limit", "POST /balance/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101), "413"},
		{"chunks over the limit", "POST /balance/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", 101) + "\r\n0\r\n\r\n", "413"},
		{"connect", "CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\n", "405"},
		{"connect to a path", "CONNECT /balance/1 HTTP/1.1\r\nHost: h\r\n\r\n", "405"},
		{"encoded slash after the service", "GET /balance%2F1 HTTP/1.1\r\nHost: h\r\n\r\n", "404"},
		{"encoded service", "GET /%62alance/1 HTTP/1.1\r\nHost: h\r\n\r\n", "404"},
		{"absolute target without a path", "GET http://balance HTTP/1.1\r\nHost: h\r\n\r\n", "404"},
		{"empty first segment", "GET //balance/1 HTTP/1.1\r\nHost: h\r\n\r\n", "404"},
		{"service after dot segments", "GET /x/../balance/1 HTTP/1.1\r\nHost: h\r\n\r\n", "404"},
		{"refused before the body", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n", "404"},
		{"other expectation", "POST /balance/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: x\r\n\r\nx", "417"},
	} {
		t.Run(c.name, func(t *testing.T) {
			rec := &recorder{}
			got := exchange(t, serve(t, rec), c.raw)
			if !strings.HasPrefix(got, "HTTP/1.1 "+c.status+" ") {
				t.Errorf("got response %q, want status %s", got, c.status)
			}
			if n := len(rec.requests()); n != 0 {
				t.Errorf("%d requests were forwarded, want none", n)
			}
		})
	}
}

// TestValidRequestsAreForwarded sends requests that are unusual but unambiguous, and
// checks that the target, the body and no hop-by-hop field are forwarded.
func TestValidRequestsAreForwarded(t *testing.T) {
	for _, c := range []struct{ name, raw, target, body string }{
		{"dots and encoded slashes", "GET /balance/../a%2Fb|c HTTP/1.1\r\nHost: h\r\n\r\n", "/balance/../a%2Fb|c", ""},
		{"path of the service alone", "GET /balance?a=/b HTTP/1.1\r\nHost: h\r\n\r\n", "/balance?a=/b", ""},
		{"absolute target", "GET http://other/balance/1?a HTTP/1.1\r\nHost: h\r\n\r\n", "/balance/1?a", ""},
		{"upgrade", "GET /balance/1 HTTP/1.1\r\nHost: h\r\nConnection: upgrade, x-hop\r\nUpgrade: websocket\r\nX-Hop: y\r\n\r\n", "/balance/1", ""},
		{"upgrade without its option", "GET /balance/1 HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n\r\n", "/balance/1", ""},
		{"chunked encoding overrides the length", "POST /balance/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "/balance/1", "ok"},
		{"same length twice", "POST /balance/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", "/balance/1", "ok"},
		{"trailer", "POST /balance/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: X-Hop\r\n\r\n2\r\nok\r\n0\r\nX-Hop: y\r\n\r\n", "/balance/1", "ok"},
		{"folded line", "GET /balance/1 HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", "/balance/1", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			rec := &recorder{}
			got := exchange(t, serve(t, rec), c.raw)
			list := rec.requests()
			if len(list) != 1 {
				t.Fatalf("%d requests were forwarded, want one; got response %q", len(list), got)
			}
			r := list[0]
			if r.Target != c.target || string(r.Body) != c.body || r.Service != "balance" {
				t.Errorf("forwarded service %s, target %s and body %q, want service balance and the target and body of the case", r.Service, r.Target, r.Body)
			}
			for _, n := range []string{"Connection", "Upgrade", "X-Hop", "Trailer", "Transfer-Encoding"} {
				if v, ok := r.Header[n]; ok {
					t.Errorf("forwarded the hop-by-hop field %s: %q, want it dropped", n, v)
				}
			}
			if v := r.Header.Get("X"); strings.ContainsAny(v, "\r\n") {
				t.Errorf("forwarded a line break in the field value %q, want none", v)
			}
		})
	}
}

// TestHeadResponseKeepsContentLength checks that the response to a HEAD request has the
// Content-Length of the backend server, or none.
func TestHeadResponseKeepsContentLength(t *testing.T) {
	for _, c := range []struct {
		header http.Header
		want   string
	}{
		{http.Header{"Content-Length": {"7"}}, "7"},
		{http.Header{}, ""},
	} {
		rec := &recorder{response: &snipefront.Response{Status: http.StatusOK, Header: c.header}}
		raw := exchange(t, serve(t, rec), "HEAD /balance/1 HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), &http.Request{Method: http.MethodHead})
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if got := resp.Header.Get("Content-Length"); got != c.want {
			t.Errorf("Content-Length %q, want %q", got, c.want)
		}
		if v, ok := resp.Header[calls.BackendHeader]; ok {
			t.Errorf("%s is %q though no backend server is named", calls.BackendHeader, v)
		}
	}
}

// TestExpectContinueIsAnswered checks that a caller that waits for an interim response before it
// sends the body gets one, and that the Expect field is not forwarded.
func TestExpectContinueIsAnswered(t *testing.T) {
	rec := &recorder{}
	c, err := net.DialTimeout("tcp", serve(t, rec), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	_, _ = io.WriteString(c, "POST /balance/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100 ") {
		t.Fatalf("got interim response %q, %v, want status 100", line, err)
	}
	_, _ = in.ReadString('\n')
	_, _ = io.WriteString(c, "ok")
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 200 ") {
		t.Fatalf("got response %q, %v, want status 200", line, err)
	}
	r := rec.requests()[0]
	if string(r.Body) != "ok" || r.Header.Get("Expect") != "" {
		t.Errorf("forwarded body %q with Expect %q, want ok without Expect", r.Body, r.Header.Get("Expect"))
	}
}

// TestStalledBodyTimesOut guards against a request that waits forever for a body that its
// caller never completes, or that is forwarded without it.
func TestStalledBodyTimesOut(t *testing.T) {
	rec := &recorder{}
	c, err := net.DialTimeout("tcp", serve(t, rec), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "POST /balance/1 HTTP/1.1\r\nHost: h\r\nX-Request-Timeout: 50\r\nContent-Length: 2\r\n\r\no")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if v := resp.Header.Get(calls.VerdictHeader); resp.StatusCode != http.StatusRequestTimeout || v != snipefront.NotRun.String() {
		t.Errorf("got status %d and verdict %s, want 408 and not-run", resp.StatusCode, v)
	}
	if n := len(rec.requests()); n != 0 {
		t.Errorf("%d requests were forwarded, want none", n)
	}
}

// TestPipelinedResponsesKeepOrder guards against responses out of the order of their
// pipelined requests, and against the Content-Type that net/http guesses if the backend
// server sent none.
func TestPipelinedResponsesKeepOrder(t *testing.T) {
	rec := &recorder{}
	got := exchange(t, serve(t, rec), "GET /x HTTP/1.1\r\nHost: h\r\n\r\nGET /balance/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	if !strings.HasPrefix(got, "HTTP/1.1 404 ") || !strings.Contains(got, "HTTP/1.1 200 ") || strings.Contains(got, "text/plain") {
		t.Errorf("got responses %q, want 404, then 200 without a Content-Type", got)
	}
}

// TestNotReadyRefusalIsTemporary checks that an instance that does not know the services
// yet refuses with Retry-After instead of 404, and that the verdict on a request with an
// idempotency key is MayHaveRun, since an earlier request with the key may have run.
func TestNotReadyRefusalIsTemporary(t *testing.T) {
	h := &calls.Handler{
		Config:  func() *snipefront.Config { return &snipefront.Config{} },
		Ready:   func() bool { return false },
		Counter: discardCounter{},
	}
	for key, want := range map[string]snipefront.Verdict{"": snipefront.NotRun, "k": snipefront.MayHaveRun} {
		req := httptest.NewRequest(http.MethodPost, "/charge/1", nil)
		if key != "" {
			req.Header.Set(calls.IdempotencyKeyHeader, key)
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, req)
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || w.Header().Get(calls.VerdictHeader) != want.String() {
			t.Errorf("key %q: status %d, header %v, want the verdict %v", key, w.Code, w.Header(), want)
		}
	}
}

// TestStoppingInstanceRefusesWhatOutlastsIt guards against requests that an instance takes
// during its planned stop although they may last longer than the rest of it, and against
// refusing those of a service that answers soon, whatever timeout their callers set, unless one
// may run only once.
func TestStoppingInstanceRefusesWhatOutlastsIt(t *testing.T) {
	c := &snipefront.Config{Services: map[string]snipefront.Service{"quick": {Deadline: time.Hour}, "unknown": {Deadline: time.Hour}}}
	rec := &recorder{response: &snipefront.Response{Status: http.StatusOK}}
	h := &calls.Handler{Next: rec, Config: func() *snipefront.Config { return c }, Ready: func() bool { return true }, MaxBodyBytes: 100, Counter: discardCounter{}}
	ask := func(method, service, timeout, key string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, "/"+service+"/1", nil)
		if timeout != "" {
			r.Header.Set(calls.TimeoutHeader, timeout)
		}
		if key != "" {
			r.Header.Set(calls.IdempotencyKeyHeader, key)
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w
	}
	ask(http.MethodGet, "quick", "", "")
	h.Stop(time.Now(), time.Now().Add(time.Minute))
	for _, c := range []struct {
		method, service, timeout, key string
		want                          int
	}{
		{http.MethodGet, "unknown", "", "", http.StatusServiceUnavailable},
		{http.MethodGet, "unknown", "120000", "", http.StatusServiceUnavailable},
		{http.MethodGet, "unknown", "10", "", http.StatusOK},
		{http.MethodGet, "quick", "", "", http.StatusOK},
		{http.MethodPost, "quick", "", "", http.StatusServiceUnavailable},
		{http.MethodPost, "quick", "10", "", http.StatusOK},
		{http.MethodPost, "quick", "", "key", http.StatusOK},
	} {
		forwarded := len(rec.requests())
		w := ask(c.method, c.service, c.timeout, c.key)
		if sent := len(rec.requests()) > forwarded; w.Code != c.want || sent != (c.want == http.StatusOK) {
			t.Errorf("%s, timeout %q: status %d, forwarded: %v; want status %d", c.service, c.timeout, w.Code, sent, c.want)
		}
		if c.want == http.StatusServiceUnavailable && (w.Header().Get(calls.ReasonHeader) != string(snipefront.ReasonStopping) || w.Header().Get("Retry-After") == "") {
			t.Errorf("%s, timeout %q: the refusal has the header %v, want the reason stopping and Retry-After", c.service, c.timeout, w.Header())
		}
	}
}

// TestStoppingInstanceServesUntilItHasLeft guards against refusals of a service that answers soon, while
// other instances still give the address of a stopping one out: its callers have no other.
func TestStoppingInstanceServesUntilItHasLeft(t *testing.T) {
	c := &snipefront.Config{Services: map[string]snipefront.Service{"quick": {Deadline: time.Hour}}}
	rec := &recorder{response: &snipefront.Response{Status: http.StatusOK}}
	h := &calls.Handler{Next: rec, Config: func() *snipefront.Config { return c }, Ready: func() bool { return true }, MaxBodyBytes: 100, Counter: discardCounter{}}
	ask := func() int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/quick/1", nil))
		return w.Code
	}
	ask()
	h.Stop(time.Now().Add(-10*time.Second), time.Now().Add(50*time.Second))
	if status := ask(); status != http.StatusOK {
		t.Errorf("got status %d 10 s after the start of the stop, want 200", status)
	}
}
