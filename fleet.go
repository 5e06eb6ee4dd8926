package snipefront

import "time"

// Instance is one process of the system, as the membership epoch lists it.
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
	// Number grows by one with each change of the set. Zero is no epoch.
	Number uint64
	// Instances are sorted by name.
	Instances []Instance
	// DataCentres are all that ever had an instance, sorted. Backend servers can
	// outlive the last instance of theirs.
	DataCentres []string
}

// Cell is the unit of ownership: the backend servers of one service in one
// data centre.
type Cell struct {
	Service    string
	DataCentre string
}

// BackendServer is a backend server as it announced itself.
type BackendServer struct {
	// Name is unique in its cell.
	Name string
	// Service is the one service that it answers for.
	Service string
	// DataCentre is where it runs.
	DataCentre string
	// Address is host:port for requests.
	Address string
	// Incarnation differs after each start of the backend server.
	Incarnation uint64
	// Slots is the most requests that it runs at once when warm. At least 1.
	Slots int
	// Draining is true where it accepts no new work.
	Draining bool
	// Expires is the instant at which the announcement lapses.
	Expires time.Time `json:",omitzero"`
}

// CellOf returns the cell to which b belongs.
func (b *BackendServer) CellOf() Cell {
	return Cell{Service: b.Service, DataCentre: b.DataCentre}
}
