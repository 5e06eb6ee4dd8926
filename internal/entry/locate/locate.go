// Package locate serves the addresses of the instances that a caller should use.
//
// The owners of the service's cells come first, since a request that arrives at the
// owner of its cell needs no second hop. The answer spans at least two data centres if the
// fleet does, so that a caller with a cached answer survives the loss of one.
package locate

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/member"
)

// minAddresses is the fewest addresses in an answer, if the fleet has as many.
const minAddresses = 2

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
	list := h.addresses(time.Now(), v, service)
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

func (h *Handler) addresses(now time.Time, v *member.View, service string) []Address {
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
	for _, n := range v.Epoch.Instances {
		if len(list) >= minAddresses {
			break
		}
		if _, ok := byAddress[n.CallerAddress]; ok || v.Config.DataCentresOut[n.DataCentre] {
			continue
		}
		byAddress[n.CallerAddress] = len(list)
		list = append(list, Address{Address: n.CallerAddress, DataCentre: n.DataCentre, Weight: 1})
	}
	return list
}
