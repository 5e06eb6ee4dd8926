// Package admin speaks HTTP with operators: health, metrics, the configuration
// and the state of the fleet. Any instance answers; what only the leader of the
// control quorum knows is asked of it.
package admin

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/config/intent"
	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/control/owner"
	"github.com/snipefront/snipefront/internal/control/state"
	"github.com/snipefront/snipefront/internal/dispatch/cells"
)

const (
	// askTimeout bounds a question to the control quorum.
	askTimeout = 3 * time.Second
	// pollInterval is the time between looks for a revision.
	pollInterval = 10 * time.Millisecond
	// maxChangeBytes bounds the body of a change.
	maxChangeBytes = 64 << 20
	// maxChangeIDBytes bounds the identity of a change.
	maxChangeIDBytes = 128
)

// Control asks the leader of the control quorum.
type Control interface {
	Propose(ctx context.Context, c state.Command, result any) error
	Read(ctx context.Context, what string, revision uint64, result any) error
}

// Admin serves operators. Set the exported fields before Route.
type Admin struct {
	Self    string
	View    func() *member.View
	Lease   *member.Lease
	Cells   *cells.Set
	Control Control
	Peers   Peers
	Metrics prometheus.Gatherer
	// Stopping returns whether the instance has begun to stop.
	Stopping func() bool
	Logger   *slog.Logger
}

// Route adds the operators' paths to r.
func (a *Admin) Route(r *mux.Router) {
	r.HandleFunc("/healthz", a.health).Methods(http.MethodGet)
	r.HandleFunc("/readyz", a.ready).Methods(http.MethodGet)
	r.Handle("/metrics", promhttp.HandlerFor(a.Metrics, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	r.HandleFunc("/v1/config", a.show).Methods(http.MethodGet)
	r.HandleFunc("/v1/config", a.change).Methods(http.MethodPost)
	r.HandleFunc("/v1/config/history", a.history).Methods(http.MethodGet)
	r.HandleFunc("/v1/config/inforce", a.inForce).Methods(http.MethodGet)
	r.HandleFunc("/v1/status", a.status).Methods(http.MethodGet)
}

func (a *Admin) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// ready tells whether this instance would serve a request now.
func (a *Admin) ready(w http.ResponseWriter, _ *http.Request) {
	why := a.unready()
	if why == "" {
		_, _ = w.Write([]byte("ready\n"))
		return
	}
	http.Error(w, why, http.StatusServiceUnavailable)
}

func (a *Admin) unready() string {
	v := a.View()
	switch {
	case a.Stopping():
		return "stopping"
	case !a.Lease.Held(time.Now()):
		return "no lease"
	case !v.In():
		return "not in the epoch"
	default:
		return ""
	}
}

func (a *Admin) show(w http.ResponseWriter, _ *http.Request) {
	v := a.View()
	files := make([]state.File, 0, len(v.Files))
	for n, c := range v.Files {
		files = append(files, state.File{Name: n, Content: c})
	}
	sort.Slice(files, func(i, j int) bool { return files[i].Name < files[j].Name })
	answer(w, http.StatusOK, struct {
		Revision uint64
		Files    []state.File
	}{v.Config.Revision, files})
}

func (a *Admin) change(w http.ResponseWriter, h *http.Request) {
	var c struct {
		ChangeID string
		Version  uint64
		Files    []state.File
	}
	d := json.NewDecoder(http.MaxBytesReader(w, h.Body, maxChangeBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		refuse(w, http.StatusBadRequest, "the change is not understood: "+err.Error())
		return
	}
	if c.ChangeID == "" || len(c.ChangeID) > maxChangeIDBytes {
		refuse(w, http.StatusBadRequest, "ChangeID must have 1 to "+strconv.Itoa(maxChangeIDBytes)+" bytes")
		return
	}
	next, problems := merge(c.Files)
	if len(problems) > 0 {
		answer(w, http.StatusBadRequest, struct{ Problems []intent.Problem }{problems})
		return
	}
	held, ok := a.folder(h.Context(), c.Version)
	if !ok {
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusServiceUnavailable, "this instance does not know the revision "+strconv.FormatUint(c.Version, 10)+" yet")
		return
	}
	n := state.Compare(held, c.Version, c.Files)
	n.ChangeID = c.ChangeID
	a.propose(w, h, &n, a.warnings(&next))
}

// folder returns the files at the revision version, waiting for it where this
// instance has not seen it yet. For an older revision, whose files matter no
// more, it returns none.
func (a *Admin) folder(ctx context.Context, version uint64) (files map[string]json.RawMessage, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		v := a.View()
		if v.Config.Revision == version {
			return v.Files, true
		}
		if v.Config.Revision > version {
			return nil, true
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-t.C:
		}
	}
}

// merge returns what files say, or what is wrong with them.
func merge(files []state.File) (snipefront.Config, []intent.Problem) {
	list := make([]intent.File, 0, len(files))
	for _, f := range files {
		list = append(list, intent.File{Name: f.Name, Content: f.Content})
	}
	return intent.Merge(list)
}

// warnings tells of data centres in c that no instance was ever in, which a slip
// of the pen would leave in service.
func (a *Admin) warnings(c *snipefront.Config) []string {
	known := owner.DataCentres(a.View().Epoch)
	var list []string
	for n := range c.DataCentresOut {
		if !slices.Contains(known, n) {
			list = append(list, "data centre "+n+" has had no instance yet")
		}
	}
	slices.Sort(list)
	return list
}

func (a *Admin) propose(w http.ResponseWriter, h *http.Request, c *state.ConfigChange, warnings []string) {
	ctx, cancel := context.WithTimeout(h.Context(), askTimeout)
	defer cancel()
	var r state.ConfigResult
	if err := a.Control.Propose(ctx, state.Command{UnixMillis: time.Now().UnixMilli(), Config: c}, &r); err != nil {
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusServiceUnavailable, "the change may or may not be accepted; send it again with the same ChangeID: "+err.Error())
		return
	}
	if r.Conflict {
		answer(w, http.StatusConflict, struct {
			Revision uint64
			ChangeID string
			Detail   string
		}{r.Revision, r.Winner, "another change was accepted for this version"})
		return
	}
	a.Logger.Info("change accepted", "change", c.ChangeID, "revision", r.Revision, "repeated", r.Repeated)
	answer(w, http.StatusOK, struct {
		Revision uint64
		Repeated bool
		Warnings []string `json:",omitempty"`
	}{r.Revision, r.Repeated, warnings})
}

func (a *Admin) history(w http.ResponseWriter, h *http.Request) {
	var r leader.History
	if a.ask(w, h, "History", 0, &r) {
		answer(w, http.StatusOK, r)
	}
}

func (a *Admin) inForce(w http.ResponseWriter, h *http.Request) {
	n, err := strconv.ParseUint(h.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "revision must be a whole number")
		return
	}
	var v leader.Overview
	if !a.ask(w, h, "Overview", n, &v) {
		return
	}
	answer(w, http.StatusOK, struct {
		Revision uint64
		InForce  bool
		Waiting  []string
	}{n, v.InForce, v.Waiting})
}

// ask reads what the leader knows, or answers why it cannot.
func (a *Admin) ask(w http.ResponseWriter, h *http.Request, what string, revision uint64, result any) bool {
	ctx, cancel := context.WithTimeout(h.Context(), askTimeout)
	defer cancel()
	if err := a.Control.Read(ctx, what, revision, result); err != nil {
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return false
	}
	return true
}

func refuse(w http.ResponseWriter, status int, detail string) {
	answer(w, status, struct{ Detail string }{detail})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
