package paths

import (
	"math/rand/v2"
	"sync"

	"github.com/snipefront/snipefront"
)

// maxSkipped bounds the turns that a Splitter skips before the first request of a route.
const maxSkipped = 1000

// Splitter distributes the requests of each route over its services by smooth weighted
// round robin, so that any number of consecutive requests is split as close to the
// weights as whole numbers allow. It begins at a random turn, so that the first requests of
// many instances are split by the weights, too. Its zero value is ready to use.
type Splitter struct {
	mu sync.Mutex
	// credit holds the current weight of each service of a route, by the names of the
	// route and the service.
	credit map[[2]string]float64
	// begun holds the names of the routes that have had a request.
	begun map[string]bool
}

// Next returns the service for the next request of rt.
func (s *Splitter) Next(rt *snipefront.Route) string {
	if len(rt.Split) == 1 {
		return rt.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credit == nil {
		s.credit, s.begun = map[[2]string]float64{}, map[string]bool{}
	}
	if !s.begun[rt.Name] {
		s.begun[rt.Name] = true
		for range rand.IntN(maxSkipped) {
			s.turn(rt)
		}
	}
	return s.turn(rt)
}

// turn returns the service whose turn it is. The lock is held.
func (s *Splitter) turn(rt *snipefront.Route) string {
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
			delete(s.begun, k[0])
		}
	}
}
