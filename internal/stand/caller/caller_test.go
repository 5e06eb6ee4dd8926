package caller_test

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/snipefront/snipefront/internal/stand/answer"
	"github.com/snipefront/snipefront/internal/stand/caller"
	"github.com/snipefront/snipefront/internal/stand/server"
)

// ampleTimeout is a timeout that no request in these tests reaches.
const ampleTimeout = time.Minute

// runCaller sends a short schedule of requests with the given method and returns the
// outcome.
func runCaller(t *testing.T, c *caller.Caller, method string) (*caller.Result, *caller.ServiceResult) {
	t.Helper()
	c.Duration = 100 * time.Millisecond
	c.Services = []caller.Service{{Name: "balance", Rate: 500, Method: method, Timeout: ampleTimeout, Weight: 1}}
	r, err := c.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	s := &r.Services[0]
	if s.Arrived < 10 || s.Sent != s.Arrived {
		t.Fatalf("%d requests arrived and %d were sent, want at least 10 and all of them sent", s.Arrived, s.Sent)
	}
	return r, s
}

func host(s *httptest.Server) string { return s.Listener.Addr().String() }

// TestClassifiesIntactCrossedAndCutShortAnswers guards against a caller that counts an
// answer as OK although it belongs to another request, the connection ended within it, or
// it is too short in a complete HTTP response.
func TestClassifiesIntactCrossedAndCutShortAnswers(t *testing.T) {
	stand := &server.Server{Slots: 4}
	h := httptest.NewServer(stand)
	defer h.Close()
	c := &caller.Caller{Direct: []string{host(h)}}
	if _, s := runCaller(t, c, "POST"); s.OK != s.Arrived {
		t.Errorf("intact answers: %+v, want all counted as OK", s)
	}
	stand.SetMode(server.Mode{Cross: true})
	if r, s := runCaller(t, c, "POST"); s.Crossed != s.Arrived || r.Faulty() != s.Arrived {
		t.Errorf("answers to other requests: %+v, want all counted as crossed and faulty", s)
	}
	stand.SetMode(server.Mode{Truncate: true})
	if _, s := runCaller(t, c, "POST"); s.CutShort != s.Arrived {
		t.Errorf("truncated answers: %+v, want all counted as cut short", s)
	}
	short := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := answer.Request{Target: r.URL.RequestURI(), RequestID: r.Header.Get("X-Request-Id")}
		w.Write(q.Answer()[:answer.Length-1])
	}))
	defer short.Close()
	if _, s := runCaller(t, &caller.Caller{Direct: []string{host(short)}}, "GET"); s.CutShort != s.Arrived {
		t.Errorf("short answers in complete HTTP responses: %+v, want all counted as cut short", s)
	}
}

// TestCachesAddressesAndSkipsUnreachableOnes checks that requests succeed although the
// first seed and the address with the greatest weight refuse connections, and that the
// addresses are fetched only once within their lifetime.
func TestCachesAddressesAndSkipsUnreachableOnes(t *testing.T) {
	stand := httptest.NewServer(&server.Server{Slots: 4})
	defer stand.Close()
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fetches := make(chan string, 64)
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fetches <- r.URL.String()
		type address struct {
			Address string
			Weight  int
		}
		b, err := json.Marshal(struct {
			Addresses            []address
			LifetimeMilliseconds int
		}{[]address{{dead.Addr().String(), 5}, {host(stand), 1}}, 600_000})
		if err != nil {
			t.Error(err)
		}
		w.Write(b)
	}))
	defer instance.Close()
	// Close it only now, so that no server of this test gets its port.
	dead.Close()
	_, s := runCaller(t, &caller.Caller{Seeds: []string{dead.Addr().String(), host(instance)}}, "POST")
	if s.OK != s.Arrived {
		t.Errorf("with an unreachable address: %+v, want all counted as OK", s)
	}
	if u := <-fetches; u != "/.well-known/snipefront/addresses?service=balance" {
		t.Errorf("fetched the addresses from %s, want the addresses of service balance", u)
	}
	if n := len(fetches); n != 0 {
		t.Errorf("fetched the addresses %d more times within their lifetime, want no more", n)
	}
}

// refuser refuses every request and counts the attempts by idempotency key and
// request ID.
type refuser struct {
	verdict string
	mu      sync.Mutex
	counts  map[string]int
}

func (rf *refuser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rf.mu.Lock()
	rf.counts[r.Header.Get("Idempotency-Key")+" "+r.Header.Get("X-Request-Id")]++
	rf.mu.Unlock()
	w.Header().Set("X-Snipefront-Verdict", rf.verdict)
	w.Header().Set("X-Snipefront-Reason", "overload")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusBadGateway)
}

// TestResendsOnlyRequestsThatMayHaveRunWithTheSameKey checks that a refused request is
// resent only if the verdict is may-have-run, so that a caller doesn't repeat what ran,
// and with the same idempotency key, so that the request can't run twice.
func TestResendsOnlyRequestsThatMayHaveRunWithTheSameKey(t *testing.T) {
	for verdict, want := range map[string]int{"not-run": 1, "ran": 1, "may-have-run": 3} {
		f := &refuser{verdict: verdict, counts: make(map[string]int)}
		h := httptest.NewServer(f)
		r, s := runCaller(t, &caller.Caller{Direct: []string{host(h)}, Resends: 2}, "POST")
		h.Close()
		if len(f.counts) != s.Arrived || s.Resent != s.Arrived*(want-1) {
			t.Errorf("verdict %s: %d keys sent, %+v, want a key for each arrived request, and resends only after may-have-run", verdict, len(f.counts), s)
		}
		for key, n := range f.counts {
			if n != want || !strings.HasPrefix(key, "key-") {
				t.Errorf("verdict %s: %q sent %d times, want a key, sent 3 times after may-have-run and once otherwise", verdict, key, n)
			}
		}
		refused := []caller.ReasonCount{{Reason: "overload", Count: s.Arrived}}
		if !slices.Equal(s.Refused, refused) || s.NotRun+s.MayHaveRun+s.Ran != s.Arrived || r.MissedShare != 1 {
			t.Errorf("verdict %s: %+v, want all refused for the reason overload, and a missed share of 1", verdict, s)
		}
		if (verdict == "not-run") != (s.NotRun == s.Arrived) {
			t.Errorf("verdict %s: counted %d refusals as not run, want all after not-run and not all otherwise", verdict, s.NotRun)
		}
	}
}

// TestConnectionsAreBounded checks that the caller has no more than Connections
// connections open at once.
func TestConnectionsAreBounded(t *testing.T) {
	const most = 2
	var mu sync.Mutex
	open, peak := 0, 0
	h := httptest.NewUnstartedServer(&server.Server{Slots: 8, Latency: time.Millisecond})
	h.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		switch s {
		case http.StateNew:
			open++
		case http.StateClosed:
			open--
		}
		peak = max(peak, open)
	}
	h.Start()
	defer h.Close()
	_, s := runCaller(t, &caller.Caller{Direct: []string{host(h)}, Connections: most}, "GET")
	mu.Lock()
	defer mu.Unlock()
	if s.OK != s.Arrived || peak > most {
		t.Errorf("%d connections open at once, want at most 2; %+v, want all counted as OK", peak, s)
	}
}

// TestAuditFindsRepeatedRunsAndFalseVerdicts checks that Audit finds requests that ran
// although their verdict is not-run, that ran at two backend servers, or that were
// answered but never ran.
func TestAuditFindsRepeatedRunsAndFalseVerdicts(t *testing.T) {
	stand := &server.Server{Slots: 4}
	wrong := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stand.ServeHTTP(httptest.NewRecorder(), r)
		w.Header().Set("X-Snipefront-Verdict", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		w.Write([]byte("{}"))
	}))
	defer wrong.Close()
	r, s := runCaller(t, &caller.Caller{Direct: []string{host(wrong)}}, "POST")
	if a := r.Audit(stand.Keys()); len(a.Untrue) != s.Arrived || len(a.Double)+len(a.Unfounded) != 0 {
		t.Errorf("refused as not run but run: %+v, want all keys in Untrue only", a)
	}
	correct := httptest.NewServer(stand)
	defer correct.Close()
	r, s = runCaller(t, &caller.Caller{Direct: []string{host(correct)}}, "POST")
	if a := r.Audit(stand.Keys()); len(a.Untrue)+len(a.Double)+len(a.Unfounded) != 0 {
		t.Errorf("correct responses: %+v, want no keys", a)
	}
	twice := append(stand.Keys(), stand.Keys()...)
	if a := r.Audit(twice); len(a.Double) != len(stand.Keys()) {
		t.Errorf("run at two backend servers: %+v, want all keys in Double", a)
	}
	if a := r.Audit(nil); len(a.Unfounded) != s.Arrived {
		t.Errorf("answered but not run: %+v, want all keys in Unfounded", a)
	}
}
