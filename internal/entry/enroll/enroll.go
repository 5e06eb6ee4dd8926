// Package enroll takes in the announcements of backend servers.
//
// An announcement is a lease on being sent work. It may reach any instance,
// which passes it on to the owner of the backend server's cell and to the
// instance that would own the cell next, so that a new owner knows its backend
// servers from the start.
package enroll

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/control/owner"
)

const (
	// standbys is the number of instances that know a cell's backend servers.
	standbys = 2
	// maxBytes bounds the body of an announcement.
	maxBytes = 4 << 10
	// maxNameBytes bounds each name.
	maxNameBytes = 63
	// maxSlots bounds the slots of a backend server.
	maxSlots = 10000
	// passTimeout bounds passing an announcement on to one instance.
	passTimeout = time.Second
)

// Forwarder passes an announcement on to the instance at address.
type Forwarder interface {
	// Announce returns for how long the announcement holds there.
	Announce(ctx context.Context, address string, b snipefront.BackendServer) (time.Duration, error)
}

// Local takes in an announcement at this instance and returns for how long it
// holds.
type Local interface {
	Announced(b snipefront.BackendServer) time.Duration
}

// Handler implements http.Handler. Set the exported fields before use.
type Handler struct {
	// Self is the name of this instance.
	Self   string
	View   func() *member.View
	Local  Local
	Passer Forwarder
}

// announcement is the body of an announcement.
type announcement struct {
	Name        string
	Service     string
	DataCentre  string
	Address     string
	Incarnation uint64
	Slots       int
	Draining    bool
}

// ServeHTTP implements http.Handler.
func (d *Handler) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	a, err := read(h.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v := d.View()
	b := snipefront.BackendServer{
		Name:        a.Name,
		Service:     a.Service,
		DataCentre:  a.DataCentre,
		Address:     a.Address,
		Incarnation: a.Incarnation,
		Slots:       a.Slots,
		Draining:    a.Draining,
	}
	lease, reached := d.pass(h.Context(), v, b)
	if len(reached) == 0 {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "the owner of the cell cannot be reached", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		LeaseMilliseconds int64
		Instances         []string
	}{lease.Milliseconds(), reached})
}

// pass passes b on and returns the caller addresses of those that took it in,
// with the shortest time for which it holds.
func (d *Handler) pass(ctx context.Context, v *member.View, b snipefront.BackendServer) (time.Duration, []string) {
	ranked := owner.Rank(v.Epoch, b.CellOf())
	ranked = ranked[:min(standbys, len(ranked))]
	ctx, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	done := make(chan passed, len(ranked))
	for i, n := range ranked {
		go func() {
			l, err := d.passTo(ctx, n, b)
			done <- passed{rank: i, lease: l, err: err}
		}()
	}
	took := make([]bool, len(ranked))
	lease := time.Duration(math.MaxInt64)
	for range ranked {
		if p := <-done; p.err == nil {
			took[p.rank] = true
			lease = min(lease, p.lease)
		}
	}
	var reached []string
	for i, n := range ranked {
		if took[i] {
			reached = append(reached, n.CallerAddress)
		}
	}
	return lease, reached
}

// passTo passes b on to n, which may be this instance.
func (d *Handler) passTo(ctx context.Context, n snipefront.Instance, b snipefront.BackendServer) (time.Duration, error) {
	if n.Name == d.Self {
		return d.Local.Announced(b), nil
	}
	return d.Passer.Announce(ctx, n.PeerAddress, b)
}

// passed is what passing an announcement on to one instance came to.
type passed struct {
	rank  int
	lease time.Duration
	err   error
}

func read(body io.Reader) (announcement, error) {
	var a announcement
	d := json.NewDecoder(io.LimitReader(body, maxBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return a, errors.Wrap(err, "announcement")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return a, errors.New("announcement: something follows it")
	}
	return a, a.check()
}

func (a announcement) check() error {
	for _, f := range []struct{ name, value string }{{"Name", a.Name}, {"Service", a.Service}, {"DataCentre", a.DataCentre}} {
		if f.value == "" || len(f.value) > maxNameBytes {
			return errors.Errorf("announcement: %s must have 1 to %d bytes", f.name, maxNameBytes)
		}
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return errors.Errorf("announcement: Slots is %d, want 1 to %d", a.Slots, maxSlots)
	}
	host, port, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil {
		return errors.Errorf("announcement: Address is %q, want an IP number and a port", a.Address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.Errorf("announcement: Address is %q, want a port from 1 to 65535", a.Address)
	}
	return nil
}
