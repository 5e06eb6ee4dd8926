// Package inst implements the command snipefront. It runs an instance of the load
// balancer, checks settings, or runs a demonstration fleet within one process.
package inst

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/dig"
	"go.uber.org/fx"

	"github.com/snipefront/snipefront/internal/config/setup"
	"github.com/snipefront/snipefront/internal/daemon/module"
	"github.com/snipefront/snipefront/internal/observe/logfmt"
	"github.com/snipefront/snipefront/internal/rpc/bound"
	"github.com/snipefront/snipefront/internal/tool/demo"
)

const version = "0.1.0"

// Exit statuses.
const (
	exitFailure = 1
	exitUsage   = 2
)

// stopTimeout is the timeout of the planned stop of an instance.
const stopTimeout = time.Minute

// demoPhase is the default length of each phase of the demo.
const demoPhase = 2 * time.Second

const usage = `usage: snipefront COMMAND

  demo                   show a fleet at work within this process
  serve -settings FILE   run an instance until SIGTERM
  check FILE...          check settings
  version                print the version

Run "snipefront COMMAND -h" for the flags of a command.
`

// Main runs the command that the process was started with, and exits.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run runs the command that args name and returns the exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(stderr, usage)
		return exitUsage
	}
	switch args[0] {
	case "demo":
		return runDemo(ctx, args[1:], stdout, stderr)
	case "serve":
		return serve(ctx, args[1:], stderr)
	case "check":
		return check(args[1:], stdout, stderr)
	case "version":
		fmt.Fprintln(stdout, "snipefront", version)
		return 0
	case "help", "-h", "--help":
		fmt.Fprint(stdout, usage)
		return 0
	}
	fmt.Fprintf(stderr, "snipefront: unknown command %q\n%s", args[0], usage)
	return exitUsage
}

// parse parses args with f. If args are invalid or request help, done is true and the
// command must exit with status.
func parse(f *flag.FlagSet, args []string) (status int, done bool) {
	err := f.Parse(args)
	switch {
	case err == nil:
		return 0, false
	case errors.Is(err, flag.ErrHelp):
		return 0, true
	default:
		return exitUsage, true
	}
}

func serve(ctx context.Context, args []string, stderr io.Writer) int {
	f := flag.NewFlagSet("serve", flag.ContinueOnError)
	f.SetOutput(stderr)
	path := f.String("settings", "", "the `file` with the settings")
	f.Usage = func() {
		fmt.Fprint(stderr, "usage: snipefront serve -settings FILE\n\nexample: snipefront serve -settings examples/a1.json\n\n")
		f.PrintDefaults()
	}
	if status, done := parse(f, args); done {
		return status
	}
	if *path == "" || f.NArg() > 0 {
		f.Usage()
		return exitUsage
	}
	s, err := setup.Load(*path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	if err := runInstance(ctx, s, stderr); err != nil {
		fmt.Fprintln(stderr, "snipefront:", err)
		return exitFailure
	}
	return 0
}

// runInstance runs an instance until ctx is done, and then stops it as planned.
func runInstance(ctx context.Context, s setup.Settings, stderr io.Writer) error {
	sockets, err := module.Listen(ctx, s)
	if err != nil {
		return err
	}
	if s.MemoryBytes > 0 {
		bound.LimitHeap(s.MemoryBytes)
	}
	logger := logfmt.New(stderr, s.Level())
	app := fx.New(module.Options(s, sockets, logger), fx.StopTimeout(stopTimeout))
	if err := app.Start(context.WithoutCancel(ctx)); err != nil {
		sockets.Close()
		return dig.RootCause(err)
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return app.Stop(stopCtx)
}

func runDemo(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	f := flag.NewFlagSet("demo", flag.ContinueOnError)
	f.SetOutput(stderr)
	verbose := f.Bool("v", false, "log what instances and backend servers do")
	phase := f.Duration("phase", demoPhase, "the length of each of the three phases of the load")
	f.Usage = func() {
		fmt.Fprint(stderr, "usage: snipefront demo [flags]\n\nexample: snipefront demo -phase 5s\n\n")
		f.PrintDefaults()
	}
	if status, done := parse(f, args); done {
		return status
	}
	if f.NArg() > 0 || *phase <= 0 {
		f.Usage()
		return exitUsage
	}
	d := &demo.Demo{Output: stdout, Phase: *phase, Logger: slog.New(slog.DiscardHandler)}
	if *verbose {
		d.Logger = logfmt.New(stderr, slog.LevelInfo)
	}
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(stderr, "snipefront:", err)
		return exitFailure
	}
	return 0
}

func check(args []string, stdout, stderr io.Writer) int {
	f := flag.NewFlagSet("check", flag.ContinueOnError)
	f.SetOutput(stderr)
	f.Usage = func() {
		fmt.Fprint(stderr, "usage: snipefront check FILE...\n\nexample: snipefront check examples/*.json\n")
	}
	if status, done := parse(f, args); done {
		return status
	}
	if f.NArg() == 0 {
		f.Usage()
		return exitUsage
	}
	status := 0
	for _, file := range f.Args() {
		if _, err := setup.Load(file); err != nil {
			fmt.Fprintln(stderr, err)
			status = exitFailure
			continue
		}
		fmt.Fprintln(stdout, file+": ok")
	}
	return status
}
