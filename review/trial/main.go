// Command trial plays cases of the third review with the project's own processes:
//
//	freeze   case 11: both control machines of one zone freeze, and the operator changes the
//	         configuration at the others
//	smuggle  case 12: a caller sends a request that holds another one
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	// applyTime is configurationApplyS, and touchTime connectivityWindowS, of the settings.
	applyTime = 2 * time.Second
	touchTime = 3 * time.Second
	// freezeTime is how long the two machines stand still.
	freezeTime = 7800 * time.Millisecond
	// changeAfter is when the operator sends the change, counted from the freeze.
	changeAfter = 300 * time.Millisecond
	// setUpTime bounds the start of the deployment.
	setUpTime = 40 * time.Second
	// runTime bounds the whole run.
	runTime = 110 * time.Second
	// askInterval is the time between two requests to one entry instance.
	askInterval = 50 * time.Millisecond
)

func main() {
	cases := map[string]func(d *deployment, ctx context.Context, trouble bool) (broken, seen int){
		"freeze": (*deployment).change, "smuggle": (*deployment).smuggle,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial freeze|smuggle PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	run := func(ctx context.Context, d *deployment) (broken, seen int) {
		return cases[os.Args[1]](d, ctx, os.Getenv("TROUBLE") != "0")
	}
	os.Exit(play(os.Args[2], os.Args[3], run))
}

// play runs a case with the program and returns the exit status. The case returns how often the
// rule was broken, and how many answers it is judged by.
func play(program, path string, run func(ctx context.Context, d *deployment) (broken, seen int)) int {
	ctx, cancel := context.WithTimeout(context.Background(), runTime)
	defer cancel()
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
		return exitNotRun
	}
	defer rec.close()
	folder, err := os.MkdirTemp("", "trial")
	if err != nil {
		rec.printf("not run: %v", err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program, err = filepath.Abs(program)
	if err != nil {
		rec.printf("not run: %v", err)
		return exitNotRun
	}
	d := newDeployment(program, folder, rec)
	defer d.stop()
	if err := d.start(ctx); err != nil {
		rec.printf("not run: %v", err)
		return exitNotRun
	}
	broken, seen := run(ctx, d)
	rec.printf("answers: %d, rule broken: %d", seen, broken)
	switch {
	case seen == 0:
		return exitNotRun
	case broken > 0:
		return exitBroken
	}
	return exitHeld
}

// change freezes the control machines of the first zone if trouble is true, sends a configuration
// with a new route to the others, and asks each entry instance for that route. It returns the
// number of answers that only the older configuration allows though they came too late for that,
// and the number of all answers.
func (d *deployment) change(ctx context.Context, trouble bool) (late, answered int) {
	begun := time.Now()
	if trouble {
		d.freeze()
		defer d.thaw()
	}
	pause(ctx, changeAfter)
	acked, ok := d.configure(ctx, 2, d.liveControl(trouble))
	if !ok {
		d.rec.printf("the change was not acknowledged")
		return 0, 0
	}
	due := later(begun.Add(touchTime), acked.Add(applyTime))
	for time.Since(begun) < freezeTime-time.Second && ctx.Err() == nil {
		for _, e := range d.edges {
			sent := time.Now()
			status := d.ask(ctx, e, newPrefix)
			isLate := status == statusNoRoute && sent.After(due)
			d.rec.printf("request on the new route sent to %s %.3f s after the freeze, %.3f s after the acknowledgement: status %d, too late: %v",
				e.name, sent.Sub(begun).Seconds(), sent.Sub(acked).Seconds(), status, isLate)
			if status != 0 {
				answered++
			}
			if isLate {
				late++
			}
		}
		pause(ctx, askInterval)
	}
	return late, answered
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
