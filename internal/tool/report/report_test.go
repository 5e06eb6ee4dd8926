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

// runs are three scores of two days, a trial, and a single day.
func runs(string) ([]report.Run, error) {
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

// execute runs a command and returns its status and what it wrote.
func execute(args ...string) (status int, output, errs string) {
	var out, bad bytes.Buffer
	status = report.Execute(args, runs, &out, &bad)
	return status, out.String(), bad.String()
}

// TestTable shows the rows of the table, in which trials and single days have no part.
func TestTable(t *testing.T) {
	status, output, errs := execute("table", "folder")
	if status != 0 {
		t.Fatalf("status %d, %s", status, errs)
	}
	want := []string{
		"| a | burst | 1 | 0.400 | 0.400 | 0.400 | 0.000 | 0.000 | 0.000 | 0 |  |",
		"| a | calm | 3 | 0.500 | 0.700 | 0.700 | 0.900 | 0.000 | 0.000 | 1 | instances 0.100, probes 0.010 |",
	}
	got := strings.Split(strings.TrimSpace(output), "\n")[2:]
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("the rows are\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if _, output, _ = execute("table", "-all", "-site", "b", "folder"); !strings.Contains(output, "| b | calm | 1 |") {
		t.Errorf("with all runs of b: %s", output)
	}
}

// TestPlot shows that a picture is drawn of one site only.
func TestPlot(t *testing.T) {
	path := filepath.Join(t.TempDir(), "out.svg")
	if status, _, errs := execute("plot", "-out", path, "folder"); status != 0 {
		t.Fatalf("status %d, %s", status, errs)
	}
	text, err := os.ReadFile(path)
	if err != nil || !bytes.Contains(text, []byte("<svg")) || !bytes.Contains(text, []byte("burst")) {
		t.Errorf("the picture is %v, %.200s", err, text)
	}
	if status, _, errs := execute("plot", "-all", "-out", path, "folder"); status != 1 || !strings.Contains(errs, "-site") {
		t.Errorf("two sites: status %d, %s", status, errs)
	}
}

// TestWrongUsage shows the exit statuses.
func TestWrongUsage(t *testing.T) {
	for _, args := range [][]string{nil, {"fly", "folder"}, {"table"}, {"table", "a", "b"}, {"plot", "folder"}, {"table", "-no", "folder"}} {
		if status, _, errs := execute(args...); status != 2 || !strings.Contains(errs, "usage:") {
			t.Errorf("%q: status %d, %s", args, status, errs)
		}
	}
	if status, _, _ := execute("table", "-site", "nowhere", "folder"); status != 1 {
		t.Errorf("without runs the status is %d", status)
	}
	failing := func(string) ([]report.Run, error) { return nil, errors.New("no folder") }
	var out, errs bytes.Buffer
	if status := report.Execute([]string{"table", "x"}, failing, &out, &errs); status != 1 || !strings.Contains(errs.String(), "no folder") {
		t.Errorf("status %d, %s", status, errs.String())
	}
}
