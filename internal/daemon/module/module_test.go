package module_test

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gorilla/mux"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/entry/calls"
	"github.com/snipefront/snipefront/internal/request/poison"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// renewEvery is the time between renewals of the second instance.
const renewEvery = 100 * time.Millisecond

// none owns cells without a backend server.
type none struct{}

func (none) Forwarded(context.Context, snipefront.Cell, *snipefront.Request, bool) (peers.Answer, error) {
	return peers.Answer{Counted: true}, snipefront.Refused(snipefront.ReasonNoBackendServer, time.Second, "none")
}

func (none) Announced(snipefront.BackendServer) time.Duration { return time.Second }

// second makes an instance without backend servers a member of the epoch of a. It takes in
// the suspects that a shares.
func second(t *testing.T, a addresses) *poison.Register {
	g := &poison.Register{}
	r := mux.NewRouter()
	(&peers.Server{Owner: none{}, Suspects: g}).Route(r)
	h := httptest.NewServer(r)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c := &peers.Client{}
		n := leader.Renewal{Instance: snipefront.Instance{Name: "z", DataCentre: "dc2", PeerAddress: h.Listener.Addr().String(), Incarnation: 1}}
		for ctx.Err() == nil {
			if g, err := c.Renew(ctx, a.peers, n); err == nil && g.Granted {
				n.Epoch, n.Held, n.Revision = g.Epoch.Number, g.Epoch.Number, max(n.Revision, g.Config.Revision)
			}
			time.Sleep(renewEvery)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		h.CloseClientConnections()
		h.Close()
	})
	return g
}

// falling returns the address of a backend server that falls under its first
// request.
func falling(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1))
		l.Close()
		c.Close()
	}()
	return l.Addr().String()
}

// fingerprint returns that of a request without a key and a body.
func fingerprint(method, target string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(method + "\x00" + target + "\x00\x00"))
	return h.Sum64()
}

func reason(t *testing.T, url string) snipefront.Reason {
	r, err := client.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	r.Body.Close()
	return snipefront.Reason(r.Header.Get(calls.ReasonHeader))
}

// TestQuarantineShared has a request make two backend servers fall. The other
// instance learns of it, and one that it shares is refused here.
func TestQuarantineShared(t *testing.T) {
	a := start(t)
	g := second(t, a)
	configure(t, a)
	x, y := announced("x", falling(t)), announced("y", falling(t))
	await(t, func() bool {
		announce(t, a, x)
		announce(t, a, y)
		return reason(t, "http://"+a.callers+"/balance/17") == snipefront.ReasonQuarantined
	})
	var shared []poison.Record
	await(t, func() bool {
		shared = g.Records(time.Now())
		return len(shared) == 1 && len(shared[0].Fallen) == 2
	})
	other := shared[0]
	other.Fingerprint = fingerprint(http.MethodGet, "/balance/18")
	if _, err := (&peers.Client{}).Quarantine(t.Context(), a.peers, []poison.Record{other}, false); err != nil {
		t.Fatal(err)
	}
	if r := reason(t, "http://"+a.callers+"/balance/18"); r != snipefront.ReasonQuarantined {
		t.Errorf("a request that the other instance shared: %q", r)
	}
}
