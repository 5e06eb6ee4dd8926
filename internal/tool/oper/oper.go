// Package oper implements the command snipectl, the operators' tool. It checks a folder
// of intents, compares it with the accepted intents, applies it, and prints the state of
// the fleet.
//
// snipectl exits with status 0 on success, 1 on failure and 2 on wrong usage.
package oper

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/snipefront/snipefront/internal/config/client"
)

// Exit statuses.
const (
	exitFailure = 1
	exitUsage   = 2
)

const (
	defaultAddress = "127.0.0.1:8082"
	defaultWait    = 10 * time.Second
)

// errUsage means that a command was used wrongly. It is returned after the reason and
// the usage have been printed.
var errUsage = errors.New("wrong usage")

// Main runs the command that the process was started with, and exits.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	t := &terminal{Output: os.Stdout, Errors: os.Stderr}
	os.Exit(t.run(ctx, os.Args[1:]))
}

// terminal holds the outputs of a command.
type terminal struct {
	// Output receives the results.
	Output io.Writer
	// Errors receives errors, warnings and usage texts.
	Errors io.Writer
}

// command is one subcommand.
type command struct {
	name    string
	summary string
	run     func(ctx context.Context, t *terminal, args []string) error
}

func commands() []command {
	return []command{
		{"check", "check a folder of intents, without any instance", check},
		{"diff", "compare a folder of intents with the accepted one", diff},
		{"apply", "replace the accepted intents by a folder", apply},
		{"show", "print the accepted intents", show},
		{"history", "print the accepted changes", history},
		{"status", "print members, owners and backend servers", showStatus},
		{"fleet", "print the instances of a deployment and the states that they report", showFleet},
		{"version", "print the version", version},
	}
}

// run runs the subcommand that args name and returns the exit status.
func (t *terminal) run(ctx context.Context, args []string) int {
	if len(args) == 0 {
		t.usage(t.Errors)
		return exitUsage
	}
	switch args[0] {
	case "-h", "-help", "--help", "help":
		t.usage(t.Output)
		return 0
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return t.exitStatus(c.run(ctx, t, args[1:]))
		}
	}
	fmt.Fprintf(t.Errors, "snipectl: unknown command %q\n", args[0])
	t.usage(t.Errors)
	return exitUsage
}

// exitStatus prints err, unless its reason has been printed, and returns the exit status
// for it.
func (t *terminal) exitStatus(err error) int {
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return 0
	case errors.Is(err, errUsage):
		return exitUsage
	default:
		fmt.Fprintln(t.Errors, err)
		return exitFailure
	}
}

func (t *terminal) usage(w io.Writer) {
	fmt.Fprint(w, "usage: snipectl COMMAND [flags] [DIR]\n\n")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-8s %s\n", c.name, c.summary)
	}
	fmt.Fprint(w, "\nsnipectl COMMAND -h describes a command.\n")
}

// flags is the flag set of a subcommand.
type flags struct {
	*flag.FlagSet
	terminal *terminal
}

// newFlags returns the flag set of the subcommand name, with a usage text that shows its
// arguments and an example.
func newFlags(t *terminal, name, arguments, example string) *flags {
	f := &flags{FlagSet: flag.NewFlagSet(name, flag.ContinueOnError), terminal: t}
	f.SetOutput(t.Errors)
	f.Usage = func() {
		fmt.Fprintf(t.Errors, "usage: snipectl %s [flags] %s\n\nexample:\n  snipectl %s\n", name, arguments, example)
		fmt.Fprint(t.Errors, "\nflags:\n")
		f.PrintDefaults()
	}
	return f
}

// parse parses args, which must have exactly count arguments after the flags.
func (f *flags) parse(args []string, count int) error {
	err := f.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	if err != nil {
		return errUsage
	}
	if f.NArg() != count {
		fmt.Fprintf(f.terminal.Errors, "%d arguments, want %d\n", f.NArg(), count)
		f.Usage()
		return errUsage
	}
	return nil
}

// remoteFlags holds the flags of a subcommand that calls the operators' API of the fleet.
type remoteFlags struct {
	addresses addressList
	wait      time.Duration
}

func (f *flags) addRemoteFlags() *remoteFlags {
	r := &remoteFlags{addresses: addressList{defaultAddress}}
	f.Var(&r.addresses, "addr", "operators' addresses of instances, `host:port,...`, tried in turn")
	f.DurationVar(&r.wait, "wait", defaultWait, "the longest time to wait")
	return r
}

func (r *remoteFlags) client() *client.Client {
	return &client.Client{Addresses: r.addresses}
}

// addressList is a flag for addresses (host:port) separated by commas.
type addressList []string

// String returns the addresses separated by commas.
func (a *addressList) String() string { return strings.Join(*a, ",") }

// Set parses and replaces the addresses.
func (a *addressList) Set(s string) error {
	list := strings.Split(s, ",")
	for _, address := range list {
		if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
			return fmt.Errorf("address %q, want host:port", address)
		}
	}
	*a = list
	return nil
}

func version(_ context.Context, t *terminal, args []string) error {
	if err := newFlags(t, "version", "", "version").parse(args, 0); err != nil {
		return err
	}
	text := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		text = info.Main.Version + " " + info.GoVersion
	}
	fmt.Fprintln(t.Output, "snipectl", text)
	return nil
}
