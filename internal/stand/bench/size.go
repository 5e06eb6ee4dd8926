// Package bench compares ways to choose a backend server under load.
//
// A run has backend servers with slots, service times drawn by chance, speeds
// that shift and cold starts; entry instances; and callers that send at a set
// share of the capacity whether or not they get answers. The same arrivals and
// the same work meet each Policy: either independent choosers that go by stale
// reports, or the real routers, cells, limiters and picker. Only the network
// and the backend servers are stand-ins, held in memory. All time is that of the
// standard library, so a run belongs into a testing/synctest bubble.
package bench

import (
	"time"

	"github.com/snipefront/snipefront"
)

const (
	// near is the one-way delay within a data centre.
	near = 100 * time.Microsecond
	// far is the one-way delay between data centres.
	far = 500 * time.Microsecond
	// dataCentres is the number of data centres.
	dataCentres = 4
)

// Size is a user's fleet.
type Size struct {
	Name string
	// Entries is the number of instances or of independent choosers.
	Entries  int
	Services []Service
}

// Service is a service with its backend servers.
type Service struct {
	snipefront.Service
	// Servers is the number of backend servers, spread over the data centres.
	Servers int
	// Slots is what each backend server bears when warm.
	Slots int
	// Work is the mean time that a request takes at full speed.
	Work time.Duration
}

// Capacity returns the requests a second that all backend servers answer
// together at full speed.
func (s Service) Capacity() float64 {
	return float64(s.Servers*s.Slots) / s.Work.Seconds()
}

// Counters is the size of Tællerværk.
func Counters() Size {
	return Size{Name: "counters", Entries: 14, Services: []Service{
		service("balance", snipefront.Critical, 12, 3, 5*time.Millisecond, 250*time.Millisecond),
		service("charge", snipefront.Critical, 8, 3, 8*time.Millisecond, 500*time.Millisecond),
		service("ledger", snipefront.Background, 14, 3, 40*time.Millisecond, 2*time.Second),
	}}
}

// Chairs is the size of Khomas.
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
