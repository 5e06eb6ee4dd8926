package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/config/client"
	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/control/owner"
	"github.com/snipefront/snipefront/internal/dispatch/cell"
)

// loadTimeout bounds the calls that read cells from their owners.
const loadTimeout = time.Second

// Peers reads from other instances the cells that they own, as JSON.
type Peers interface {
	Load(ctx context.Context, address string) ([]byte, error)
}

// serveStatus answers with the state that this instance knows, and adds what the
// leader of the control quorum and the owners of the cells report. If one of them
// does not answer, its part is left out.
func (a *Admin) serveStatus(w http.ResponseWriter, req *http.Request) {
	ctx, cancel := context.WithTimeout(req.Context(), controlTimeout)
	defer cancel()
	var v leader.Overview
	if err := a.Control.Read(ctx, "Overview", 0, &v); err != nil {
		a.Logger.Warn("cannot read the state of the leader; the status is incomplete", "error", err)
	}
	s := client.Status{
		Instance:          a.Self,
		Leader:            v.Leader,
		Term:              v.Term,
		Epoch:             a.View().Epoch.Number,
		Settled:           v.Settled,
		Revision:          a.View().Config.Revision,
		Claims:            v.Claims,
		LeaseMilliseconds: a.Lease.Remaining(time.Now()).Milliseconds(),
		Cells:             a.allCells(req.Context()),
	}
	for _, m := range v.Members {
		s.Members = append(s.Members, client.Member{
			Name:          m.Name,
			DataCentre:    m.DataCentre,
			CallerAddress: m.CallerAddress,
			PeerAddress:   m.PeerAddress,
			Epoch:         m.Epoch,
			Revision:      m.Revision,
		})
	}
	writeJSON(w, http.StatusOK, s)
}

// OwnedCells returns the cells that this instance owns, as JSON.
func (a *Admin) OwnedCells() ([]byte, error) {
	var list []client.Cell
	for _, c := range a.knownCells(time.Now()) {
		if c.Owner == a.Self {
			list = append(list, c)
		}
	}
	b, err := json.Marshal(list)
	return b, errors.Wrap(err, "encode cells")
}

// allCells returns all cells with their owners, and with the load that their owners
// report. The load of a cell is zero if its owner does not answer.
func (a *Admin) allCells(ctx context.Context) []client.Cell {
	list := a.knownCells(time.Now())
	owned := a.remoteCells(ctx, list)
	for i, c := range list {
		if o, ok := owned[snipefront.Cell{Service: c.Service, DataCentre: c.DataCentre}]; ok {
			list[i] = o
		}
	}
	return list
}

// remoteCells reads the cells of the other owners in list, with one call to each
// owner. The calls run concurrently.
func (a *Admin) remoteCells(ctx context.Context, list []client.Cell) map[snipefront.Cell]client.Cell {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	calls := 0
	results := make(chan []client.Cell)
	for _, n := range a.View().Epoch.Instances {
		owns := slices.ContainsFunc(list, func(c client.Cell) bool { return c.Owner == n.Name })
		if n.Name == a.Self || !owns {
			continue
		}
		calls++
		go func() { results <- a.cellsOf(ctx, n) }()
	}
	owned := map[snipefront.Cell]client.Cell{}
	for range calls {
		for _, c := range <-results {
			owned[snipefront.Cell{Service: c.Service, DataCentre: c.DataCentre}] = c
		}
	}
	return owned
}

// cellsOf returns the cells that n owns, or none if n does not answer.
func (a *Admin) cellsOf(ctx context.Context, n snipefront.Instance) []client.Cell {
	var list []client.Cell
	b, err := a.Peers.Load(ctx, n.PeerAddress)
	if err == nil {
		err = json.Unmarshal(b, &list)
	}
	if err != nil {
		a.Logger.Warn("cannot read the cells of an owner; the status is incomplete", "owner", n.Name, "error", err)
	}
	return list
}

// knownCells returns all cells with their owners. Only the cells that this instance
// dispatches for have a load.
func (a *Admin) knownCells(now time.Time) []client.Cell {
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
	var list []client.Cell
	for c, l := range loads {
		list = append(list, a.clientCell(c, l))
	}
	sort.Slice(list, func(i, j int) bool {
		x, y := list[i], list[j]
		return x.Service < y.Service || x.Service == y.Service && x.DataCentre < y.DataCentre
	})
	return list
}

func (a *Admin) clientCell(c snipefront.Cell, l cell.Load) client.Cell {
	o, _ := owner.Of(a.View().Epoch, c)
	s := client.Cell{
		Service:    c.Service,
		DataCentre: c.DataCentre,
		Owner:      o.Name,
		InFlight:   l.InFlight,
		Queued:     l.Queued,
		Free:       l.Free,
	}
	for _, b := range l.Servers {
		s.BackendServers = append(s.BackendServers, clientServer(b))
	}
	sort.Slice(s.BackendServers, func(i, j int) bool { return s.BackendServers[i].Name < s.BackendServers[j].Name })
	return s
}

func clientServer(b cell.ServerLoad) client.BackendServer {
	s := client.BackendServer{
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
