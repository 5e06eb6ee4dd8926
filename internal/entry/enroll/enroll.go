// Package enroll receives the announcements of backend servers.
//
// An announcement gives the backend server a lease, during which it receives
// requests. It may reach any instance, which forwards it to the owner of the backend
// server's cell and to the instance that would own the cell next, so that a new
// owner knows its backend servers from the start.
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
	// maxReceivers is the most instances that receive an announcement: the owner of
	// the cell and one standby.
	maxReceivers = 2
	// maxBodyBytes bounds the body of an announcement.
	maxBodyBytes = 4 << 10
	// maxNameBytes bounds the names of the backend server, service and data centre.
	maxNameBytes = 63
	// forwardTimeout bounds forwarding an announcement to the instances.
	forwardTimeout = time.Second
)

// Forwarder forwards announcements to other instances.
type Forwarder interface {
	// Announce sends b to the instance at address and returns the lease of b there.
	Announce(ctx context.Context, address string, b snipefront.BackendServer) (time.Duration, error)
}

// Local records announcements at this instance.
type Local interface {
	// HandleAnnouncement records b and returns its lease.
	HandleAnnouncement(b snipefront.BackendServer) time.Duration
}

// Handler is an http.Handler that receives announcements. Set the exported fields
// before use.
type Handler struct {
	// Self is the name of this instance.
	Self  string
	View  func() *member.View
	Local Local
	// Passer forwards announcements to other instances.
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
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a, err := decode(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v := h.View()
	b := snipefront.BackendServer{
		Name:        a.Name,
		Service:     a.Service,
		DataCentre:  a.DataCentre,
		Address:     a.Address,
		Incarnation: a.Incarnation,
		Slots:       a.Slots,
		Draining:    a.Draining,
	}
	lease, reached := h.forward(r.Context(), v, b)
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

// forward sends b to the owner of its cell and to the standby, concurrently. It
// returns the shortest lease and the caller addresses of those that recorded b.
func (h *Handler) forward(ctx context.Context, v *member.View, b snipefront.BackendServer) (time.Duration, []string) {
	ranked := owner.Rank(v.Epoch, b.Cell())
	ranked = ranked[:min(maxReceivers, len(ranked))]
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	results := make(chan forwardResult, len(ranked))
	for i, n := range ranked {
		go func() {
			l, err := h.forwardTo(ctx, n, b)
			results <- forwardResult{rank: i, lease: l, err: err}
		}()
	}
	received := make([]bool, len(ranked))
	lease := time.Duration(math.MaxInt64)
	for range ranked {
		if r := <-results; r.err == nil {
			received[r.rank] = true
			lease = min(lease, r.lease)
		}
	}
	var reached []string
	for i, n := range ranked {
		if received[i] {
			reached = append(reached, n.CallerAddress)
		}
	}
	return lease, reached
}

// forwardTo sends b to n, which may be this instance, and returns the lease.
func (h *Handler) forwardTo(ctx context.Context, n snipefront.Instance, b snipefront.BackendServer) (time.Duration, error) {
	if n.Name == h.Self {
		return h.Local.HandleAnnouncement(b), nil
	}
	return h.Passer.Announce(ctx, n.PeerAddress, b)
}

// forwardResult is the result of forwarding an announcement to one instance.
type forwardResult struct {
	rank  int
	lease time.Duration
	err   error
}

func decode(body io.Reader) (announcement, error) {
	var a announcement
	d := json.NewDecoder(io.LimitReader(body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return a, errors.Wrap(err, "announcement")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return a, errors.New("announcement: something follows it")
	}
	return a, a.validate()
}

func (a announcement) validate() error {
	for _, f := range []struct{ name, value string }{{"Name", a.Name}, {"Service", a.Service}, {"DataCentre", a.DataCentre}} {
		if f.value == "" || len(f.value) > maxNameBytes {
			return errors.Errorf("announcement: %s must have 1 to %d bytes", f.name, maxNameBytes)
		}
	}
	if a.Slots < 1 || a.Slots > snipefront.MaxSlots {
		return errors.Errorf("announcement: Slots is %d, want 1 to %d", a.Slots, snipefront.MaxSlots)
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
