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

// patient is a timeout that no request of a test reaches.
const patient = time.Minute

// drive sends a short schedule of requests with the given method and returns
// what came of it.
func drive(t *testing.T, c *caller.Caller, method string) (*caller.Result, *caller.ServiceResult) {
	t.Helper()
	c.Duration = 100 * time.Millisecond
	c.Services = []caller.Service{{Name: "balance", Rate: 500, Method: method, Timeout: patient, Weight: 1}}
	r, err := c.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	s := &r.Services[0]
	if s.Arrived < 10 || s.Sent != s.Arrived {
		t.Fatalf("arrived %d, sent %d", s.Arrived, s.Sent)
	}
	return r, s
}

func host(s *httptest.Server) string { return s.Listener.Addr().String() }

func TestWholeCrossedAndCutAnswersAreToldApart(t *testing.T) {
	stand := &server.Server{Slots: 4}
	h := httptest.NewServer(stand)
	defer h.Close()
	c := &caller.Caller{Direct: []string{host(h)}}
	if _, s := drive(t, c, "POST"); s.OK != s.Arrived {
		t.Errorf("whole answers: %+v", s)
	}
	stand.SetMode(server.Mode{Cross: true})
	if r, s := drive(t, c, "POST"); s.Crossed != s.Arrived || r.Faulty() != s.Arrived {
		t.Errorf("crossed answers: %+v", s)
	}
	stand.SetMode(server.Mode{Truncate: true})
	if _, s := drive(t, c, "POST"); s.CutShort != s.Arrived {
		t.Errorf("answers that break off: %+v", s)
	}
	short := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := answer.Question{Target: r.URL.RequestURI(), RequestID: r.Header.Get("X-Request-Id")}
		w.Write(q.Answer()[:answer.Length-1])
	}))
	defer short.Close()
	if _, s := drive(t, &caller.Caller{Direct: []string{host(short)}}, "GET"); s.CutShort != s.Arrived {
		t.Errorf("short answers in a whole message: %+v", s)
	}
}

func TestKeepsTheAddressesAndPassesOverDeadOnes(t *testing.T) {
	stand := httptest.NewServer(&server.Server{Slots: 4})
	defer stand.Close()
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	asked := make(chan string, 64)
	instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.String()
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
	// Closed only now, so that no server of this test gets its port.
	dead.Close()
	_, s := drive(t, &caller.Caller{Seeds: []string{dead.Addr().String(), host(instance)}}, "POST")
	if s.OK != s.Arrived {
		t.Errorf("with a dead address: %+v", s)
	}
	if u := <-asked; u != "/.well-known/snipefront/addresses?service=balance" {
		t.Errorf("asked %s", u)
	}
	if n := len(asked); n != 0 {
		t.Errorf("asked %d more times within the lifetime", n)
	}
}

// refuser answers with a refusal and counts the requests by key and id.
type refuser struct {
	verdict string
	mu      sync.Mutex
	seen    map[string]int
}

func (f *refuser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.seen[r.Header.Get("Idempotency-Key")+" "+r.Header.Get("X-Request-Id")]++
	f.mu.Unlock()
	w.Header().Set("X-Snipefront-Verdict", f.verdict)
	w.Header().Set("X-Snipefront-Reason", "overload")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusBadGateway)
}

func TestOnlyWhatMayHaveRunIsSentAgainWithTheSameKey(t *testing.T) {
	for verdict, want := range map[string]int{"not-run": 1, "ran": 1, "may-have-run": 3} {
		f := &refuser{verdict: verdict, seen: make(map[string]int)}
		h := httptest.NewServer(f)
		r, s := drive(t, &caller.Caller{Direct: []string{host(h)}, Resends: 2}, "POST")
		h.Close()
		if len(f.seen) != s.Arrived || s.Resent != s.Arrived*(want-1) {
			t.Errorf("%s: %d keys, %+v", verdict, len(f.seen), s)
		}
		for key, n := range f.seen {
			if n != want || !strings.HasPrefix(key, "key-") {
				t.Errorf("%s: %q sent %d times", verdict, key, n)
			}
		}
		refused := []caller.ReasonCount{{Reason: "overload", Count: s.Arrived}}
		if !slices.Equal(s.Refused, refused) || s.NotRun+s.MayHaveRun+s.Ran != s.Arrived || r.MissedShare != 1 {
			t.Errorf("%s: %+v", verdict, s)
		}
		if (verdict == "not-run") != (s.NotRun == s.Arrived) {
			t.Errorf("%s: %d claims of not run", verdict, s.NotRun)
		}
	}
}

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
	_, s := drive(t, &caller.Caller{Direct: []string{host(h)}, Connections: most}, "GET")
	mu.Lock()
	defer mu.Unlock()
	if s.OK != s.Arrived || peak > most {
		t.Errorf("%d connections open at once, %+v", peak, s)
	}
}

func TestAuditFindsDoubleRunsAndUntrueClaims(t *testing.T) {
	stand := &server.Server{Slots: 4}
	liar := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stand.ServeHTTP(httptest.NewRecorder(), r)
		w.Header().Set("X-Snipefront-Verdict", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		w.Write([]byte("{}"))
	}))
	defer liar.Close()
	r, s := drive(t, &caller.Caller{Direct: []string{host(liar)}}, "POST")
	if a := r.Audit(stand.Keys()); len(a.Untrue) != s.Arrived || len(a.Double)+len(a.Unfounded) != 0 {
		t.Errorf("untrue claims: %+v", a)
	}
	honest := httptest.NewServer(stand)
	defer honest.Close()
	r, s = drive(t, &caller.Caller{Direct: []string{host(honest)}}, "POST")
	if a := r.Audit(stand.Keys()); len(a.Untrue)+len(a.Double)+len(a.Unfounded) != 0 {
		t.Errorf("honest: %+v", a)
	}
	twice := append(stand.Keys(), stand.Keys()...)
	if a := r.Audit(twice); len(a.Double) != len(stand.Keys()) {
		t.Errorf("run on two servers: %+v", a)
	}
	if a := r.Audit(nil); len(a.Unfounded) != s.Arrived {
		t.Errorf("answers without runs: %+v", a)
	}
}
