package inst_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/snipefront/snipefront/internal/stand/answer"
	"github.com/snipefront/snipefront/internal/stand/server"
	"github.com/snipefront/snipefront/internal/tool/inst"
	"github.com/snipefront/snipefront/internal/tool/load"
	"github.com/snipefront/snipefront/internal/tool/oper"
	"github.com/snipefront/snipefront/internal/tool/stand"
)

const (
	// hangLimit is the timeout of each wait of a script, so that a failing script ends.
	hangLimit = 2 * time.Minute
	// pollInterval is the time between two polls of a process.
	pollInterval = 20 * time.Millisecond
	// networkBase plus the number of a script, from 1, is the second octet of its
	// loopback addresses.
	networkBase = 32
	dataCentres = 4
	// maxBodyBytes is the maximum size of a request body in the settings of instances.
	maxBodyBytes = 64
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"snipefront": inst.Main,
		"snipectl":   oper.Main,
		"backend":    stand.Main,
		"snipeload":  load.Main,
	})
}

// TestScripts runs each script in testdata, in parallel and with loopback addresses of its
// own. The head of each script says what it checks. A script starts instances, backend
// servers and tools as processes, and observes them with the commands in Cmds.
func TestScripts(t *testing.T) {
	var scripts atomic.Int64
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != "",
		Setup: func(e *testscript.Env) error {
			e.Values["backgroundCalls"] = &backgroundCalls{outcomes: map[string]<-chan string{}}
			return prepare(e, int(scripts.Add(1))+networkBase)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ask":       startCall,
			"audit":     checkAudit,
			"bore":      checkCapacity,
			"call":      call,
			"empty":     checkEmpty,
			"insist":    callUntilFinal,
			"more":      awaitRuns,
			"note":      appendNote,
			"once":      checkOnce,
			"runs":      setRuns,
			"same":      checkEqual,
			"signal":    signal,
			"status":    checkStatus,
			"terminate": terminate,
			"told":      noteOutcome,
			"until":     awaitMatch,
		},
	})
}

// prepare writes the settings of the instances: i1.json to i4.json for one in each data
// centre, and i6.json and i8.json for a second one in dc2 and dc4. It sets the variables
// for addresses: i1 to i8 for callers, p1 to p8 for peers, o1 to o8 for operators, b1 to
// b8 and c1 to c8 for backend servers. It sets seeds to the addresses i1 to i4.
func prepare(e *testscript.Env, network int) error {
	if err := chooseAddresses(e, network); err != nil {
		return err
	}
	e.Setenv("seeds", strings.Join([]string{e.Getenv("i1"), e.Getenv("i2"), e.Getenv("i3"), e.Getenv("i4")}, ","))
	for _, n := range []int{1, 2, 3, 4, 6, 8} {
		if err := os.WriteFile(fmt.Sprintf("%s/i%d.json", e.WorkDir, n), instanceSettings(e, n), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// chooseAddresses sets the variables for addresses to free addresses.
func chooseAddresses(e *testscript.Env, network int) error {
	// A process that another script starts meanwhile would inherit the listeners, and
	// keep the addresses in use from its fork to its exec.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for n := 1; n <= 2*dataCentres; n++ {
		for _, kind := range []string{"i", "p", "o", "b", "c"} {
			l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", network, n))
			if err != nil {
				return err
			}
			defer l.Close()
			e.Setenv(fmt.Sprintf("%s%d", kind, n), l.Addr().String())
		}
	}
	return nil
}

// instanceSettings returns the settings of instance n. The instances 1 to 3 are the control
// quorum, so they have a data folder.
func instanceSettings(e *testscript.Env, n int) []byte {
	type member struct{ Instance, PeerAddress string }
	folder := ""
	if n < dataCentres {
		folder = fmt.Sprintf("%s/data%d", e.WorkDir, n)
	}
	b, err := json.Marshal(struct {
		Instance, DataCentre, CallerAddress, PeerAddress, OperatorAddress, DataFolder, Lease, Renew string
		MaxBodyBytes                                                                                int
		Control                                                                                     []member
	}{
		fmt.Sprintf("i%d", n), fmt.Sprintf("dc%d", (n-1)%dataCentres+1),
		e.Getenv(fmt.Sprintf("i%d", n)), e.Getenv(fmt.Sprintf("p%d", n)), e.Getenv(fmt.Sprintf("o%d", n)),
		folder, "4s", "200ms", maxBodyBytes,
		[]member{{"i1", e.Getenv("p1")}, {"i2", e.Getenv("p2")}, {"i3", e.Getenv("p3")}},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// appendNote implements "note TEXT". It adds TEXT as a line to the transcript, which the
// script compares with its golden file.
func appendNote(ts *testscript.TestScript, _ bool, args []string) {
	f, err := os.OpenFile(ts.MkAbs("transcript"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	ts.Check(err)
	defer f.Close()
	_, err = fmt.Fprintln(f, strings.TrimSpace(strings.Join(args, " ")))
	ts.Check(err)
}

// call implements "call METHOD ADDRESS TARGET [NAME:VALUE...] [@FILE]". It sends a request
// with the header fields NAME:VALUE and the body FILE, and adds the outcome to the
// transcript.
func call(ts *testscript.TestScript, _ bool, args []string) {
	q, header := parseCall(ts, args)
	resp, body := send(ts, args[0], args[1], header, q)
	appendNote(ts, false, append(append([]string{args[0], args[2]}, args[3:]...), "->", describe(resp, body, q)))
}

// callUntilFinal implements "insist", which has the arguments of call. It resends the
// request as long as the answer has a Retry-After header field, and adds only the last
// outcome to the transcript.
func callUntilFinal(ts *testscript.TestScript, _ bool, args []string) {
	q, header := parseCall(ts, args)
	last := ""
	await(ts, "insist "+strings.Join(args, " "), func() bool {
		resp, body := send(ts, args[0], args[1], header, q)
		last = describe(resp, body, q)
		return resp.Header.Get("Retry-After") == ""
	}, &last)
	appendNote(ts, false, append(append([]string{args[0], args[2]}, args[3:]...), "->", last))
}

// parseCall parses the arguments of call. It returns the parts of the request that
// determine the answer, and the request header.
func parseCall(ts *testscript.TestScript, args []string) (*answer.Request, http.Header) {
	q := &answer.Request{Target: args[2]}
	header := http.Header{}
	for _, a := range args[3:] {
		if file, ok := strings.CutPrefix(a, "@"); ok {
			q.Body = []byte(ts.ReadFile(file))
			continue
		}
		name, value, _ := strings.Cut(a, ":")
		header.Add(name, value)
	}
	q.IdempotencyKey = header.Get("Idempotency-Key")
	q.RequestID = header.Get("X-Request-Id")
	return q, header
}

func send(ts *testscript.TestScript, method, address string, header http.Header, q *answer.Request) (*http.Response, []byte) {
	resp, body, err := roundTrip(method, address, header, q)
	ts.Check(err)
	return resp, body
}

func roundTrip(method, address string, header http.Header, q *answer.Request) (*http.Response, []byte, error) {
	r, err := http.NewRequest(method, "http://"+address+q.Target, bytes.NewReader(q.Body))
	if err != nil {
		return nil, nil, err
	}
	r.Header = header
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// describe returns the outcome of a call as one line. "kept" in it means a stored answer,
// "whole answer" an intact one.
func describe(resp *http.Response, body []byte, q *answer.Request) string {
	s := strconv.Itoa(resp.StatusCode)
	if resp.Header.Get("Idempotent-Replayed") != "" {
		s += " kept"
	}
	var problem struct{ Reason, Verdict, Detail string }
	switch {
	case resp.StatusCode == http.StatusOK && q.Check(body) == answer.Intact:
		return s + " whole answer"
	case json.Unmarshal(body, &problem) == nil && problem.Reason != "":
		return fmt.Sprintf("%s %s %s: %s", s, problem.Verdict, problem.Reason, problem.Detail)
	default:
		return s + " " + strings.TrimSpace(string(body))
	}
}

// awaitMatch implements "until URL PATTERN". It polls the URL until the body of the response
// matches the regular expression.
func awaitMatch(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[1])
	last := ""
	await(ts, strings.Join(args, " "), func() bool {
		last = fetch(args[0])
		return pattern.MatchString(last)
	}, &last)
}

// awaitRuns implements "more N ADDRESS...". It waits until the backend servers have begun
// at least N further runs in total.
func awaitRuns(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	first, last := totalRuns(ts, args[1:]), ""
	await(ts, "more "+strings.Join(args, " "), func() bool { return totalRuns(ts, args[1:]) >= first+n }, &last)
}

// setRuns implements "runs VARIABLE ADDRESS...". It sets the variable to the number of
// runs that the backend servers have begun in total.
func setRuns(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], strconv.Itoa(totalRuns(ts, args[1:])))
}

// checkEqual implements "same A B". It fails if A and B differ.
func checkEqual(ts *testscript.TestScript, _ bool, args []string) {
	if args[0] != args[1] {
		ts.Fatalf("%q and %q differ, want them equal", args[0], args[1])
	}
}

// checkEmpty implements "empty FOLDER". It fails if the folder has any entry.
func checkEmpty(ts *testscript.TestScript, _ bool, args []string) {
	list, err := os.ReadDir(ts.MkAbs(args[0]))
	ts.Check(err)
	if len(list) > 0 {
		ts.Fatalf("folder %s holds %v, want it empty", args[0], list)
	}
}

// checkOnce implements "once ADDRESS...". It fails if a non-idempotent request ran more
// than once on all backend servers together, or if none ran.
func checkOnce(ts *testscript.TestScript, _ bool, args []string) {
	count := map[string]int{}
	for _, a := range args {
		var k struct{ Keys []server.KeyRuns }
		ts.Check(json.Unmarshal([]byte(fetch("http://"+a+"/.stand/keys")), &k))
		for _, key := range k.Keys {
			count[key.Key] += key.Runs
		}
	}
	for key, n := range count {
		if n > 1 {
			ts.Fatalf("the request with key %s ran %d times, want once", key, n)
		}
	}
	if len(count) == 0 {
		ts.Fatalf("the backend servers ran no non-idempotent requests, want at least one")
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
	checkEqual(ts, false, []string{strconv.Itoa(got), args[0]})
}

// terminate implements "terminate ARGUMENT". It sends SIGTERM to the background
// processes that were started with that argument.
func terminate(ts *testscript.TestScript, _ bool, args []string) {
	sent := 0
	for _, c := range ts.BackgroundCmds() {
		if strings.Contains(" "+strings.Join(c.Args, " ")+" ", " "+args[0]+" ") {
			ts.Check(c.Process.Signal(syscall.SIGTERM))
			sent++
		}
	}
	if sent == 0 {
		ts.Fatalf("no background process was started with the argument %q", args[0])
	}
}

// totalRuns returns the number of runs that the backend servers have begun in total.
func totalRuns(ts *testscript.TestScript, addresses []string) int {
	n := 0
	for _, a := range addresses {
		var r server.Report
		ts.Check(json.Unmarshal([]byte(fetch("http://"+a+"/.stand/runs")), &r))
		n += r.Runs
	}
	return n
}

// fetch returns the body of the response, or the text of the error.
func fetch(url string) string {
	resp, err := http.Get(url)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

// await polls done until it returns true. After hangLimit it fails with the name of the
// awaited condition and last, the last result that was seen.
func await(ts *testscript.TestScript, what string, done func() bool, last *string) {
	for limit := time.Now().Add(hangLimit); !done(); time.Sleep(pollInterval) {
		if time.Now().After(limit) {
			ts.Fatalf("timed out waiting for %s; last seen: %s", what, *last)
		}
	}
}
