package oper

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/snipefront/snipefront/internal/config/client"
	"github.com/snipefront/snipefront/internal/config/intent"
)

// printPrecision is the precision of the durations that apply prints.
const printPrecision = time.Millisecond

// applyRun is one run of the command apply.
type applyRun struct {
	terminal *terminal
	client   *client.Client
	changeID string
	// version is the revision that the change is made against. The change is accepted
	// only if version is still the current revision.
	version uint64
}

func apply(ctx context.Context, t *terminal, args []string) error {
	f := newFlags(t, "apply", "DIR", "apply -addr 10.1.0.4:8082,10.2.0.4:8082 -wait 10s intents/")
	r := f.addRemoteFlags()
	changeID := f.String("change", "", "`ID` of a change to resend; a random one if empty")
	version := newVersionFlag(f, "version", "the revision that the change was made against; the current one if not given")
	empty := f.Bool("empty", false, "accept a folder without any intent")
	if err := f.parse(args, 1); err != nil {
		return err
	}
	files, err := loadFolder(f.Arg(0))
	if err != nil {
		return err
	}
	if len(files) == 0 && !*empty {
		return errors.New(f.Arg(0) + " holds no intent; -empty applies it nevertheless")
	}
	a := &applyRun{terminal: t, client: r.client(), changeID: *changeID, version: version.number}
	if a.changeID == "" {
		a.changeID = rand.Text()
	}
	fmt.Fprintf(t.Output, "change %s\n", a.changeID)
	ctx, cancel := context.WithTimeout(ctx, r.wait)
	defer cancel()
	if !version.given {
		if err := a.readVersion(ctx); err != nil {
			return err
		}
	}
	return a.run(ctx, files)
}

// readVersion sets version to the current revision.
func (a *applyRun) readVersion(ctx context.Context) error {
	accepted, err := a.client.Config(ctx)
	a.version = accepted.Revision
	return err
}

// run sends the change with files to the fleet and waits until it is in force everywhere.
func (a *applyRun) run(ctx context.Context, files []intent.File) error {
	fmt.Fprintf(a.terminal.Output, "made against revision %d\n", a.version)
	start := time.Now()
	change := client.Change{ChangeID: a.changeID, Version: a.version, Files: toWire(files)}
	accepted, err := a.client.Apply(ctx, change)
	if err != nil {
		return a.withResendHint(err)
	}
	outcome := "accepted"
	if accepted.Repeated {
		outcome = "accepted before"
	}
	fmt.Fprintf(a.terminal.Output, "%s as revision %d, answered after %v\n", outcome, accepted.Revision, elapsed(start))
	for _, w := range accepted.Warnings {
		fmt.Fprintln(a.terminal.Errors, "warning:", w)
	}
	if err := a.client.WaitInForce(ctx, accepted.Revision); err != nil {
		return err
	}
	fmt.Fprintf(a.terminal.Output, "in force everywhere after %v\n", elapsed(start))
	return nil
}

// withResendHint adds to err how to resend the change, if it is unknown whether the
// change was accepted.
func (a *applyRun) withResendHint(err error) error {
	var conflict *client.ConflictError
	var refused *client.RefusedError
	if errors.As(err, &conflict) || errors.As(err, &refused) {
		return err
	}
	return fmt.Errorf("%w\nthe change may or may not be accepted; to send it again, add -change %s -version %d",
		err, a.changeID, a.version)
}

func elapsed(start time.Time) time.Duration {
	return time.Since(start).Round(printPrecision)
}

// versionFlag is a flag for an optional revision. Since 0 is a valid revision, given is
// true if the flag is set.
type versionFlag struct {
	number uint64
	given  bool
}

func newVersionFlag(f *flags, name, usage string) *versionFlag {
	v := new(versionFlag)
	f.Var(v, name, usage)
	return v
}

// String returns the revision, or "" if it is not given.
func (v *versionFlag) String() string {
	if !v.given {
		return ""
	}
	return strconv.FormatUint(v.number, 10)
}

// Set parses and sets the revision.
func (v *versionFlag) Set(s string) error {
	number, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return errors.New("want a whole number")
	}
	v.number, v.given = number, true
	return nil
}
