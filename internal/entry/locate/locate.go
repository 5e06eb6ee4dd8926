// Package locate serves the addresses of the instances that a caller should use.
//
// The owners of the service's cells come first, since a request that arrives at the
// owner of its cell needs no second hop. The answer spans at least two data centres if the
// fleet does, so that a caller with a cached answer survives the loss of one. A consistent
// hash of the caller chooses the instances beside the owners, so that callers are spread
// over all of them and keep theirs.
package locate

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/lookup"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/control/ring"
)

// minAddresses and minDataCentres are the fewest addresses and data centres in an answer, if
// the fleet has as many.
const (
	minAddresses   = 2
	minDataCentres = 2
	// ringPoints is the number of points of each instance on the ring that chooses the
	// instances beside the owners. A caller gets one or two, so that unequal distances
	// between points show fully.
	ringPoints = 256
)

// Owners returns the owners of the cells of a service.
type Owners interface {
	// RankedOwners returns the owners, the best first, and for the cell of each the
	// number of free slots minus the number of queued requests.
	RankedOwners(now time.Time, service string) (owners []snipefront.Instance, free []int)
}

// Handler is an http.Handler that answers with the addresses for a service. Set the
// exported fields before use.
type Handler struct {
	View   func() *member.View
	Owners Owners
	// Lifetime is how long a caller may cache the answer.
	Lifetime time.Duration

	// serving holds the instances of the last view that was used.
	serving atomic.Pointer[serving]
}

// serving holds the instances of a view that are in data centres in service.
type serving struct {
	view *member.View
	// ring holds their names.
	ring        ring.Ring
	instances   map[string]snipefront.Instance
	dataCentres map[string]bool
}

// Address is one address of an answer.
type Address struct {
	Address    string
	DataCentre string
	// Weight is the relative share of requests for the address, at least 1.
	Weight int
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service := r.URL.Query().Get("service")
	v := h.View()
	if _, ok := v.Config.Services[service]; !ok {
		http.Error(w, "unknown service", http.StatusNotFound)
		return
	}
	list := h.addresses(time.Now(), v, service, lookup.CallerName(r.RemoteAddr))
	if len(list) == 0 {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no instance is known yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Addresses            []Address
		LifetimeMilliseconds int64
		Revision             uint64
	}{list, h.Lifetime.Milliseconds(), v.Config.Revision})
}

func (h *Handler) addresses(now time.Time, v *member.View, service, caller string) []Address {
	var list []Address
	byAddress := map[string]int{}
	owners, free := h.Owners.RankedOwners(now, service)
	for i, o := range owners {
		weight := max(1, free[i])
		if j, ok := byAddress[o.CallerAddress]; ok {
			list[j].Weight += weight
			continue
		}
		byAddress[o.CallerAddress] = len(list)
		list = append(list, Address{Address: o.CallerAddress, DataCentre: o.DataCentre, Weight: weight})
	}
	return h.servingIn(v).complete(list, ring.Position(caller))
}

// servingIn returns the instances of v in data centres in service.
func (h *Handler) servingIn(v *member.View) *serving {
	old := h.serving.Load()
	if old == nil {
		old = &serving{ring: ring.Ring{Points: ringPoints}}
	}
	if old.view == v {
		return old
	}
	s := &serving{view: v, instances: map[string]snipefront.Instance{}, dataCentres: map[string]bool{}}
	var names []string
	for _, n := range v.Epoch.Instances {
		if !v.Config.DataCentresOut[n.DataCentre] {
			names = append(names, n.Name)
			s.instances[n.Name] = n
			s.dataCentres[n.DataCentre] = true
		}
	}
	s.ring = old.ring.With(names)
	h.serving.Store(s)
	return s
}

// complete appends instances to list until it has minAddresses and spans two data centres,
// or as many as there are.
func (s *serving) complete(list []Address, position uint64) []Address {
	listed, dataCentres := map[string]bool{}, map[string]bool{}
	for _, a := range list {
		listed[a.Address], dataCentres[a.DataCentre] = true, true
	}
	for name := range s.ring.From(position) {
		spans := len(dataCentres) >= min(minDataCentres, len(s.dataCentres))
		if spans && len(list) >= minAddresses {
			break
		}
		n := s.instances[name]
		if listed[n.CallerAddress] || !spans && dataCentres[n.DataCentre] {
			continue
		}
		dataCentres[n.DataCentre] = true
		list = append(list, Address{Address: n.CallerAddress, DataCentre: n.DataCentre, Weight: 1})
	}
	return list
}
