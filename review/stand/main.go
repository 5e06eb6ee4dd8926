// Command stand plays a case of the review: it starts the programs of the deploy build as
// separate processes, and is the platform, the operator, the clients and the backend
// servers around them, as the users' pages describe these.
//
//	stand CASE RECORD
//	stand soak RECORD
//
// The environment variable TROUBLE=0 leaves the disruption out. The exit status is 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run. The variables of a soak are
// SEED, LENGTH, such as 40s, and EDGES, the number of frontend machines.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// caseTimeout bounds a case.
	caseTimeout = 115 * time.Second
)

// play plays a case and reports whether the rule was broken.
type play func(ctx context.Context, rec *record, trouble bool) (broken bool, err error)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	cases := map[string]play{"order": staleOrder, "stop": plannedStops, "upload": longUploads, "pipeline": pipelinedStops, "cold": coldAgain, "soak": soak}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return exitFailed
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	timeout := caseTimeout
	if args[0] == "soak" {
		timeout += soakOptions().length
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	broken, err := cases[args[0]](ctx, rec, os.Getenv("TROUBLE") != "0")
	status := exitHeld
	switch {
	case err != nil:
		status = exitFailed
		rec.line("verdict: the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
	case broken:
		status = exitBroken
		rec.line("verdict: broken")
		fmt.Println("broken")
	default:
		rec.line("verdict: held")
		fmt.Println("held")
	}
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return exitFailed
	}
	return status
}
