package admin

import (
	"context"
	"net/http"
	"sort"
	"time"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/control/owner"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
)

// cellStatus is one cell as this instance knows it.
type cellStatus struct {
	Service        string
	DataCentre     string
	Owner          string
	InFlight       int
	Queued         int
	Free           int
	BackendServers []serverStatus
}

// serverStatus is one backend server as its cell knows it.
type serverStatus struct {
	Name     string
	Address  string
	State    string
	Limit    int
	Slots    int
	InFlight int
	// Reason tells why it receives no work, or why little.
	Reason string
}

// status answers with what this instance knows and, where the control quorum
// answers, what its leader knows.
func (a *Admin) status(w http.ResponseWriter, h *http.Request) {
	ctx, cancel := context.WithTimeout(h.Context(), askTimeout)
	defer cancel()
	var v leader.Overview
	if err := a.Control.Read(ctx, "Overview", 0, &v); err != nil {
		a.Logger.Warn("status without the leader", "error", err)
	}
	now := time.Now()
	answer(w, http.StatusOK, struct {
		Instance          string
		Leader            string
		Term              uint64
		Epoch             uint64
		Settled           uint64
		Revision          uint64
		LeaseMilliseconds int64
		Members           []leader.MemberInfo
		Cells             []cellStatus
	}{
		a.Self, v.Leader, v.Term, a.View().Epoch.Number, v.Settled, a.View().Config.Revision,
		a.Lease.Left(now).Milliseconds(), v.Members, a.cells(now),
	})
}

// cells returns all cells with their owners. Of those that this instance does not
// know nothing else is told.
func (a *Admin) cells(now time.Time) []cellStatus {
	loads := map[snipefront.Cell]cell.Load{}
	v := a.View()
	for _, n := range owner.DataCentres(v.Epoch) {
		for s := range v.Config.Services {
			loads[snipefront.Cell{Service: s, DataCentre: n}] = cell.Load{}
		}
	}
	for c, d := range a.Cells.All() {
		loads[c] = d.Cell.Load(now)
	}
	var list []cellStatus
	for c, l := range loads {
		list = append(list, a.cell(c, l))
	}
	sort.Slice(list, func(i, j int) bool {
		x, y := list[i], list[j]
		return x.Service < y.Service || x.Service == y.Service && x.DataCentre < y.DataCentre
	})
	return list
}

func (a *Admin) cell(c snipefront.Cell, l cell.Load) cellStatus {
	o, _ := owner.Of(a.View().Epoch, c)
	s := cellStatus{
		Service:    c.Service,
		DataCentre: c.DataCentre,
		Owner:      o.Name,
		InFlight:   l.InFlight,
		Queued:     l.Queued,
		Free:       l.Free,
	}
	for _, b := range l.Servers {
		s.BackendServers = append(s.BackendServers, serverOf(b))
	}
	sort.Slice(s.BackendServers, func(i, j int) bool { return s.BackendServers[i].Name < s.BackendServers[j].Name })
	return s
}

func serverOf(b cell.ServerLoad) serverStatus {
	s := serverStatus{
		Name:     b.Announced.Name,
		Address:  b.Announced.Address,
		State:    "ready",
		Limit:    b.Limit,
		Slots:    b.Announced.Slots,
		InFlight: b.InFlight,
		Reason:   b.Reason,
	}
	if b.Announced.Draining {
		s.State = "draining"
	}
	return s
}
