package direct_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/dispatch/direct"
	"github.com/snipefront/snipefront/internal/dispatch/link"
	"github.com/snipefront/snipefront/internal/dispatch/pool"
	"github.com/snipefront/snipefront/internal/stand/rawtcp"
)

// refusalFields are the header fields of backend servers over HTTP.
var refusalFields = snipefront.HeaderFields{RequestID: "Id", Remaining: "Remaining", Expected: "Expected", Signature: "Signature", NotRun: "Not-Run", Server: "Server", Load: "Load"}

// serveRefusals answers the requests on c. It refuses each request when it first comes on the
// connection. When the same comes again there, it writes that refusal once more, counts a run
// and answers.
func serveRefusals(c net.Conn, refusal string, refusals, runs *atomic.Int64) {
	seen := map[string]bool{}
	rawtcp.HTTPHandler(func(c net.Conn, r *http.Request) {
		id := r.Header.Get("Id")
		switch {
		case r.URL.Path == "/health":
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nLoad: 0,0,2,100\r\nContent-Length: 0\r\n\r\n")
		case seen[id]:
			runs.Add(1)
			fmt.Fprint(c, refusal+"HTTP/1.1 200 OK\r\nId: "+id+"\r\nSignature: x\r\nContent-Length: 0\r\n\r\n")
		default:
			seen[id] = true
			refusals.Add(1)
			fmt.Fprint(c, refusal)
		}
	})(c)
}

// TestSharedAddressCopiesNoRefusal guards against a further attempt over the connection on which
// the first was refused, since the second backend server has the address of the first: the copy
// of the refusal was taken for the answer, and a request that ran was said not to have run.
func TestSharedAddressCopiesNoRefusal(t *testing.T) {
	for name, refusal := range map[string]string{
		"refused":     "HTTP/1.1 503 Full\r\nId: r\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"misdirected": "HTTP/1.1 421 Other\r\nId: r\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			var refusals, runs atomic.Int64
			go rawtcp.Serve(l, func(c net.Conn) { serveRefusals(c, refusal, &refusals, &runs) })
			d := newLinkDispatcher(l.Addr().String())
			c := newCall(false)
			c.Method, c.Target = http.MethodPost, "/"
			c.Header = http.Header{"Host": {"x.example"}, "Id": {c.ID}}
			_, err = d.Serve(t.Context(), c)
			if e := errorOf(t, err); e.Verdict != snipefront.NotRun || refusals.Load() != 2 || runs.Load() != 0 {
				t.Errorf("the call ended with %v after %d refusals and %d runs, want not-run after two refusals", e, refusals.Load(), runs.Load())
			}
		})
	}
}

// newLinkDispatcher returns a dispatcher with two backend servers at the address.
func newLinkDispatcher(address string) *direct.Dispatcher {
	d := newDispatcher(0, &fakeLink{})
	v := fleet.View{Servers: map[string]fleet.Server{}}
	for i := range 2 {
		var n fleet.Server
		n.Name, n.Service, n.DataCentre, n.Slots, n.Incarnation, n.Address = fmt.Sprint("s", i), service, "dc1", 2, 1, address
		v.Servers[n.Name] = n
	}
	profile := snipefront.ServiceProfile{Name: service, HealthPath: "/health"}
	d.Targets.Update(time.Now(), v, &snipefront.Routing{Services: map[string]snipefront.ServiceProfile{service: profile}})
	d.Link = &link.Link{Pool: &pool.Pool{}, Targets: d.Targets, Fields: refusalFields, Counter: discardProbes{}, Logger: d.Logger}
	return d
}

type discardProbes struct{}

// Probed implements link.Counter.
func (discardProbes) Probed(string, bool) {}
