// Package admin implements the operators' HTTP interface: health, metrics, the
// configuration and the state of the fleet. Any instance serves it and reads from
// the leader of the control quorum what only the leader knows.
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
	// controlTimeout bounds a call of the control quorum.
	controlTimeout = 3 * time.Second
	// pollInterval is the time between checks whether this instance has applied a
	// revision.
	pollInterval = 10 * time.Millisecond
	// maxChangeBytes bounds the request body of a configuration change.
	maxChangeBytes = 64 << 20
	// maxChangeIDBytes bounds the ChangeID of a configuration change.
	maxChangeIDBytes = 128
)

// Control calls the leader of the control quorum.
type Control interface {
	Propose(ctx context.Context, c state.Command, result any) error
	Read(ctx context.Context, what string, revision uint64, result any) error
}

// Admin serves the operators' interface. Set the exported fields before Route.
type Admin struct {
	Self    string
	View    func() *member.View
	Lease   *member.Lease
	Cells   *cells.Set
	Control Control
	Peers   Peers
	Metrics prometheus.Gatherer
	// Stopping reports whether the instance has begun to stop.
	Stopping func() bool
	Logger   *slog.Logger
}

// Route adds the paths of the operators' interface to r.
func (a *Admin) Route(r *mux.Router) {
	r.HandleFunc("/healthz", a.serveHealth).Methods(http.MethodGet)
	r.HandleFunc("/readyz", a.serveReady).Methods(http.MethodGet)
	r.Handle("/metrics", promhttp.HandlerFor(a.Metrics, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	r.HandleFunc("/v1/config", a.showConfig).Methods(http.MethodGet)
	r.HandleFunc("/v1/config", a.changeConfig).Methods(http.MethodPost)
	r.HandleFunc("/v1/config/history", a.showHistory).Methods(http.MethodGet)
	r.HandleFunc("/v1/config/inforce", a.showInForce).Methods(http.MethodGet)
	r.HandleFunc("/v1/status", a.serveStatus).Methods(http.MethodGet)
}

func (a *Admin) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// serveReady answers with status 200 if this instance accepts requests, and with
// status 503 and a reason otherwise.
func (a *Admin) serveReady(w http.ResponseWriter, _ *http.Request) {
	reason := a.notReadyReason()
	if reason == "" {
		_, _ = w.Write([]byte("ready\n"))
		return
	}
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (a *Admin) notReadyReason() string {
	v := a.View()
	switch {
	case a.Stopping():
		return "stopping"
	case !a.Lease.Held(time.Now()):
		return "no lease"
	case !v.InEpoch():
		return "not in the epoch"
	default:
		return ""
	}
}

func (a *Admin) showConfig(w http.ResponseWriter, _ *http.Request) {
	v := a.View()
	files := make([]state.File, 0, len(v.Files))
	for n, c := range v.Files {
		files = append(files, state.File{Name: n, Content: c})
	}
	sort.Slice(files, func(i, j int) bool { return files[i].Name < files[j].Name })
	writeJSON(w, http.StatusOK, struct {
		Revision uint64
		Files    []state.File
	}{v.Config.Revision, files})
}

func (a *Admin) changeConfig(w http.ResponseWriter, req *http.Request) {
	var c struct {
		ChangeID string
		Version  uint64
		Files    []state.File
	}
	d := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxChangeBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, "the change is not understood: "+err.Error())
		return
	}
	if c.ChangeID == "" || len(c.ChangeID) > maxChangeIDBytes {
		writeError(w, http.StatusBadRequest, "ChangeID must have 1 to "+strconv.Itoa(maxChangeIDBytes)+" bytes")
		return
	}
	merged, problems := merge(c.Files)
	if len(problems) > 0 {
		writeJSON(w, http.StatusBadRequest, struct{ Problems []intent.Problem }{problems})
		return
	}
	current, ok := a.filesAt(req.Context(), c.Version)
	if !ok {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "this instance does not know the revision "+strconv.FormatUint(c.Version, 10)+" yet")
		return
	}
	change := state.Diff(current, c.Version, c.Files)
	change.ChangeID = c.ChangeID
	a.propose(w, req, &change, a.warnings(&merged))
}

// filesAt returns the files of the given revision. It waits up to controlTimeout if
// this instance has not applied that revision yet. For an older revision it returns
// no files, since such a change is either a repetition or a conflict.
func (a *Admin) filesAt(ctx context.Context, version uint64) (files map[string]json.RawMessage, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
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

// merge returns the configuration that files define, or the problems in them.
func merge(files []state.File) (snipefront.Config, []intent.Problem) {
	list := make([]intent.File, 0, len(files))
	for _, f := range files {
		list = append(list, intent.File{Name: f.Name, Content: f.Content})
	}
	return intent.Merge(list)
}

// warnings returns a warning for each data centre that c takes out of service but
// that has never had an instance. Its name is probably a typo, which would leave the
// intended data centre in service.
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

func (a *Admin) propose(w http.ResponseWriter, req *http.Request, c *state.ConfigChange, warnings []string) {
	ctx, cancel := context.WithTimeout(req.Context(), controlTimeout)
	defer cancel()
	var r state.ConfigResult
	at := time.Now().UnixMilli() //nolint:forbidigo // only the history shows it
	if err := a.Control.Propose(ctx, state.Command{UnixMillis: at, Config: c}, &r); err != nil {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "the change may or may not be accepted; send it again with the same ChangeID: "+err.Error())
		return
	}
	if r.Conflict {
		writeJSON(w, http.StatusConflict, struct {
			Revision uint64
			ChangeID string
			Detail   string
		}{r.Revision, r.Winner, "another change was accepted for this version"})
		return
	}
	a.Logger.Info("configuration change accepted", "change", c.ChangeID, "revision", r.Revision, "repeated", r.Repeated)
	writeJSON(w, http.StatusOK, struct {
		Revision uint64
		Repeated bool
		Warnings []string `json:",omitempty"`
	}{r.Revision, r.Repeated, warnings})
}

func (a *Admin) showHistory(w http.ResponseWriter, req *http.Request) {
	var r leader.History
	if a.readLeader(w, req, "History", 0, &r) {
		writeJSON(w, http.StatusOK, r)
	}
}

func (a *Admin) showInForce(w http.ResponseWriter, req *http.Request) {
	n, err := strconv.ParseUint(req.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "revision must be a whole number")
		return
	}
	var v leader.Overview
	if !a.readLeader(w, req, "Overview", n, &v) {
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Revision uint64
		InForce  bool
		Waiting  []string
	}{n, v.InForce, v.Waiting})
}

// readLeader reads result from the leader and reports whether it succeeded. If not,
// it has sent the error to the operator.
func (a *Admin) readLeader(w http.ResponseWriter, req *http.Request, what string, revision uint64, result any) bool {
	ctx, cancel := context.WithTimeout(req.Context(), controlTimeout)
	defer cancel()
	if err := a.Control.Read(ctx, what, revision, result); err != nil {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return false
	}
	return true
}

func writeError(w http.ResponseWriter, status int, detail string) {
	writeJSON(w, status, struct{ Detail string }{detail})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
