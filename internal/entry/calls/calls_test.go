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

// limit bounds a wait that only a hanging test reaches.
const limit = 20 * time.Second

// path records the requests that the front passes on and answers each.
type path struct {
	answer *snipefront.Response

	mu   sync.Mutex
	seen []*snipefront.Request
}

func (p *path) Serve(_ context.Context, r *snipefront.Request) (*snipefront.Response, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen = append(p.seen, r)
	return p.answer, nil
}

func (p *path) requests() []*snipefront.Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen
}

type uncounted struct{}

func (uncounted) Answered(string, int, time.Duration) {}
func (uncounted) Refused(string, *snipefront.Error)   {}

// serve runs a front before p and returns its address.
func serve(t *testing.T, p *path) string {
	t.Helper()
	if p.answer == nil {
		p.answer = &snipefront.Response{Status: http.StatusOK, Body: []byte("ok"), BackendServer: "b"}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &snipefront.Config{Services: map[string]snipefront.Service{"balance": {Name: "balance", Deadline: limit}}}
	s := &http.Server{
		Handler:        &calls.Handler{Next: p, Config: func() *snipefront.Config { return c }, Ready: func() bool { return true }, MaxBodyBytes: 100, Counter: uncounted{}},
		MaxHeaderBytes: 4 << 10,
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("server ended: %v", err)
		}
	})
	return l.Addr().String()
}

// converse sends raw, closes its side and returns all that comes back.
func converse(t *testing.T, address, raw string) string {
	t.Helper()
	c, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(limit)); err != nil {
		t.Fatal(err)
	}
	// The other end may answer and close before all is written.
	_, _ = io.WriteString(c, raw)
	_ = c.(*net.TCPConn).CloseWrite()
	b, _ := io.ReadAll(c)
	return string(b)
}

// TestAmbiguousRequestsAreRefused sends requests whose limits or target two
// parsers could read in two ways. None is passed on.
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
		{"header flood", "GET /balance/1 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 1<<16) + "\r\n\r\n", "431"},
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
		{"service behind dots", "GET /x/../balance/1 HTTP/1.1\r\nHost: h\r\n\r\n", "404"},
		{"refused before the body", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n", "404"},
		{"other expectation", "POST /balance/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: x\r\n\r\nx", "417"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &path{}
			got := converse(t, serve(t, p), c.raw)
			if !strings.HasPrefix(got, "HTTP/1.1 "+c.status+" ") {
				t.Errorf("answer %q, want status %s", got, c.status)
			}
			if n := len(p.requests()); n != 0 {
				t.Errorf("%d requests were passed on", n)
			}
		})
	}
}

// TestRequestsArePassedOnAsMeant sends requests that have one meaning each.
func TestRequestsArePassedOnAsMeant(t *testing.T) {
	for _, c := range []struct{ name, raw, target, body string }{
		{"dots and encoded slashes", "GET /balance/../a%2Fb|c HTTP/1.1\r\nHost: h\r\n\r\n", "/balance/../a%2Fb|c", ""},
		{"service alone", "GET /balance?a=/b HTTP/1.1\r\nHost: h\r\n\r\n", "/balance?a=/b", ""},
		{"absolute target", "GET http://other/balance/1?a HTTP/1.1\r\nHost: h\r\n\r\n", "/balance/1?a", ""},
		{"upgrade", "GET /balance/1 HTTP/1.1\r\nHost: h\r\nConnection: upgrade, x-hop\r\nUpgrade: websocket\r\nX-Hop: y\r\n\r\n", "/balance/1", ""},
		{"upgrade without its option", "GET /balance/1 HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n\r\n", "/balance/1", ""},
		{"chunks win over a length", "POST /balance/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "/balance/1", "ok"},
		{"same length twice", "POST /balance/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", "/balance/1", "ok"},
		{"trailer", "POST /balance/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: X-Hop\r\n\r\n2\r\nok\r\n0\r\nX-Hop: y\r\n\r\n", "/balance/1", "ok"},
		{"folded line", "GET /balance/1 HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", "/balance/1", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &path{}
			got := converse(t, serve(t, p), c.raw)
			list := p.requests()
			if len(list) != 1 {
				t.Fatalf("%d requests were passed on, answer %q", len(list), got)
			}
			r := list[0]
			if r.Target != c.target || string(r.Body) != c.body || r.Service != "balance" {
				t.Errorf("passed on %s %s with body %q", r.Service, r.Target, r.Body)
			}
			for _, n := range []string{"Connection", "Upgrade", "X-Hop", "Trailer", "Transfer-Encoding"} {
				if v, ok := r.Header[n]; ok {
					t.Errorf("passed on %s: %q", n, v)
				}
			}
			if v := r.Header.Get("X"); strings.ContainsAny(v, "\r\n") {
				t.Errorf("passed on a line break in %q", v)
			}
		})
	}
}

// TestAnswerToHead keeps the length that the backend server gave.
func TestAnswerToHead(t *testing.T) {
	for _, c := range []struct {
		header http.Header
		want   string
	}{
		{http.Header{"Content-Length": {"7"}}, "7"},
		{http.Header{}, ""},
	} {
		p := &path{answer: &snipefront.Response{Status: http.StatusOK, Header: c.header}}
		raw := converse(t, serve(t, p), "HEAD /balance/1 HTTP/1.1\r\nHost: h\r\n\r\n")
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

// TestContinue asks for the body of a request only after its header was
// accepted.
func TestContinue(t *testing.T) {
	p := &path{}
	c, err := net.DialTimeout("tcp", serve(t, p), limit)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(limit)); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	_, _ = io.WriteString(c, "POST /balance/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100 ") {
		t.Fatalf("interim answer %q, %v", line, err)
	}
	_, _ = in.ReadString('\n')
	_, _ = io.WriteString(c, "ok")
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 200 ") {
		t.Fatalf("answer %q, %v", line, err)
	}
	r := p.requests()[0]
	if string(r.Body) != "ok" || r.Header.Get("Expect") != "" {
		t.Errorf("passed on %q with Expect %q", r.Body, r.Header.Get("Expect"))
	}
}

// TestStalledBody leaves a body unfinished and the connection open.
func TestStalledBody(t *testing.T) {
	p := &path{}
	c, err := net.DialTimeout("tcp", serve(t, p), limit)
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
		t.Errorf("status %d, verdict %s", resp.StatusCode, v)
	}
	if n := len(p.requests()); n != 0 {
		t.Errorf("%d requests were passed on", n)
	}
}

// TestPipelinedAnswersKeepTheirOrder sends two requests at once. The answer
// without a content type gets none.
func TestPipelinedAnswersKeepTheirOrder(t *testing.T) {
	p := &path{}
	got := converse(t, serve(t, p), "GET /x HTTP/1.1\r\nHost: h\r\n\r\nGET /balance/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	if !strings.HasPrefix(got, "HTTP/1.1 404 ") || !strings.Contains(got, "HTTP/1.1 200 ") || strings.Contains(got, "text/plain") {
		t.Errorf("answers %q", got)
	}
}

// TestUnknownConfigurationRefusesNothingForGood shows that an instance which does
// not know the services yet neither denies a service nor guesses about a charge.
func TestUnknownConfigurationRefusesNothingForGood(t *testing.T) {
	f := &calls.Handler{
		Config:  func() *snipefront.Config { return &snipefront.Config{} },
		Ready:   func() bool { return false },
		Counter: uncounted{},
	}
	for key, want := range map[string]snipefront.Verdict{"": snipefront.NotRun, "k": snipefront.MayHaveRun} {
		h := httptest.NewRequest(http.MethodPost, "/charge/1", nil)
		if key != "" {
			h.Header.Set(calls.IdempotencyKeyHeader, key)
		}
		w := httptest.NewRecorder()
		f.ServeHTTP(w, h)
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || w.Header().Get(calls.VerdictHeader) != want.String() {
			t.Errorf("key %q: status %d, header %v, want the verdict %v", key, w.Code, w.Header(), want)
		}
	}
}
