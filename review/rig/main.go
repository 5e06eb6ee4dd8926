// Command rig plays the cases of the second review: it starts the programs of the deploy file as
// separate processes on loopback addresses, with stand-in targets, clients and operators.
//
// Usage: rig CASE FOLDER, from the root of the repository. It writes FOLDER/record.txt and exits
// with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case couldn't
// run. With TROUBLE=0 in its environment it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitBroken = 1
	exitNotRun = 2
	// maxTime bounds a case.
	maxTime = 115 * time.Second
)

// verdict is the result of a case that could run.
type verdict struct {
	broken bool
	text   string
}

// play is one case.
type play struct {
	// cores is the number of core machines.
	cores int
	// run plays the case. trouble is false if the disruption is left out.
	run func(d *deployment, trouble bool) (verdict, error)
}

var plays = map[string]play{
	"replaced": {cores: 3, run: playReplaced},
	"first":    {cores: 5, run: playFirstStart},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitNotRun
	}
	chosen := plays[os.Args[1]]
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	defer rec.file.Close()
	d, err := newDeployment(rec, chosen.cores)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	defer d.stopAll()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		verdict
		err error
	}
	results := make(chan result, 1)
	go func() {
		v, err := chosen.run(d, os.Getenv("TROUBLE") != "0")
		if err == nil {
			err = d.checkRunning()
		}
		results <- result{v, err}
	}()
	var v result
	select {
	case v = <-results:
	case <-interrupted:
		v.err = errors.New("interrupted")
	case <-time.After(maxTime):
		v.err = errors.New("the case took too long")
	}
	err = v.err
	switch {
	case err != nil:
		rec.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	case v.broken:
		rec.line("broken: %s", v.text)
		fmt.Println("broken:", v.text)
		return exitBroken
	}
	rec.line("held: %s", v.text)
	fmt.Println("held:", v.text)
	return 0
}

func bornNow() int64 { return time.Now().UnixMilli() } //nolint:forbidigo // the platform wants the time of day
