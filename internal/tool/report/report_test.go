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

// testRuns returns four scored runs of two days of site a, a trial, and a run of site b
// that is not scored.
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

// execute runs a command on testRuns and returns its exit status and output.
func execute(args ...string) (status int, stdout, stderr string) {
	var stdoutBuf, stderrBuf bytes.Buffer
	status = report.Execute(args, testRuns, &stdoutBuf, &stderrBuf)
	return status, stdoutBuf.String(), stderrBuf.String()
}

// TestTableLeavesOutTrialsAndUnscoredRuns guards against a table that mixes trials or runs
// that were not scored with scored runs although -all is not given. It also checks the
// columns of each row.
func TestTableLeavesOutTrialsAndUnscoredRuns(t *testing.T) {
	status, stdout, stderr := execute("table", "folder")
	if status != 0 {
		t.Fatalf("table: exit status %d, want 0; errors: %s", status, stderr)
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
		t.Errorf("table -all -site b: %s, want a row with one run of the day calm", stdout)
	}
}

// TestPlotShowsOneSite checks that the plot has the days of the site, and guards against
// a plot that mixes up days of the same name of two sites.
func TestPlotShowsOneSite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "out.svg")
	if status, _, stderr := execute("plot", "-out", path, "folder"); status != 0 {
		t.Fatalf("plot: exit status %d, want 0; errors: %s", status, stderr)
	}
	text, err := os.ReadFile(path)
	if err != nil || !bytes.Contains(text, []byte("<svg")) || !bytes.Contains(text, []byte("burst")) {
		t.Errorf("the plot file: error %v, content %.200s, want an SVG image with the day burst", err, text)
	}
	if status, _, stderr := execute("plot", "-all", "-out", path, "folder"); status != 1 || !strings.Contains(stderr, "-site") {
		t.Errorf("plot of two sites: exit status %d, errors %s, want status 1 and a hint to -site", status, stderr)
	}
}

// TestExitStatusSeparatesWrongUsageFromFailure checks that wrong usage prints the usage
// and exits with status 2, and that a command exits with status 1 if there are no runs or
// reading them fails.
func TestExitStatusSeparatesWrongUsageFromFailure(t *testing.T) {
	for _, args := range [][]string{nil, {"fly", "folder"}, {"table"}, {"table", "a", "b"}, {"plot", "folder"}, {"table", "-no", "folder"}} {
		if status, _, stderr := execute(args...); status != 2 || !strings.Contains(stderr, "usage:") {
			t.Errorf("%q: exit status %d, errors %s, want status 2 and the usage", args, status, stderr)
		}
	}
	if status, _, _ := execute("table", "-site", "nowhere", "folder"); status != 1 {
		t.Errorf("no matching runs: exit status %d, want 1", status)
	}
	failing := func(string) ([]report.Run, error) { return nil, errors.New("no folder") }
	var stdout, stderr bytes.Buffer
	if status := report.Execute([]string{"table", "x"}, failing, &stdout, &stderr); status != 1 || !strings.Contains(stderr.String(), "no folder") {
		t.Errorf("failed read: exit status %d, errors %s, want status 1 and the error of read", status, stderr.String())
	}
}
