package peers_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/snipefront/snipefront/internal/control/fleet"
	"github.com/snipefront/snipefront/internal/rpc/meter"
	"github.com/snipefront/snipefront/internal/rpc/peers"
)

// fleetWatcher answers with the changes of a state.
type fleetWatcher struct{ fleet.State }

func newFleetWatcher(t *testing.T, servers int) *fleetWatcher {
	t.Helper()
	w := &fleetWatcher{}
	for i := range servers {
		w.register(t, i)
	}
	return w
}

// register registers the backend server with the number i.
func (w *fleetWatcher) register(t *testing.T, i int) {
	t.Helper()
	var n fleet.Server
	n.Name, n.Service, n.DataCentre, n.Address, n.Incarnation, n.Sequence = fmt.Sprintf("i-%08x", i*7919), "balance", "d1", fmt.Sprint("h:", i), 17, 1
	b, err := fleet.Command{Register: &n}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	w.Apply(w.Index()+1, b)
}

// Watch implements peers.Watcher.
func (w *fleetWatcher) Watch(_ context.Context, q peers.Watch) (peers.Update, error) {
	return peers.Update{Current: true, Delta: w.DeltaSince(q.Held)}, nil
}

// TestWholeStateIsSmallOnTheWire guards against a fleet that needs seconds to serve again
// after a loss of power: all instances fetch the whole state at once, over links of 2 Mbit/s
// and from a few control instances, each of which encodes it for each of them.
func TestWholeStateIsSmallOnTheWire(t *testing.T) {
	w := newFleetWatcher(t, 400)
	address := startServer(t, &peers.Server{Watcher: w})
	received := prometheus.NewCounter(prometheus.CounterOpts{Name: "received"})
	c := &peers.Client{DialControl: (&meter.Meter{Received: received, Sent: prometheus.NewCounter(prometheus.CounterOpts{Name: "sent"})}).Dialer(testTimeout)}
	update := func(held uint64) fleet.View {
		t.Helper()
		u, err := c.Watch(t.Context(), address, peers.Watch{Held: held})
		if err != nil || !u.Current {
			t.Fatal(u.Current, err)
		}
		return fleet.View{}.Apply(u.Delta)
	}
	plain := len(plainChanges(t, address))
	v := update(0)
	if got := int(testutil.ToFloat64(received)); got*4 > plain || !reflect.DeepEqual(v, w.View()) {
		t.Errorf("a whole state of %d bytes took %d on the wire, want a quarter at most and the same state", plain, got)
	}
	w.register(t, 1000)
	if v := update(0); !reflect.DeepEqual(v, w.View()) {
		t.Errorf("after a change, the whole state has %d backend servers, want %d", len(v.Servers), len(w.View().Servers))
	}
	if v := update(v.Index); len(v.Servers) != 1 {
		t.Errorf("the changes hold %d backend servers, want the new one", len(v.Servers))
	}
}

// plainChanges returns the answer to a Watch of an instance that knows no compression, which
// must be JSON.
func plainChanges(t *testing.T, address string) []byte {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/twirp/snipefront.Control/Watch", bytes.NewReader(nil))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/protobuf")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || !bytes.Contains(b, []byte(`{"Index":400,"Whole":true`)) {
		t.Fatalf("an answer with status %d, %.80q, %v, want JSON", resp.StatusCode, b, err)
	}
	return b
}
