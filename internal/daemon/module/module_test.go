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

// renewInterval is the time between renewals of the second instance.
const renewInterval = 100 * time.Millisecond

// emptyOwner implements peers.Owner with cells that have no backend servers.
type emptyOwner struct{}

func (emptyOwner) HandleForward(context.Context, snipefront.Cell, *snipefront.Request, bool) (peers.Answer, error) {
	return peers.Answer{Counted: true}, snipefront.Refused(snipefront.ReasonNoBackendServer, time.Second, "none")
}

func (emptyOwner) HandleAnnouncement(snipefront.BackendServer) time.Duration { return time.Second }

// startMember starts a stand-in for a second instance, which joins the epoch of a and
// has no backend servers. The Register that it returns records the suspects that a
// shares.
func startMember(t *testing.T, a addresses) *poison.Register {
	g := &poison.Register{}
	r := mux.NewRouter()
	(&peers.Server{Owner: emptyOwner{}, Suspects: g}).Route(r)
	h := httptest.NewServer(r)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c := &peers.Client{}
		n := leader.Renewal{Instance: snipefront.Instance{Name: "z", DataCentre: "dc2", PeerAddress: h.Listener.Addr().String(), Incarnation: 1}}
		for ctx.Err() == nil {
			if grant, err := c.Renew(ctx, a.peers, n); err == nil && grant.Granted {
				n.Epoch, n.Held, n.Revision = grant.Epoch.Number, grant.Epoch.Number, max(n.Revision, grant.Config.Revision)
			}
			time.Sleep(renewInterval)
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

// crashingServer returns the address of a backend server that crashes at its first
// request.
func crashingServer(t *testing.T) string {
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

// fingerprint returns the fingerprint of a request without an idempotency key and a
// body.
func fingerprint(method, target string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(method + "\x00" + target + "\x00\x00"))
	return h.Sum64()
}

func getReason(t *testing.T, url string) snipefront.Reason {
	r, err := client.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	r.Body.Close()
	return snipefront.Reason(r.Header.Get(calls.ReasonHeader))
}

// TestInstancesShareQuarantine checks that instances share quarantined requests, so
// that a request can't crash further backend servers through another instance. A
// request that crashes two backend servers becomes known to the other instance, and a
// request that the other instance shares is refused.
func TestInstancesShareQuarantine(t *testing.T) {
	a := start(t)
	g := startMember(t, a)
	configure(t, a)
	x, y := newAnnouncement("x", crashingServer(t)), newAnnouncement("y", crashingServer(t))
	await(t, func() bool {
		announce(t, a, x)
		announce(t, a, y)
		return getReason(t, "http://"+a.callers+"/balance/17") == snipefront.ReasonQuarantined
	})
	var shared []poison.Record
	await(t, func() bool {
		shared = g.Records(time.Now())
		return len(shared) == 1 && len(shared[0].Crashed) == 2
	})
	other := shared[0]
	other.Fingerprint = fingerprint(http.MethodGet, "/balance/18")
	if _, err := (&peers.Client{}).Quarantine(t.Context(), a.peers, []poison.Record{other}, false); err != nil {
		t.Fatal(err)
	}
	if r := getReason(t, "http://"+a.callers+"/balance/18"); r != snipefront.ReasonQuarantined {
		t.Errorf("a request whose quarantine the other instance shared is refused for the reason %q, want quarantined", r)
	}
}
