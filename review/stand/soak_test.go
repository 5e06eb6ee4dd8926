package main_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	// The result depends on the programs, which the test builds itself.
	_ "github.com/snipefront/snipefront/platform"
	_ "github.com/snipefront/snipefront/review/stand"
)

// soakSeeds are the seeds of short soaks. Each that ever failed stays, with a line on the cause.
var soakSeeds = []uint64{
	// A stopping edge went on to admit requests behind pending ones, up to its end.
	1,
	// So it did on connections that were opened long after SIGTERM, whatever the requests needed.
	2,
}

// soakLength is how long the faults of a short soak come.
const soakLength = "30s"

// TestSoakOfPrograms runs the programs as processes among faults, and fails if a request is lost, runs twice,
// is mixed up or refused falsely, if an order is forgotten, or if a process ends by itself.
func TestSoakOfPrograms(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a minute")
	}
	dir := buildPrograms(t)
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			playSoak(t, dir, seed)
		})
	}
}

// playSoak plays one soak and keeps its record and the logs if that fails.
func playSoak(t *testing.T, dir string, seed uint64) {
	record := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d-%d.txt", seed, os.Getpid()))
	c := exec.CommandContext(t.Context(), filepath.Join(dir, "stand"), "soak", record)
	c.Dir = dir
	c.Env = append(os.Environ(), fmt.Sprint("SEED=", seed), "LENGTH="+soakLength)
	out, err := c.CombinedOutput()
	if err != nil {
		t.Fatalf("seed %d: %v; the record is %s\n%s", seed, err, record, out)
	}
	t.Logf("%s", out)
	if err := os.Remove(record); err != nil {
		t.Error(err)
	}
}

// buildPrograms builds the program of the deploy file, and the soak, into a temporary folder.
func buildPrograms(t *testing.T) string {
	dir := t.TempDir()
	for from, to := range map[string]string{".": "stand", "../../cmd/snipenode": "target/snipenode"} {
		out, err := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(dir, to), from).CombinedOutput()
		if err != nil {
			t.Fatalf("building %s: %v\n%s", from, err, out)
		}
	}
	return dir
}
