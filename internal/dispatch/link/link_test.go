package link_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/health"
	"github.com/snipefront/snipefront/internal/dispatch/link"
	"github.com/snipefront/snipefront/internal/dispatch/pool"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

var fields = snipefront.Fields{
	RequestID: "Id", Remaining: "Remaining", Expected: "Expected", Signature: "Signature", NotRun: "Not-Run", Server: "Server", Load: "Load", Cold: "Cold",
}

type uncounted struct{}

func (uncounted) Probed(string, bool) {}

// serve starts a backend server that answers with what f writes, and returns a link
// and the target for it.
func serve(t *testing.T, f func(c net.Conn, r *http.Request)) (*link.Link, *health.Target) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go rawtcp.Each(l, rawtcp.Requests(f))
	var n fleet.Server
	n.Name, n.Service, n.DataCentre, n.Slots, n.Incarnation, n.Address = "s", "a", "dc1", 2, 1, l.Addr().String()
	set := &health.Set{Self: snipefront.Instance{Name: "e", DataCentre: "dc1"}}
	set.Update(time.Now(), fleet.View{Servers: map[string]fleet.Server{"s": n}}, &snipefront.Routing{
		Services: map[string]snipefront.Profile{"a": {Name: "a", HealthPath: "/health"}},
	})
	target, _ := set.Current("s")
	return &link.Link{Pool: &pool.Pool{}, Targets: set, Fields: fields, Counter: uncounted{}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}, target
}

func report(c net.Conn) {
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nServer: s\r\nLoad: 1,0,2,100\r\nContent-Length: 0\r\n\r\n")
}

// TestProbeGoesOverANewConnectionWhereTheOldOneIsSilent shows that connections which
// fell silent while new ones work cost no look.
func TestProbeGoesOverANewConnectionWhereTheOldOneIsSilent(t *testing.T) {
	var silent atomic.Value
	silent.Store("")
	l, target := serve(t, func(c net.Conn, _ *http.Request) {
		if silent.Load() != c.RemoteAddr().String() {
			report(c)
		}
	})
	if _, err := l.Probe(target); err != nil {
		t.Fatal(err)
	}
	c, err := l.Pool.Get(t.Context(), target.Server.Address, false)
	if err != nil || !c.Reused {
		t.Fatalf("no connection to use again: %v", err)
	}
	silent.Store(c.LocalAddr().String())
	l.Pool.Put(c)
	if r, err := l.Probe(target); err != nil || !r.Known {
		t.Errorf("the look brought %+v, %v", r, err)
	}
}

// TestVerdicts shows what each answer says of a request.
func TestVerdicts(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: x\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		answer  string
		verdict snipefront.Verdict
		status  int
	}{
		"an answer":                  {signed, snipefront.Ran, http.StatusOK},
		"its failure":                {strings.Replace(signed, "200 OK", "500 Oops", 1), snipefront.Ran, http.StatusInternalServerError},
		"without a signature":        {strings.Replace(signed, "Signature: x\r\n", "", 1), snipefront.MayHaveRun, 0},
		"cut short":                  {signed[:len(signed)-1], snipefront.MayHaveRun, 0},
		"of another request":         {strings.Replace(signed, "Id: 7", "Id: 8", 1), snipefront.MayHaveRun, 0},
		"nothing":                    {"", snipefront.MayHaveRun, 0},
		"not run":                    {"HTTP/1.1 503 Full\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", snipefront.NotRun, 0},
		"a 503 that does not say so": {"HTTP/1.1 503 Full\r\nId: 7\r\nContent-Length: 0\r\n\r\n", snipefront.Ran, http.StatusServiceUnavailable},
		"another server":             {"HTTP/1.1 421 Other\r\nId: 7\r\nContent-Length: 0\r\n\r\n", snipefront.NotRun, 0},
	} {
		t.Run(name, func(t *testing.T) {
			got := make(chan *http.Request, 1)
			l, target := serve(t, func(n net.Conn, r *http.Request) {
				got <- r
				fmt.Fprint(n, c.answer)
				n.Close()
			})
			a := l.Send(t.Context(), call(), target)
			if a.Verdict != c.verdict || (a.Response != nil) != (c.status != 0) {
				t.Fatalf("the attempt is %+v", a)
			}
			if a.Response != nil && a.Response.Status != c.status {
				t.Errorf("the status is %d", a.Response.Status)
			}
			r := <-got
			if r.RequestURI != "/p/1?q=2" || r.Host != "x.example" || r.Header.Get("Expected") != "s" || r.Header.Get("Remaining") == "" {
				t.Errorf("the request was %s %s with %v", r.Host, r.RequestURI, r.Header)
			}
		})
	}
}

// TestUnreachedServerHasNotRun shows the verdict where no connection could be made.
func TestUnreachedServerHasNotRun(t *testing.T) {
	l, target := serve(t, func(net.Conn, *http.Request) {})
	gone := *target
	gone.Server.Address = "127.0.0.1:1"
	if a := l.Send(t.Context(), call(), &gone); a.Verdict != snipefront.NotRun || a.Outcome != health.Unreachable {
		t.Errorf("the attempt is %+v", a)
	}
}

// TestServerThatLeftGetsNothing shows that a backend server which left after the
// choice gets no request.
func TestServerThatLeftGetsNothing(t *testing.T) {
	var asked atomic.Int64
	l, target := serve(t, func(net.Conn, *http.Request) { asked.Add(1) })
	l.Targets.Update(time.Now(), fleet.View{}, &snipefront.Routing{})
	if a := l.Send(t.Context(), call(), target); a.Verdict != snipefront.NotRun || asked.Load() != 0 {
		t.Errorf("the attempt is %+v, %d requests arrived", a, asked.Load())
	}
}

func call() *direct.Call {
	return &direct.Call{ID: "7", Request: &snipefront.Request{
		Service: "a", Method: http.MethodGet, Target: "/p/1?q=2", Header: http.Header{"Host": {"x.example"}, "Id": {"7"}},
		Deadline: time.Now().Add(20 * time.Second),
	}}
}

var _ direct.Link = (*link.Link)(nil)
