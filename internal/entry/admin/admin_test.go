package admin_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gorilla/mux"

	"github.com/snipefront/snipefront"
	"github.com/snipefront/snipefront/internal/control/leader"
	"github.com/snipefront/snipefront/internal/control/member"
	"github.com/snipefront/snipefront/internal/control/state"
	"github.com/snipefront/snipefront/internal/dispatch/cells"
	"github.com/snipefront/snipefront/internal/entry/admin"
	"github.com/snipefront/snipefront/internal/observe/stats"
)

// quorum is a control quorum in memory that can be made unreachable.
type quorum struct {
	state       state.State
	unreachable bool
}

func (q *quorum) Propose(_ context.Context, c state.Command, result any) error {
	if q.unreachable {
		return errors.New("no quorum")
	}
	b, err := c.Encode()
	if err != nil {
		return err
	}
	return state.Decode(q.state.Apply(0, b), result)
}

// Load implements admin.Peers. Only instance b answers, and it owns one cell.
func (q *quorum) Load(_ context.Context, address string) ([]byte, error) {
	if address != "peer-b" {
		return nil, errors.New("unreachable")
	}
	return []byte(`[{"Service":"balance","DataCentre":"dc2","Owner":"b","Free":2,"BackendServers":[{"Name":"x","Reason":"draining"}]}]`), nil
}

func (q *quorum) Read(_ context.Context, _ string, _ uint64, result any) error {
	if q.unreachable {
		return errors.New("no quorum")
	}
	b, err := json.Marshal(leader.Overview{Leader: "a"})
	if err != nil {
		return err
	}
	return json.Unmarshal(b, result)
}

// send sends a request to an instance in dc1 whose quorum is q.
func send(q *quorum, method, target, body string) *httptest.ResponseRecorder {
	v := &member.View{
		Self: "a",
		Epoch: snipefront.Epoch{Number: 1, Instances: []snipefront.Instance{
			{Name: "a", DataCentre: "dc1"}, {Name: "b", DataCentre: "dc2", PeerAddress: "peer-b"}, {Name: "c", DataCentre: "dc3"},
		}},
		Config: &snipefront.Config{Services: map[string]snipefront.Service{"balance": {}}},
	}
	a := &admin.Admin{
		Self:     "a",
		View:     func() *member.View { return v },
		Lease:    &member.Lease{},
		Cells:    &cells.Set{},
		Control:  q,
		Peers:    q,
		Metrics:  stats.New().Gatherer(),
		Stopping: func() bool { return false },
		Logger:   slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	r := mux.NewRouter()
	a.Route(r)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
	return w
}

const dataCentreOut = `{"ChangeID":"c","Version":0,"Files":[{"Name":"a.json","Content":{"Kind":"DataCentreOut","DataCentre":"dc9"}}]}`

// TestChangeAnswersMatchOutcome guards against an answer that misreports what became
// of a configuration change. It sends valid, repeated, conflicting and malformed
// changes, and then two reads and a change without a quorum.
func TestChangeAnswersMatchOutcome(t *testing.T) {
	q := &quorum{}
	for _, x := range []struct {
		what, body string
		status     int
		contains   string
	}{
		{"not JSON", `{`, http.StatusBadRequest, "not understood"},
		{"unknown field", `{"Change":"c"}`, http.StatusBadRequest, "not understood"},
		{"no ChangeID", `{"Version":0}`, http.StatusBadRequest, "ChangeID"},
		{"bad file", strings.Replace(dataCentreOut, "dc9", "DC 9", 1), http.StatusBadRequest, `"Problems":[{"File":"a.json","Field":"DataCentre"`},
		{"unknown data centre", dataCentreOut, http.StatusOK, `"Warnings":["data centre dc9 has had no instance yet"]`},
		{"sent again", dataCentreOut, http.StatusOK, `"Revision":1,"Repeated":true`},
		{"same content with another ChangeID", strings.Replace(dataCentreOut, `"c"`, `"d"`, 1) + " ", http.StatusOK, `"Repeated":true`},
		{"other content", strings.NewReplacer(`"c"`, `"e"`, "dc9", "dc1").Replace(dataCentreOut), http.StatusConflict, `"ChangeID":"c"`},
	} {
		w := send(q, http.MethodPost, "/v1/config", x.body)
		if w.Code != x.status || !strings.Contains(w.Body.String(), x.contains) {
			t.Errorf("%s: got %d %s, want the status and the text of the case", x.what, w.Code, w.Body)
		}
	}
	q.unreachable = true
	for _, target := range []string{"/v1/config/history", "/v1/config/inforce?revision=1"} {
		if w := send(q, http.MethodGet, target, ""); w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
			t.Errorf("%s without a quorum: got %d %s, want 503 with Retry-After", target, w.Code, w.Body)
		}
	}
	if w := send(q, http.MethodPost, "/v1/config", dataCentreOut); w.Code != http.StatusServiceUnavailable || !strings.Contains(w.Body.String(), "may or may not") {
		t.Errorf("a change without a quorum: got %d %s, want 503 and that it may or may not be accepted", w.Code, w.Body)
	}
}

// TestStatusWithoutQuorum guards against a status that fails as soon as the quorum is
// unreachable. The instance must report that it has no lease, and still list the owner
// of each cell with the load from the owners that answer.
func TestStatusWithoutQuorum(t *testing.T) {
	q := &quorum{unreachable: true}
	if w := send(q, http.MethodGet, "/readyz", ""); w.Code != http.StatusServiceUnavailable || !strings.Contains(w.Body.String(), "no lease") {
		t.Errorf("readiness: got %d %s, want 503 and no lease", w.Code, w.Body)
	}
	if w := send(q, http.MethodGet, "/healthz", ""); w.Code != http.StatusOK {
		t.Errorf("health: got %d, want 200", w.Code)
	}
	w := send(q, http.MethodGet, "/v1/status", "")
	for _, part := range []string{
		`"Service":"balance","DataCentre":"dc1","Owner":"a"`,
		`"DataCentre":"dc2","Owner":"b","InFlight":0,"Queued":0,"Free":2,"BackendServers":[{"Name":"x"`,
		`"Service":"balance","DataCentre":"dc3","Owner":"c"`,
	} {
		if w.Code != http.StatusOK || !strings.Contains(w.Body.String(), part) {
			t.Errorf("status: got %d %s, want 200 and %s", w.Code, w.Body, part)
		}
	}
}
