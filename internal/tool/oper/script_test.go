package oper_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"testing"

	"github.com/gorilla/mux"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/snipefront/snipefront/internal/observe/status"
	"github.com/snipefront/snipefront/internal/tool/oper"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"snipectl": oper.Main})
}

// TestScripts runs each script in testdata against its own fake of the fleet, whose
// operators' address is in ADDR. The command fleet sets how the fake answers next, and
// checks what it received.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != "",
		Setup: func(e *testscript.Env) error {
			f := &fakeFleet{revisions: make(map[string]uint64)}
			server := httptest.NewServer(f.router())
			e.Defer(server.Close)
			e.Vars = append(e.Vars, "ADDR="+server.Listener.Addr().String())
			for i, r := range nodeReports {
				node := httptest.NewServer(reportHandler(r))
				e.Defer(node.Close)
				e.Vars = append(e.Vars, fmt.Sprintf("NODE%d=%s", i+1, node.Listener.Addr()))
			}
			e.Values["fleet"] = f
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"fleet": setFleet, "status": checkStatus},
	})
}

// nodeReports are the reports of the instances of a deployment. The first is served at
// the address in NODE1, the second at that in NODE2.
var nodeReports = []status.Report{
	{
		Instance: "e1", Role: "edge", DataCentre: "dc1", Version: 7, Index: 12, Source: "c1",
		Servers: []status.Server{
			{Name: "b1", Service: "balance", DataCentre: "dc1", Address: "10.0.0.1:80", State: status.Ready},
			{Name: "b2", Service: "balance", DataCentre: "dc2", Address: "10.0.0.2:80", State: status.Unreachable},
		},
	},
	{
		Instance: "c1", Role: "core", DataCentre: "dc2", Version: 8, Index: 13, Source: "c1", Term: 3, Members: []string{"c1", "c2"},
		Servers: []status.Server{
			{Name: "b1", Service: "balance", DataCentre: "dc1", Address: "10.0.0.1:80", State: status.Ready},
			{Name: "b2", Service: "balance", DataCentre: "dc2", Address: "10.0.0.2:80", State: status.Ready},
		},
	},
}

func reportHandler(r status.Report) http.Handler {
	m := mux.NewRouter()
	m.HandleFunc(status.Path, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(r) })
	return m
}

// fakeFleet serves the operators' API like an instance that can reach the control quorum.
type fakeFleet struct {
	mu           sync.Mutex
	revision     uint64
	lastChangeID string
	files        json.RawMessage
	// revisions holds the revision of each accepted change, by change ID.
	revisions map[string]uint64
	posts     int
	// toDrop is the number of further responses to changes that the fake drops.
	toDrop int
	// toRefuse is the number of further requests that the fake refuses with status 503.
	toRefuse int
	// pollsToWait is the number of further polls for a revision to which the fake responds
	// that the revision is not yet in force.
	pollsToWait int
}

// setFleet implements "fleet lose|refuse|wait N", which sets the number of responses to
// changes that the fake drops, of requests that it refuses, or of polls that it answers
// with not yet in force. It also implements "fleet posts|revision N", which checks the
// number of changes that the fake received, or its revision.
func setFleet(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value("fleet").(*fakeFleet)
	f.mu.Lock()
	defer f.mu.Unlock()
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	switch args[0] {
	case "lose":
		f.toDrop = n
	case "refuse":
		f.toRefuse = n
	case "wait":
		f.pollsToWait = n
	case "posts":
		if f.posts != n {
			ts.Fatalf("the fake received %d changes, want %d", f.posts, n)
		}
	case "revision":
		if f.revision != uint64(n) {
			ts.Fatalf("the fake has revision %d, want %d", f.revision, n)
		}
	default:
		ts.Fatalf("unknown argument %q of fleet, want lose, refuse, wait, posts or revision", args[0])
	}
}

// checkStatus implements "status N PROGRAM ARGUMENT...". It runs the program and fails
// unless the exit status is N.
func checkStatus(ts *testscript.TestScript, _ bool, args []string) {
	got := 0
	var failure *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &failure) {
		got = failure.ExitCode()
	} else {
		ts.Check(err)
	}
	if strconv.Itoa(got) != args[0] {
		ts.Fatalf("exit status %d, want %s", got, args[0])
	}
}

func (f *fakeFleet) router() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/config", f.locked(f.post)).Methods(http.MethodPost)
	r.HandleFunc("/v1/config", f.locked(f.get)).Methods(http.MethodGet)
	r.HandleFunc("/v1/config/inforce", f.locked(f.inForce))
	r.HandleFunc("/v1/config/history", f.locked(f.history))
	r.HandleFunc("/v1/status", f.locked(f.status))
	return r
}

// locked returns a handler that holds the lock while it calls next, or refuses the request
// if toRefuse is not 0.
func (f *fakeFleet) locked(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.toRefuse > 0 {
			f.toRefuse--
			w.Header().Set("Retry-After", "0")
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"Detail":"no quorum"}`)
			return
		}
		next(w, r)
	}
}

// post handles a change. A repeated change ID gets its first revision, the change ID
// "wrong" is a change with a problem, and a version that is not current is a conflict.
func (f *fakeFleet) post(w http.ResponseWriter, r *http.Request) {
	var change struct {
		ChangeID string
		Version  uint64
		Files    json.RawMessage
	}
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.posts++
	accepted, repeated := f.revisions[change.ChangeID]
	switch {
	case repeated:
	case change.ChangeID == "wrong":
		w.WriteHeader(http.StatusBadRequest)
		fmt.Fprint(w, `{"Problems":[{"File":"a.json","Field":"Name","Value":"x","Expected":"y"}]}`)
		return
	case change.Version != f.revision:
		w.WriteHeader(http.StatusConflict)
		fmt.Fprintf(w, `{"Revision":%d,"ChangeID":%q,"Detail":"version %d is not current"}`, f.revision, f.lastChangeID, change.Version)
		return
	default:
		f.revision++
		accepted = f.revision
		f.lastChangeID, f.files, f.revisions[change.ChangeID] = change.ChangeID, change.Files, accepted
	}
	if f.toDrop > 0 {
		f.toDrop--
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, `{"Revision":%d,"Repeated":%t,"Warnings":["data centre dc2 has had no instance yet"]}`, accepted, repeated)
}

func (f *fakeFleet) get(w http.ResponseWriter, _ *http.Request) {
	files := f.files
	if files == nil {
		files = json.RawMessage("[]")
	}
	fmt.Fprintf(w, `{"Revision":%d,"Files":%s}`, f.revision, files)
}

func (f *fakeFleet) inForce(w http.ResponseWriter, r *http.Request) {
	if f.pollsToWait > 0 {
		f.pollsToWait--
		fmt.Fprintf(w, `{"Revision":%s,"InForce":false,"Waiting":["a1","b2"]}`, r.FormValue("revision"))
		return
	}
	fmt.Fprintf(w, `{"Revision":%s,"InForce":true,"Waiting":[]}`, r.FormValue("revision"))
}

func (f *fakeFleet) history(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintf(w, `{"Changes":[{"Revision":%d,"ChangeID":%q,"Written":["a.json","b.json"],"Removed":[]}]}`, f.revision, f.lastChangeID)
}

func (f *fakeFleet) status(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprint(w, `{"Instance":"a1","Leader":"a1","Term":3,"Epoch":4,"Settled":4,"Revision":7,"Claims":12,"LeaseMilliseconds":1500,
"Members":[{"Name":"a1","DataCentre":"dc1","CallerAddress":"127.0.1.1:80","PeerAddress":"127.0.1.1:81","Epoch":4,"Revision":7}],
"Cells":[{"Service":"balance","DataCentre":"dc1","Owner":"a1","InFlight":2,"Queued":0,"Free":1,"BackendServers":[
{"Name":"b1","Address":"127.0.1.9:80","State":"Warm","Limit":3,"Slots":3,"InFlight":2,"Reason":""},
{"Name":"b2","Address":"127.0.1.8:80","State":"Draining","Limit":0,"Slots":3,"InFlight":0,"Reason":"it is draining"}]}]}`)
}
