// Package locate tells callers which addresses to use.
//
// The owners of the service's cells come first, since a request that reaches its
// owner needs no second hop. The answer spans at least two data centres where
// the fleet does, so that a caller can outlive one of them on a kept answer.
package locate

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/member"
)

// minAddresses is the fewest addresses of an answer where the fleet has them.
const minAddresses = 2

// Owners knows the owners of the cells of a service.
type Owners interface {
	// Choices returns the owners with the free slots that each cell has, the best
	// first.
	Choices(now time.Time, service string) (owners []snipefront.Instance, free []int)
}

// Handler implements http.Handler. Set the exported fields before use.
type Handler struct {
	View   func() *member.View
	Owners Owners
	// Lifetime is for how long a caller may keep the answer.
	Lifetime time.Duration
}

// Address is one address of an answer.
type Address struct {
	Address    string
	DataCentre string
	// Weight is the share of requests that the address should get, at least 1.
	Weight int
}

// ServeHTTP implements http.Handler.
func (d *Handler) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	service := h.URL.Query().Get("service")
	v := d.View()
	if _, ok := v.Config.Services[service]; !ok {
		http.Error(w, "unknown service", http.StatusNotFound)
		return
	}
	list := d.addresses(time.Now(), v, service)
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
	}{list, d.Lifetime.Milliseconds(), v.Config.Revision})
}

func (d *Handler) addresses(now time.Time, v *member.View, service string) []Address {
	var list []Address
	at := map[string]int{}
	owners, free := d.Owners.Choices(now, service)
	for i, o := range owners {
		weight := max(1, free[i])
		if j, ok := at[o.CallerAddress]; ok {
			list[j].Weight += weight
			continue
		}
		at[o.CallerAddress] = len(list)
		list = append(list, Address{Address: o.CallerAddress, DataCentre: o.DataCentre, Weight: weight})
	}
	for _, n := range v.Epoch.Instances {
		if len(list) >= minAddresses {
			break
		}
		if _, ok := at[n.CallerAddress]; ok || v.Config.DataCentresOut[n.DataCentre] {
			continue
		}
		at[n.CallerAddress] = len(list)
		list = append(list, Address{Address: n.CallerAddress, DataCentre: n.DataCentre, Weight: 1})
	}
	return list
}
