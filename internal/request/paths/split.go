package paths

import (
	"sync"

	"github.com/snipefront/snipefront"
)

// Splitter spreads the requests of each route over its services, so that any run
// of requests comes as near to the weights as whole numbers allow. Its zero value
// is ready.
type Splitter struct {
	mu sync.Mutex
	// credit holds what each service of a route is owed, by the name of the route
	// and the service.
	credit map[[2]string]float64
}

// Next returns the service for the next request of n.
func (s *Splitter) Next(n *snipefront.Route) string {
	if len(n.Split) == 1 {
		return n.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credit == nil {
		s.credit = map[[2]string]float64{}
	}
	total, best, most := 0.0, -1, 0.0
	for i, v := range n.Split {
		if v.Weight <= 0 {
			continue
		}
		k := [2]string{n.Name, v.Service}
		s.credit[k] += v.Weight
		total += v.Weight
		if best < 0 || s.credit[k] > most {
			best, most = i, s.credit[k]
		}
	}
	name := n.Split[best].Service
	s.credit[[2]string{n.Name, name}] -= total
	return name
}

// Forget drops what routes are owed that are not in names.
func (s *Splitter) Forget(names map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.credit {
		if !names[k[0]] {
			delete(s.credit, k)
		}
	}
}
