// Package bench compares load balancing policies under simulated load.
//
// A run simulates backend servers with a number of slots, random service times,
// speeds that may change and cold starts, and an open-loop load at a set share of
// their capacity. Each Policy is given the same arrivals and the same work: either
// independent load balancers with stale load reports, or the production routers,
// cells, limiters and picker. Only the network and the backend servers are simulated,
// in memory. Run uses the clock of package time, so call it in a testing/synctest
// bubble.
package bench

import (
	"time"

	"github.com/snipefront/snipefront"
)

const (
	// localDelay is the one-way delay within a data centre.
	localDelay = 100 * time.Microsecond
	// remoteDelay is the one-way delay between data centres.
	remoteDelay = 500 * time.Microsecond
	// dataCentres is the number of data centres; instances and backend servers are
	// spread evenly over them.
	dataCentres = 4
)

// Size describes a fleet: its instances, and its services with their backend servers.
type Size struct {
	Name string
	// Entries is the number of instances, or of independent load balancers for a
	// Policy with a picker.
	Entries  int
	Services []Service
}

// Service is a service with its backend servers.
type Service struct {
	snipefront.Service
	// Servers is the number of backend servers in all data centres.
	Servers int
	// Slots is the number of requests that each backend server runs at once when warm.
	Slots int
	// Work is the mean service time at full speed.
	Work time.Duration
}

// Capacity returns the requests per second that all backend servers together can
// answer at full speed.
func (s Service) Capacity() float64 {
	return float64(s.Servers*s.Slots) / s.Work.Seconds()
}

// Counters returns the fleet of Tællerværk, one of the users.
func Counters() Size {
	return Size{Name: "counters", Entries: 14, Services: []Service{
		service("balance", snipefront.Critical, 12, 3, 5*time.Millisecond, 250*time.Millisecond),
		service("charge", snipefront.Critical, 8, 3, 8*time.Millisecond, 500*time.Millisecond),
		service("ledger", snipefront.Background, 14, 3, 40*time.Millisecond, 2*time.Second),
	}}
}

// Chairs returns the fleet of Khomas, one of the users.
func Chairs() Size {
	return Size{Name: "chairs", Entries: 14, Services: []Service{
		service("readiness", snipefront.Critical, 10, 2, 6*time.Millisecond, 250*time.Millisecond),
		service("booking", snipefront.Critical, 8, 2, 12*time.Millisecond, 500*time.Millisecond),
		service("catalogue", snipefront.Background, 9, 2, 20*time.Millisecond, time.Second),
	}}
}

func service(name string, i snipefront.Importance, servers, slots int, work, deadline time.Duration) Service {
	return Service{
		Service: snipefront.Service{
			Name:       name,
			Importance: i,
			Deadline:   deadline,
			ColdLimit:  1,
			WarmUp:     warmUp,
		},
		Servers: servers,
		Slots:   slots,
		Work:    work,
	}
}
