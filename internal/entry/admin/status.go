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

// loadTimeout bounds asking the owners of cells.
const loadTimeout = time.Second

// Peers asks other instances for the cells that they own, in JSON.
type Peers interface {
	Load(ctx context.Context, address string) ([]byte, error)
}

// status answers with what this instance knows and, as far as they answer, what
// the leader of the control quorum and the owners of the cells know.
func (a *Admin) status(w http.ResponseWriter, h *http.Request) {
	ctx, cancel := context.WithTimeout(h.Context(), askTimeout)
	defer cancel()
	var v leader.Overview
	if err := a.Control.Read(ctx, "Overview", 0, &v); err != nil {
		a.Logger.Warn("status without the leader", "error", err)
	}
	s := client.Status{
		Instance:          a.Self,
		Leader:            v.Leader,
		Term:              v.Term,
		Epoch:             a.View().Epoch.Number,
		Settled:           v.Settled,
		Revision:          a.View().Config.Revision,
		Claims:            v.Claims,
		LeaseMilliseconds: a.Lease.Left(time.Now()).Milliseconds(),
		Cells:             a.fleet(h.Context()),
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
	answer(w, http.StatusOK, s)
}

// Owned returns the cells that this instance owns, as JSON.
func (a *Admin) Owned() ([]byte, error) {
	var list []client.Cell
	for _, c := range a.known(time.Now()) {
		if c.Owner == a.Self {
			list = append(list, c)
		}
	}
	b, err := json.Marshal(list)
	return b, errors.Wrap(err, "encode cells")
}

// fleet returns all cells with their owners, and with what their owners know as far
// as they answer.
func (a *Admin) fleet(ctx context.Context) []client.Cell {
	list := a.known(time.Now())
	owned := a.loads(ctx, list)
	for i, c := range list {
		if o, ok := owned[snipefront.Cell{Service: c.Service, DataCentre: c.DataCentre}]; ok {
			list[i] = o
		}
	}
	return list
}

// loads asks the owners in list, each once and side by side, for their cells.
func (a *Admin) loads(ctx context.Context, list []client.Cell) map[snipefront.Cell]client.Cell {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	asked := 0
	answers := make(chan []client.Cell)
	for _, n := range a.View().Epoch.Instances {
		owns := slices.ContainsFunc(list, func(c client.Cell) bool { return c.Owner == n.Name })
		if n.Name == a.Self || !owns {
			continue
		}
		asked++
		go func() { answers <- a.load(ctx, n) }()
	}
	owned := map[snipefront.Cell]client.Cell{}
	for range asked {
		for _, c := range <-answers {
			owned[snipefront.Cell{Service: c.Service, DataCentre: c.DataCentre}] = c
		}
	}
	return owned
}

// load asks n for its cells and returns none where it does not answer.
func (a *Admin) load(ctx context.Context, n snipefront.Instance) []client.Cell {
	var list []client.Cell
	b, err := a.Peers.Load(ctx, n.PeerAddress)
	if err == nil {
		err = json.Unmarshal(b, &list)
	}
	if err != nil {
		a.Logger.Warn("status without an owner", "owner", n.Name, "error", err)
	}
	return list
}

// known returns all cells with their owners. Of those that this instance does not
// know nothing else is told.
func (a *Admin) known(now time.Time) []client.Cell {
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
		list = append(list, a.cell(c, l))
	}
	sort.Slice(list, func(i, j int) bool {
		x, y := list[i], list[j]
		return x.Service < y.Service || x.Service == y.Service && x.DataCentre < y.DataCentre
	})
	return list
}

func (a *Admin) cell(c snipefront.Cell, l cell.Load) client.Cell {
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
		s.BackendServers = append(s.BackendServers, serverOf(b))
	}
	sort.Slice(s.BackendServers, func(i, j int) bool { return s.BackendServers[i].Name < s.BackendServers[j].Name })
	return s
}

func serverOf(b cell.ServerLoad) client.BackendServer {
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
