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

// backgroundCalls holds the calls that a script makes in the background.
type backgroundCalls struct {
	mu sync.Mutex
	// outcomes holds, by the name of the call, the channel that receives its outcome.
	outcomes map[string]<-chan string
}

// startCall implements "ask NAME METHOD ADDRESS TARGET [NAME:VALUE...] [@FILE]". It
// makes a call in the background. The command "told" refers to the call by the
// first NAME.
func startCall(ts *testscript.TestScript, _ bool, args []string) {
	q, header := parseCall(ts, args[1:])
	done := make(chan string, 1)
	go func() { done <- callOutcome(args[1], args[2], header, q) }()
	b := ts.Value("backgroundCalls").(*backgroundCalls)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outcomes[args[0]] = done
}

// noteOutcome implements "told NAME". It waits for the call that "ask NAME" started and
// adds its outcome to the transcript, without the reason of a refusal.
func noteOutcome(ts *testscript.TestScript, _ bool, args []string) {
	b := ts.Value("backgroundCalls").(*backgroundCalls)
	b.mu.Lock()
	done := b.outcomes[args[0]]
	b.mu.Unlock()
	appendNote(ts, false, []string{args[0], "->", <-done})
}

// callOutcome sends a request and returns its outcome without the reason of a refusal.
func callOutcome(method, address string, header http.Header, q *answer.Request) string {
	resp, body, err := roundTrip(method, address, header, q)
	if err != nil {
		return err.Error()
	}
	if v := resp.Header.Get("X-Snipefront-Verdict"); v != "" {
		s := fmt.Sprintf("%d %s", resp.StatusCode, v)
		if resp.Header.Get("Retry-After") != "" {
			s += ", come back later"
		}
		return s
	}
	return describe(resp, body, q)
}

// scheduleContinue sends SIGCONT to p after hangLimit. A script that fails waits until its
// processes exit, and a process that is stopped by SIGSTOP would never exit.
func scheduleContinue(p *os.Process) {
	time.AfterFunc(hangLimit, func() { _ = p.Signal(syscall.SIGCONT) })
}

// signal implements "signal NAME ARGUMENT". It sends STOP, CONT or TERM to the
// background processes that were started with that argument.
func signal(ts *testscript.TestScript, _ bool, args []string) {
	s, ok := map[string]syscall.Signal{"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM}[args[0]]
	if !ok {
		ts.Fatalf("unknown signal %s, want STOP, CONT or TERM", args[0])
	}
	sent := 0
	for _, c := range ts.BackgroundCmds() {
		if slices.Contains(c.Args, args[1]) {
			ts.Check(c.Process.Signal(s))
			sent++
			if s == syscall.SIGSTOP {
				scheduleContinue(c.Process)
			}
		}
	}
	if sent == 0 {
		ts.Fatalf("no background process was started with the argument %q", args[1])
	}
}

// checkAudit implements "audit ADDRESS...", which compares the output of snipeload -json
// with the runs at the backend servers. The script must have waited for snipeload just
// before. checkAudit fails if a non-idempotent request ran more than once on all backend
// servers together, if a request ran although it was refused as not run, if the caller got
// an answer to a request that did not run, or if an answer was crossed or cut short. It
// also fails if no non-idempotent request ran.
func checkAudit(ts *testscript.TestScript, _ bool, args []string) {
	var r caller.Result
	ts.Check(json.Unmarshal([]byte(ts.ReadFile("stdout")), &r))
	var runs []server.KeyRuns
	for _, a := range args {
		var k struct{ Keys []server.KeyRuns }
		ts.Check(json.Unmarshal([]byte(fetch("http://"+a+"/.stand/keys")), &k))
		runs = append(runs, k.Keys...)
	}
	if len(runs) == 0 {
		ts.Fatalf("the backend servers ran no non-idempotent requests, want at least one")
	}
	a := r.Audit(runs)
	if n := len(a.Double) + len(a.Untrue) + len(a.Unfounded) + r.Faulty(); n > 0 {
		ts.Fatalf("want none of these:\nran more than once: %v\nran although refused as not run: %v\nanswered although not run: %v\ncrossed or cut short: %d",
			a.Double, a.Untrue, a.Unfounded, r.Faulty())
	}
}

// checkCapacity implements "bore SLOTS ADDRESS...". It fails if a backend server had
// more than SLOTS requests in flight at once, or was overloaded in cold start.
func checkCapacity(ts *testscript.TestScript, _ bool, args []string) {
	slots, err := strconv.Atoi(args[0])
	ts.Check(err)
	for _, a := range args[1:] {
		var r server.Report
		ts.Check(json.Unmarshal([]byte(fetch("http://"+a+"/.stand/runs")), &r))
		if r.MostAtOnce > slots || r.FellOver > 0 {
			ts.Fatalf("%s had up to %d requests in flight at once, up to %d in cold start, and was overloaded in cold start %d times; want at most SLOTS requests and no overload", a, r.MostAtOnce, r.MostAtOnceCold, r.FellOver)
		}
	}
}
