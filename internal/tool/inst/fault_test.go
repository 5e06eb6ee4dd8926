package inst_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/snipefront/snipefront/internal/stand/answer"
	"github.com/snipefront/snipefront/internal/stand/caller"
	"github.com/snipefront/snipefront/internal/stand/server"
)

// asked are the calls of a script that run in the background, by name.
type asked struct {
	mu    sync.Mutex
	calls map[string]<-chan string
}

// ask runs "ask NAME METHOD ADDRESS TARGET [NAME:VALUE...] [@FILE]", which is
// call in the background.
func ask(ts *testscript.TestScript, _ bool, args []string) {
	q, head := question(ts, args[1:])
	ended := make(chan string, 1)
	go func() { ended <- exchange(args[1], args[2], head, q) }()
	a := ts.Value("asked").(*asked)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls[args[0]] = ended
}

// told runs "told NAME" and adds the verdict of a call in the background to the
// transcript, without the reason of a refusal.
func told(ts *testscript.TestScript, _ bool, args []string) {
	a := ts.Value("asked").(*asked)
	a.mu.Lock()
	ended := a.calls[args[0]]
	a.mu.Unlock()
	note(ts, false, []string{args[0], "->", <-ended})
}

// exchange sends a request and returns its outcome without the reason.
func exchange(method, address string, head http.Header, q *answer.Question) string {
	w, b, err := roundTrip(method, address, head, q)
	if err != nil {
		return err.Error()
	}
	if v := w.Header.Get("X-Snipefront-Verdict"); v != "" {
		s := fmt.Sprintf("%d %s", w.StatusCode, v)
		if w.Header.Get("Retry-After") != "" {
			s += ", come back later"
		}
		return s
	}
	return describe(w, b, q)
}

// wake continues p after the limit against hanging, since a script that fails
// meanwhile waits for its processes to end, and a stopped one never does.
func wake(p *os.Process) {
	time.AfterFunc(hangLimit, func() { _ = p.Signal(syscall.SIGCONT) })
}

// signal runs "signal NAME ARGUMENT" and sends STOP, CONT or TERM to the
// background processes that were started with that argument.
func signal(ts *testscript.TestScript, _ bool, args []string) {
	s, ok := map[string]syscall.Signal{"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM}[args[0]]
	if !ok {
		ts.Fatalf("unknown signal %s", args[0])
	}
	sent := 0
	for _, c := range ts.BackgroundCmds() {
		if slices.Contains(c.Args, args[1]) {
			ts.Check(c.Process.Signal(s))
			sent++
			if s == syscall.SIGSTOP {
				wake(c.Process)
			}
		}
	}
	if sent == 0 {
		ts.Fatalf("no process has the argument %q", args[1])
	}
}

// audit runs "audit ADDRESS..." after a wait for snipeload -json. It fails where
// a request that may not be repeated ran more than once on the backend servers
// together, where a caller was told that a request was not run and it ran, and
// where a caller has an answer and nothing ran.
func audit(ts *testscript.TestScript, _ bool, args []string) {
	var r caller.Result
	ts.Check(json.Unmarshal([]byte(ts.ReadFile("stdout")), &r))
	var runs []server.KeyRuns
	for _, a := range args {
		var k struct{ Keys []server.KeyRuns }
		ts.Check(json.Unmarshal([]byte(fetch("http://"+a+"/.stand/keys")), &k))
		runs = append(runs, k.Keys...)
	}
	if len(runs) == 0 {
		ts.Fatalf("nothing ran")
	}
	a := r.Audit(runs)
	if n := len(a.Double) + len(a.Untrue) + len(a.Unfounded) + r.Faulty(); n > 0 {
		ts.Fatalf("run twice: %v\nrun though refused as not run: %v\nanswered though not run: %v\ncrossed or cut short: %d",
			a.Double, a.Untrue, a.Unfounded, r.Faulty())
	}
}

// bore runs "bore SLOTS ADDRESS..." and fails where a backend server had more
// requests at once than it has slots, or fell over.
func bore(ts *testscript.TestScript, _ bool, args []string) {
	slots, err := strconv.Atoi(args[0])
	ts.Check(err)
	for _, a := range args[1:] {
		var r server.Report
		ts.Check(json.Unmarshal([]byte(fetch("http://"+a+"/.stand/runs")), &r))
		if r.MostAtOnce > slots || r.FellOver > 0 {
			ts.Fatalf("%s had %d requests at once, %d in cold start, and fell over %d times", a, r.MostAtOnce, r.MostAtOnceCold, r.FellOver)
		}
	}
}
