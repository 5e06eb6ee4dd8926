// Package notice takes in the announcements of backend servers.
//
// An announcement is a lease on being sent work. It may reach any instance,
// which passes it on to the owner of the backend server's cell and to the
// instance that would own the cell next, so that a new owner knows its backend
// servers from the start.
package notice

import (
	"context"
	"encoding/json"
	"io"
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

// Passer passes an announcement on to the instance at address.
type Passer interface {
	Announce(ctx context.Context, address string, b snipefront.BackendServer, lease time.Duration) (bool, error)
}

// Handler implements http.Handler. Set the exported fields before use.
type Handler struct {
	View   func() *member.View
	Passer Passer
	// Lease is for how long an announcement holds.
	Lease time.Duration
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
	reached := d.pass(h.Context(), v, b)
	if len(reached) == 0 {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "the owner of the cell cannot be reached", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		LeaseMilliseconds int64
		Instances         []string
	}{d.Lease.Milliseconds(), reached})
}

// pass passes b on and returns the caller addresses of those that took it in.
func (d *Handler) pass(ctx context.Context, v *member.View, b snipefront.BackendServer) []string {
	ranked := owner.Rank(v.Epoch, b.CellOf())
	ranked = ranked[:min(standbys, len(ranked))]
	done := make(chan string, len(ranked))
	for _, n := range ranked {
		go func() {
			done <- d.passTo(ctx, n, b)
		}()
	}
	took := map[string]bool{}
	for range ranked {
		took[<-done] = true
	}
	var reached []string
	for _, n := range ranked {
		if took[n.CallerAddress] {
			reached = append(reached, n.CallerAddress)
		}
	}
	return reached
}

// passTo returns the caller address of n, or nothing where it was not reached.
func (d *Handler) passTo(ctx context.Context, n snipefront.Instance, b snipefront.BackendServer) string {
	ctx, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	if _, err := d.Passer.Announce(ctx, n.PeerAddress, b, d.Lease); err != nil {
		return ""
	}
	return n.CallerAddress
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
