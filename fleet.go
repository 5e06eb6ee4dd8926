package snipefront

import "time"

// Instance is one process of the load balancer, as listed in the membership epoch.
type Instance struct {
	// Name is unique in the fleet.
	Name string
	// DataCentre is where the instance runs.
	DataCentre string
	// CallerAddress is host:port for callers and backend servers.
	CallerAddress string
	// PeerAddress is host:port for other instances.
	PeerAddress string
	// Incarnation differs after each start of the process.
	Incarnation uint64
}

// Epoch is a numbered set of instances. A later epoch replaces an earlier one.
type Epoch struct {
	// Number grows by one with each change of the set. Zero means that there is no
	// epoch yet.
	Number uint64
	// Instances are sorted by name.
	Instances []Instance
	// DataCentres are all data centres that ever had an instance, sorted. A data
	// centre may still have backend servers after its last instance has left.
	DataCentres []string
}

// Cell is the unit of ownership: the backend servers of one service in one
// data centre.
type Cell struct {
	Service    string
	DataCentre string
}

const (
	// MaxSlots bounds the slots that a backend server may announce.
	MaxSlots = 10_000
	// MaxWarmUp bounds the time for which a backend server may say that it stays cold.
	MaxWarmUp = time.Hour
)

// BackendServer is a backend server, as described by its own announcement.
type BackendServer struct {
	// Name is unique in its cell.
	Name string
	// Service is the one service that it runs requests for.
	Service string
	// DataCentre is where it runs.
	DataCentre string
	// Address is host:port for requests.
	Address string
	// Incarnation is higher after each start of the backend server, which chooses it. An
	// announcement with a lower one is late, and ignored.
	Incarnation uint64
	// Slots is the maximum number of requests that it runs at once when warm, 1 to
	// MaxSlots.
	Slots int
	// Draining is true if it accepts no new requests.
	Draining bool
	// Expires is the instant at which the announcement expires.
	Expires time.Time `json:",omitzero"`
}

// Cell returns the cell to which b belongs.
func (b *BackendServer) Cell() Cell {
	return Cell{Service: b.Service, DataCentre: b.DataCentre}
}
