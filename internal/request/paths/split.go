package paths

import (
	"sync"

	"github.com/snipefront/snipefront"
)

// Splitter distributes the requests of each route over its services by smooth weighted
// round robin, so that any number of consecutive requests is split as close to the
// weights as whole numbers allow. Its zero value is ready to use.
type Splitter struct {
	mu sync.Mutex
	// credit holds the current weight of each service of a route, by the names of the
	// route and the service.
	credit map[[2]string]float64
}

// Next returns the service for the next request of rt.
func (s *Splitter) Next(rt *snipefront.Route) string {
	if len(rt.Split) == 1 {
		return rt.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credit == nil {
		s.credit = map[[2]string]float64{}
	}
	total, best, highest := 0.0, -1, 0.0
	for i, v := range rt.Split {
		if v.Weight <= 0 {
			continue
		}
		k := [2]string{rt.Name, v.Service}
		s.credit[k] += v.Weight
		total += v.Weight
		if best < 0 || s.credit[k] > highest {
			best, highest = i, s.credit[k]
		}
	}
	name := rt.Split[best].Service
	s.credit[[2]string{rt.Name, name}] -= total
	return name
}

// Forget drops the state of routes that are not in names.
func (s *Splitter) Forget(names map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.credit {
		if !names[k[0]] {
			delete(s.credit, k)
		}
	}
}
