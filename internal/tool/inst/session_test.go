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
	// hangLimit only keeps a session from hanging.
	hangLimit = 2 * time.Minute
	// pollPause is the time between two looks at a process.
	pollPause = 20 * time.Millisecond
	// firstNetwork is the second octet of the addresses of the first script.
	firstNetwork = 32
	dataCentres  = 4
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

// TestSessions runs each script with a network of its own, in which the free
// addresses of four instances and of their backend servers are kept. The
// commands until, more and call tell the script what the processes do.
func TestSessions(t *testing.T) {
	var networks atomic.Int64
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != "",
		Setup: func(e *testscript.Env) error {
			e.Values["asked"] = &asked{calls: map[string]<-chan string{}}
			return prepare(e, int(networks.Add(1))+firstNetwork)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ask":       ask,
			"audit":     audit,
			"bore":      bore,
			"call":      call,
			"empty":     empty,
			"insist":    insist,
			"more":      more,
			"note":      note,
			"once":      once,
			"runs":      runs,
			"same":      same,
			"signal":    signal,
			"status":    status,
			"terminate": terminate,
			"told":      told,
			"until":     until,
		},
	})
}

// prepare writes the settings i1.json to i4.json, one for each data centre, and
// i6.json and i8.json of second instances in dc2 and dc4. It sets the variables
// for addresses: i1 for callers, p1 for peers, o1 for operators, b1 and c1 for
// backend servers, seeds for the first four instances.
func prepare(e *testscript.Env, network int) error {
	if err := chooseAddresses(e, network); err != nil {
		return err
	}
	e.Setenv("seeds", strings.Join([]string{e.Getenv("i1"), e.Getenv("i2"), e.Getenv("i3"), e.Getenv("i4")}, ","))
	for _, d := range []int{1, 2, 3, 4, 6, 8} {
		if err := os.WriteFile(fmt.Sprintf("%s/i%d.json", e.WorkDir, d), settings(e, d), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// chooseAddresses sets the variables to addresses that are free.
func chooseAddresses(e *testscript.Env, network int) error {
	// A process that another session starts meanwhile would hold the listeners from
	// its fork to its exec, and with them the addresses.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for d := 1; d <= 2*dataCentres; d++ {
		for _, kind := range []string{"i", "p", "o", "b", "c"} {
			l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", network, d))
			if err != nil {
				return err
			}
			defer l.Close()
			e.Setenv(fmt.Sprintf("%s%d", kind, d), l.Addr().String())
		}
	}
	return nil
}

func settings(e *testscript.Env, d int) []byte {
	type member struct{ Instance, PeerAddress string }
	folder := ""
	if d < dataCentres {
		folder = fmt.Sprintf("%s/data%d", e.WorkDir, d)
	}
	b, err := json.Marshal(struct {
		Instance, DataCentre, CallerAddress, PeerAddress, OperatorAddress, DataFolder, Lease, Renew string
		MaxBodyBytes                                                                                int
		Control                                                                                     []member
	}{
		fmt.Sprintf("i%d", d), fmt.Sprintf("dc%d", (d-1)%dataCentres+1),
		e.Getenv(fmt.Sprintf("i%d", d)), e.Getenv(fmt.Sprintf("p%d", d)), e.Getenv(fmt.Sprintf("o%d", d)),
		folder, "4s", "200ms", maxBodyBytes,
		[]member{{"i1", e.Getenv("p1")}, {"i2", e.Getenv("p2")}, {"i3", e.Getenv("p3")}},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// note runs "note TEXT", which adds a line to the transcript.
func note(ts *testscript.TestScript, _ bool, args []string) {
	f, err := os.OpenFile(ts.MkAbs("transcript"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	ts.Check(err)
	defer f.Close()
	_, err = fmt.Fprintln(f, strings.TrimSpace(strings.Join(args, " ")))
	ts.Check(err)
}

// call runs "call METHOD ADDRESS TARGET [NAME:VALUE...] [@FILE]" and adds the
// answer to the transcript.
func call(ts *testscript.TestScript, _ bool, args []string) {
	q, head := question(ts, args)
	w, b := send(ts, args[0], args[1], head, q)
	note(ts, false, append(append([]string{args[0], args[2]}, args[3:]...), "->", describe(w, b, q)))
}

// insist is call that asks again as long as the answer says when to come back.
func insist(ts *testscript.TestScript, _ bool, args []string) {
	q, head := question(ts, args)
	last := ""
	await(ts, "insist "+strings.Join(args, " "), func() bool {
		w, b := send(ts, args[0], args[1], head, q)
		last = describe(w, b, q)
		return w.Header.Get("Retry-After") == ""
	}, &last)
	note(ts, false, append(append([]string{args[0], args[2]}, args[3:]...), "->", last))
}

// question returns what the answer to a call depends on, and the header.
func question(ts *testscript.TestScript, args []string) (*answer.Question, http.Header) {
	q := &answer.Question{Target: args[2]}
	head := http.Header{}
	for _, a := range args[3:] {
		if file, ok := strings.CutPrefix(a, "@"); ok {
			q.Body = []byte(ts.ReadFile(file))
			continue
		}
		name, value, _ := strings.Cut(a, ":")
		head.Add(name, value)
	}
	q.IdempotencyKey = head.Get("Idempotency-Key")
	q.RequestID = head.Get("X-Request-Id")
	return q, head
}

func send(ts *testscript.TestScript, method, address string, head http.Header, q *answer.Question) (*http.Response, []byte) {
	w, b, err := roundTrip(method, address, head, q)
	ts.Check(err)
	return w, b
}

func roundTrip(method, address string, head http.Header, q *answer.Question) (*http.Response, []byte, error) {
	r, err := http.NewRequest(method, "http://"+address+q.Target, bytes.NewReader(q.Body))
	if err != nil {
		return nil, nil, err
	}
	r.Header = head
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, nil, err
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	return w, b, err
}

// describe returns the outcome of a call in one line.
func describe(w *http.Response, b []byte, q *answer.Question) string {
	s := strconv.Itoa(w.StatusCode)
	if w.Header.Get("Idempotent-Replayed") != "" {
		s += " kept"
	}
	var problem struct{ Reason, Verdict, Detail string }
	switch {
	case w.StatusCode == http.StatusOK && q.Check(b) == answer.Whole:
		return s + " whole answer"
	case json.Unmarshal(b, &problem) == nil && problem.Reason != "":
		return fmt.Sprintf("%s %s %s: %s", s, problem.Verdict, problem.Reason, problem.Detail)
	default:
		return s + " " + strings.TrimSpace(string(b))
	}
}

// until runs "until URL PATTERN" and returns once the answer matches.
func until(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[1])
	last := ""
	await(ts, strings.Join(args, " "), func() bool {
		last = fetch(args[0])
		return pattern.MatchString(last)
	}, &last)
}

// more runs "more N ADDRESS..." and returns once the backend servers have begun
// N further runs.
func more(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	first, last := total(ts, args[1:]), ""
	await(ts, "more "+strings.Join(args, " "), func() bool { return total(ts, args[1:]) >= first+n }, &last)
}

// runs runs "runs VARIABLE ADDRESS..." and sets the variable to the number of
// runs that the backend servers have begun.
func runs(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], strconv.Itoa(total(ts, args[1:])))
}

// same runs "same A B" and fails where they differ.
func same(ts *testscript.TestScript, _ bool, args []string) {
	if args[0] != args[1] {
		ts.Fatalf("%q and %q differ", args[0], args[1])
	}
}

// empty runs "empty FOLDER" and fails where the folder holds anything.
func empty(ts *testscript.TestScript, _ bool, args []string) {
	list, err := os.ReadDir(ts.MkAbs(args[0]))
	ts.Check(err)
	if len(list) > 0 {
		ts.Fatalf("%s holds %v", args[0], list)
	}
}

// once runs "once ADDRESS..." and fails where a request that may not be repeated
// ran more than once on the backend servers together.
func once(ts *testscript.TestScript, _ bool, args []string) {
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
			ts.Fatalf("%s ran %d times", key, n)
		}
	}
	if len(count) == 0 {
		ts.Fatalf("nothing ran")
	}
}

// status runs "status N PROGRAM ARGUMENT..." and checks the exit status.
func status(ts *testscript.TestScript, _ bool, args []string) {
	got := 0
	var failure *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &failure) {
		got = failure.ExitCode()
	} else {
		ts.Check(err)
	}
	same(ts, false, []string{strconv.Itoa(got), args[0]})
}

// terminate runs "terminate ARGUMENT" and sends SIGTERM to the background
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
		ts.Fatalf("no process has the argument %q", args[0])
	}
}

func total(ts *testscript.TestScript, addresses []string) int {
	n := 0
	for _, a := range addresses {
		var r server.Report
		ts.Check(json.Unmarshal([]byte(fetch("http://"+a+"/.stand/runs")), &r))
		n += r.Runs
	}
	return n
}

// fetch returns the body of an answer, or the error as text.
func fetch(url string) string {
	w, err := http.Get(url)
	if err != nil {
		return err.Error()
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

func await(ts *testscript.TestScript, what string, done func() bool, last *string) {
	for limit := time.Now().Add(hangLimit); !done(); time.Sleep(pollPause) {
		if time.Now().After(limit) {
			ts.Fatalf("gave up on %s: %s", what, *last)
		}
	}
}
