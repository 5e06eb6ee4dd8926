package report_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/tool/report"
)

// testRuns returns four scored runs of two days, a trial, and a run of a single day.
func testRuns(string) ([]report.Run, error) {
	at := func(minutes int) time.Time { return time.Unix(0, 0).Add(time.Duration(minutes) * time.Minute) }
	losses := []report.Loss{{Cause: "probes", Worth: 0.01}, {Cause: "instances", Worth: 0.1}}
	return []report.Run{
		{At: at(3), Scored: true, Site: "a", Day: "calm", Worth: 0.7, Served: 0.9, Losses: losses},
		{At: at(1), Scored: true, Site: "a", Day: "calm", Worth: 0.5, Losses: losses},
		{At: at(2), Scored: true, Site: "a", Day: "calm", Worth: 0.9, Broken: []string{"CONFIG"}},
		{At: at(2), Scored: true, Site: "a", Day: "burst", Worth: 0.4},
		{At: at(9), Scored: true, Trial: true, Site: "a", Day: "calm", Worth: 0.1},
		{At: at(9), Site: "b", Day: "calm", Worth: 0.2},
	}, nil
}

// execute runs a command and returns its exit status and output.
func execute(args ...string) (status int, stdout, stderr string) {
	var stdoutBuf, stderrBuf bytes.Buffer
	status = report.Execute(args, testRuns, &stdoutBuf, &stderrBuf)
	return status, stdoutBuf.String(), stderrBuf.String()
}

// TestTable checks the rows of the table, which must leave out trials and single days
// unless -all is given.
func TestTable(t *testing.T) {
	status, stdout, stderr := execute("table", "folder")
	if status != 0 {
		t.Fatalf("status %d, %s", status, stderr)
	}
	want := []string{
		"| a | burst | 1 | 0.400 | 0.400 | 0.400 | 0.000 | 0.000 | 0.000 | 0 |  |",
		"| a | calm | 3 | 0.500 | 0.700 | 0.700 | 0.900 | 0.000 | 0.000 | 1 | instances 0.100, probes 0.010 |",
	}
	got := strings.Split(strings.TrimSpace(stdout), "\n")[2:]
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("the rows are\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if _, stdout, _ = execute("table", "-all", "-site", "b", "folder"); !strings.Contains(stdout, "| b | calm | 1 |") {
		t.Errorf("with all runs of b: %s", stdout)
	}
}

// TestPlot checks that the plot has the days of the site, and that plot fails on runs of
// more than one site, whose days would be mixed up.
func TestPlot(t *testing.T) {
	path := filepath.Join(t.TempDir(), "out.svg")
	if status, _, stderr := execute("plot", "-out", path, "folder"); status != 0 {
		t.Fatalf("status %d, %s", status, stderr)
	}
	text, err := os.ReadFile(path)
	if err != nil || !bytes.Contains(text, []byte("<svg")) || !bytes.Contains(text, []byte("burst")) {
		t.Errorf("the plot file: error %v, content %.200s", err, text)
	}
	if status, _, stderr := execute("plot", "-all", "-out", path, "folder"); status != 1 || !strings.Contains(stderr, "-site") {
		t.Errorf("two sites: status %d, %s", status, stderr)
	}
}

// TestWrongUsage checks the exit statuses: 2 for wrong usage, 1 for a failure.
func TestWrongUsage(t *testing.T) {
	for _, args := range [][]string{nil, {"fly", "folder"}, {"table"}, {"table", "a", "b"}, {"plot", "folder"}, {"table", "-no", "folder"}} {
		if status, _, stderr := execute(args...); status != 2 || !strings.Contains(stderr, "usage:") {
			t.Errorf("%q: status %d, %s", args, status, stderr)
		}
	}
	if status, _, _ := execute("table", "-site", "nowhere", "folder"); status != 1 {
		t.Errorf("without runs the status is %d", status)
	}
	failing := func(string) ([]report.Run, error) { return nil, errors.New("no folder") }
	var stdout, stderr bytes.Buffer
	if status := report.Execute([]string{"table", "x"}, failing, &stdout, &stderr); status != 1 || !strings.Contains(stderr.String(), "no folder") {
		t.Errorf("status %d, %s", status, stderr.String())
	}
}
