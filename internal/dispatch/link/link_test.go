package link_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/dispatch/link"
	"github.com/snipefront/snipefront/internal/dispatch/pool"
	"github.com/snipefront/snipefront/internal/dispatch/quota"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

var fields = snipefront.HeaderFields{
	RequestID: "Id", Remaining: "Remaining", Expected: "Expected", Signature: "Signature", NotRun: "Not-Run", Server: "Server", Load: "Load", Cold: "Cold", RateLimit: "Limit", Draining: "Leaving",
}

type noCounter struct{}

func (noCounter) Probed(string, bool) {}

// startServer starts a backend server that answers each request with what f writes.
// It returns a link and the target for the server.
func startServer(t *testing.T, f func(c net.Conn, r *http.Request)) (*link.Link, *health.Target) {
	t.Helper()
	return startRawServer(t, rawtcp.HTTPHandler(f))
}

// startRawServer starts a backend server that serves each connection by f.
func startRawServer(t *testing.T, f func(c net.Conn)) (*link.Link, *health.Target) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go rawtcp.Serve(l, f)
	var n fleet.Server
	n.Name, n.Service, n.DataCentre, n.Slots, n.Incarnation, n.Address = "s", "a", "dc1", 2, 1, l.Addr().String()
	set := &health.Set{Self: snipefront.Instance{Name: "e", DataCentre: "dc1"}}
	set.Update(time.Now(), fleet.View{Servers: map[string]fleet.Server{"s": n}}, &snipefront.Routing{
		Services: map[string]snipefront.ServiceProfile{"a": {Name: "a", HealthPath: "/health"}},
	})
	target, _ := set.Current("s")
	return &link.Link{Pool: &pool.Pool{}, Targets: set, Fields: fields, Counter: noCounter{}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}, target
}

func writeReport(c net.Conn) {
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nServer: s\r\nLoad: 1,0,2,100\r\nContent-Length: 0\r\n\r\n")
}

// TestProbeOpensNewConnectionIfPooledOneIsHalfOpen guards against load probes that
// fail because a pooled connection passes nothing any more, while the backend server
// answers on new ones.
func TestProbeOpensNewConnectionIfPooledOneIsHalfOpen(t *testing.T) {
	var halfOpen atomic.Value
	halfOpen.Store("")
	l, target := startServer(t, func(c net.Conn, _ *http.Request) {
		if halfOpen.Load() != c.RemoteAddr().String() {
			writeReport(c)
		}
	})
	if _, err := l.Probe(target); err != nil {
		t.Fatal(err)
	}
	c, err := l.Pool.Get(t.Context(), target.Server.Address, false)
	if err != nil || !c.Reused {
		t.Fatalf("no pooled connection: %v", err)
	}
	halfOpen.Store(c.LocalAddr().String())
	l.Pool.Put(c, 1)
	if r, err := l.Probe(target); err != nil || !r.Known {
		t.Errorf("the probe returned %+v, %v, want a load report", r, err)
	}
}

// TestLateAnswerIsNoLoadReport guards against a second copy of an answer that arrives late,
// on a connection over which a load probe has been sent since: it would count as the load,
// the health and the rate limit of the backend server at that moment.
func TestLateAnswerIsNoLoadReport(t *testing.T) {
	const answer = "HTTP/1.1 500 Oops\r\nId: 7\r\nSignature: x\r\nLoad: 9,9,2,900\r\nLimit: 0.5\r\nContent-Length: 0\r\n\r\n"
	var repeated atomic.Bool
	l, target := startServer(t, func(c net.Conn, r *http.Request) {
		switch {
		case r.URL.Path != "/health":
			fmt.Fprint(c, answer)
		case !repeated.Swap(true):
			fmt.Fprint(c, answer)
			writeReport(c)
		default:
			writeReport(c)
		}
	})
	if a := l.Send(t.Context(), call(), target); a.Response == nil {
		t.Fatal(a.Err)
	}
	r, err := l.Probe(target)
	if err != nil || !r.Known || r.Running != 1 || !r.Healthy || r.Limit.Named {
		t.Errorf("the load report is %+v, %v; want the one that the backend server sent last", r, err)
	}
}

// TestIdleConnectionsStayWithinShare guards against instances that together keep more idle
// connections open than a backend server accepts, which resets those beyond.
func TestIdleConnectionsStayWithinShare(t *testing.T) {
	const instances, connections, requests = 10, 60, 6
	var arriving sync.WaitGroup
	arriving.Add(requests)
	l, target := startServer(t, func(c net.Conn, _ *http.Request) {
		arriving.Done()
		arriving.Wait()
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: x\r\nContent-Length: 0\r\n\r\n")
	})
	v := fleet.View{Servers: map[string]fleet.Server{"s": target.Server}, Instances: map[string]fleet.Instance{}}
	for i := range instances {
		v.Instances[strconv.Itoa(i)] = fleet.Instance{Instance: snipefront.Instance{Name: strconv.Itoa(i)}, Ready: true}
	}
	l.Targets.Update(time.Now(), v, &snipefront.Routing{
		Services: map[string]snipefront.ServiceProfile{"a": {Name: "a", HealthPath: "/health", Connections: connections}},
	})
	target, _ = l.Targets.Current("s")
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			c := &direct.Call{ID: "7", Request: &snipefront.Request{Method: http.MethodGet, Target: "/", Idempotent: true, Deadline: time.Now().Add(time.Minute)}}
			if a := l.Send(t.Context(), c, target); a.Err != nil {
				t.Error(a.Err)
			}
		})
	}
	all.Wait()
	idle := 0
	for {
		c, err := l.Pool.Get(t.Context(), target.Server.Address, false)
		if err != nil {
			t.Fatal(err)
		}
		if !c.Reused {
			c.Close()
			break
		}
		idle++
	}
	if most := connections / instances / 2; idle > most {
		t.Errorf("%d idle connections at one of %d instances, want %d at most for a limit of %d", idle, instances, most, connections)
	}
}

// TestVerdictIsProvenByAnswer guards against a verdict that the answer does not prove:
// a caller may resend after a wrong NotRun and so run a request twice, or receive the
// answer to another request. It also checks what the request carries.
func TestVerdictIsProvenByAnswer(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: x\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		answer  string
		verdict snipefront.Verdict
		status  int
	}{
		"signed answer":                 {signed, snipefront.Ran, http.StatusOK},
		"signed server error":           {strings.Replace(signed, "200 OK", "500 Oops", 1), snipefront.Ran, http.StatusInternalServerError},
		"unsigned answer":               {strings.Replace(signed, "Signature: x\r\n", "", 1), snipefront.MayHaveRun, 0},
		"truncated answer":              {signed[:len(signed)-1], snipefront.MayHaveRun, 0},
		"answer to another request":     {strings.Replace(signed, "Id: 7", "Id: 8", 1), snipefront.MayHaveRun, 0},
		"no answer":                     {"", snipefront.MayHaveRun, 0},
		"refusal as not run":            {"HTTP/1.1 503 Full\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", snipefront.NotRun, 0},
		"503 without the not-run field": {"HTTP/1.1 503 Full\r\nId: 7\r\nContent-Length: 0\r\n\r\n", snipefront.Ran, http.StatusServiceUnavailable},
		"misdirected request":           {"HTTP/1.1 421 Other\r\nId: 7\r\nContent-Length: 0\r\n\r\n", snipefront.NotRun, 0},
	} {
		t.Run(name, func(t *testing.T) {
			got := make(chan *http.Request, 1)
			l, target := startServer(t, func(n net.Conn, r *http.Request) {
				got <- r
				fmt.Fprint(n, c.answer)
				n.Close()
			})
			a := l.Send(t.Context(), call(), target)
			if a.Verdict != c.verdict || (a.Response != nil) != (c.status != 0) {
				t.Fatalf("the attempt is %+v, want the verdict of the answer, and a response only if the request ran", a)
			}
			if a.Response != nil && a.Response.Status != c.status {
				t.Errorf("the status is %d, want that of the answer", a.Response.Status)
			}
			r := <-got
			if r.RequestURI != "/p/1?q=2" || r.Host != "x.example" || r.Header.Get("Expected") != "s" || r.Header.Get("Remaining") == "" {
				t.Errorf("the request was %s %s with %v, want x.example /p/1?q=2 with the name of the target and the time left", r.Host, r.RequestURI, r.Header)
			}
		})
	}
}

// TestUnreachableServerHasNotRun guards against the verdict may-have-run if no connection
// can be opened, since a request that is not idempotent would then not be retried.
func TestUnreachableServerHasNotRun(t *testing.T) {
	l, target := startServer(t, func(net.Conn, *http.Request) {})
	unreachable := *target
	unreachable.Server.Address = "127.0.0.1:1"
	if a := l.Send(t.Context(), call(), &unreachable); a.Verdict != snipefront.NotRun || a.Outcome != health.Unreachable {
		t.Errorf("the attempt is %+v, want verdict not-run and an unreachable target", a)
	}
}

// TestDeregisteredServerReceivesNoRequest guards against sending to a backend server
// that was deregistered between the choice and the sending.
func TestDeregisteredServerReceivesNoRequest(t *testing.T) {
	var requests atomic.Int64
	l, target := startServer(t, func(net.Conn, *http.Request) { requests.Add(1) })
	l.Targets.Update(time.Now(), fleet.View{}, &snipefront.Routing{})
	if a := l.Send(t.Context(), call(), target); a.Verdict != snipefront.NotRun || requests.Load() != 0 {
		t.Errorf("the attempt is %+v, %d requests arrived; want verdict not-run and none", a, requests.Load())
	}
}

// TestReadsLimitInEachAnswer guards against a rate limit that is named in a refusal or in
// the answer to a load probe and goes unnoticed, against one that another backend server
// at the same address names, and against an unreadable one that is taken as none.
func TestReadsLimitInEachAnswer(t *testing.T) {
	const (
		signed = "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: x\r\nContent-Length: 0\r\n"
		probed = "HTTP/1.1 200 OK\r\nServer: s\r\nContent-Length: 0\r\n"
	)
	named := func(perSecond float64) quota.Statement {
		return quota.Statement{RateLimit: snipefront.RateLimit{Named: true, PerSecond: perSecond}, Readable: true}
	}
	for name, c := range map[string]struct {
		answer string
		probe  bool
		want   quota.Statement
	}{
		"answer":            {signed + "Limit: 1.25\r\n", false, named(1.25)},
		"refusal":           {"HTTP/1.1 503 Full\r\nId: 7\r\nNot-Run: 1\r\nLimit: 0.5\r\nContent-Length: 0\r\n", false, named(0.5)},
		"load probe":        {probed + "Limit: 2\r\n", true, named(2)},
		"another server":    {"HTTP/1.1 421 Other\r\nId: 7\r\nLimit: 2\r\nContent-Length: 0\r\n", false, quota.Statement{}},
		"two limits":        {signed + "Limit: 4\r\nLimit: 2\r\n", false, named(2)},
		"no requests":       {signed + "Limit: 0\r\n", false, named(0)},
		"no limit":          {signed, false, quota.Statement{Readable: true}},
		"no limit at probe": {probed, true, quota.Statement{Readable: true}},
		"no number":         {signed + "Limit: soon\r\n", false, quota.Statement{}},
		"empty":             {signed + "Limit:\r\n", false, quota.Statement{}},
		"negative":          {signed + "Limit: -1\r\n", false, quota.Statement{}},
		"not finite":        {signed + "Limit: NaN\r\n", false, quota.Statement{}},
	} {
		t.Run(name, func(t *testing.T) {
			l, target := startServer(t, func(n net.Conn, _ *http.Request) { fmt.Fprint(n, c.answer+"\r\n") })
			var got quota.Statement
			if c.probe {
				r, err := l.Probe(target)
				if err != nil {
					t.Fatal(err)
				}
				got = r.Limit
			} else {
				got = l.Send(t.Context(), call(), target).Limit
			}
			if got != c.want {
				t.Errorf("the answer says %+v, want %+v", got, c.want)
			}
		})
	}
}

func call() *direct.Call {
	return &direct.Call{ID: "7", Request: &snipefront.Request{
		Service: "a", Method: http.MethodGet, Target: "/p/1?q=2", Header: http.Header{"Host": {"x.example"}, "Id": {"7"}},
		Deadline: time.Now().Add(20 * time.Second),
	}}
}

var _ direct.Link = (*link.Link)(nil)

// TestFullServerIsUp guards against a harmless request that becomes a suspect since a
// backend server that is full resets its connections: one that accepts them has not
// crashed, and one that accepts none has.
func TestFullServerIsUp(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go rawtcp.Serve(l, func(c net.Conn) { c.Close() })
	link, target := startServer(t, func(net.Conn, *http.Request) {})
	target.Server.Address = l.Addr().String()
	if !link.Up(t.Context(), target) {
		t.Error("a backend server that resets its connections counts as crashed")
	}
	l.Close()
	if link.Up(t.Context(), target) {
		t.Error("a backend server that accepts no connection counts as up")
	}
}
