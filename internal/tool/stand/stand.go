// Package stand implements the command backend, which runs a stand-in backend server
// for tests and trials.
package stand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/snipefront/snipefront/internal/observe/logfmt"
	"github.com/snipefront/snipefront/internal/stand/server"
)

const (
	exitOK = iota
	exitFailure
	exitUsage
	exitCrashed
)

const usage = `usage: backend -name NAME -service SERVICE [flags]

Runs a stand-in backend server and announces it to the instances.

Example:
  backend -name b1 -service balance -dc dc1 -listen 127.0.0.1:9001 \
      -seeds 127.0.0.1:8001,127.0.0.1:8002 -slots 3 -latency 5ms
  curl -d '{"Slow":5}' http://127.0.0.1:9001/.stand/mode
  curl http://127.0.0.1:9001/.stand/runs

Exit status: 1 on failure, 2 on wrong usage, 3 after a simulated crash.

Flags:
`

// Main runs the command with the arguments of the process, and exits.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], os.Stderr)
	stop()
	os.Exit(status)
}

func run(ctx context.Context, args []string, stderr io.Writer) int {
	s, status := parse(args, stderr)
	if s == nil {
		return status
	}
	err := s.Run(ctx)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, server.ErrCrashed):
		return exitCrashed
	}
	s.Log.Error("backend server failed", "error", err.Error())
	return exitFailure
}

// parse returns the server that args describe, or nil and an exit status.
func parse(args []string, stderr io.Writer) (*server.Server, int) {
	s := &server.Server{Log: logfmt.New(stderr, slog.LevelInfo)}
	f := flag.NewFlagSet("backend", flag.ContinueOnError)
	f.SetOutput(stderr)
	f.Usage = func() {
		fmt.Fprint(stderr, usage)
		f.PrintDefaults()
	}
	f.StringVar(&s.Name, "name", "", "`name`, unique among the backend servers of the service in the data centre")
	f.StringVar(&s.Service, "service", "", "`service` that it serves")
	f.StringVar(&s.DataCentre, "dc", "dc1", "`data centre` where it runs")
	f.StringVar(&s.Address, "listen", "127.0.0.1:0", "`address` to listen on")
	seeds := f.String("seeds", "", "`addresses` of instances to announce to, separated by commas")
	f.IntVar(&s.Slots, "slots", 3, "maximum number of requests that run at once")
	f.IntVar(&s.ShedAbove, "shed-above", 0, "number of requests, running or waiting, above which it refuses further ones; 0 never refuses")
	f.DurationVar(&s.Latency, "latency", 0, "mean service time")
	f.BoolVar(&s.Fixed, "fixed", false, "make each service time equal to the mean")
	f.Uint64Var(&s.Seed, "seed", 1, "seed of the service times")
	f.DurationVar(&s.ColdFor, "cold-for", 0, "length of a cold start")
	f.IntVar(&s.ColdBearing, "cold-bearing", 1, "maximum number of requests in flight in cold start; one more causes an overload failure")
	f.Float64Var(&s.ColdSlow, "cold-slow", 1, "factor that multiplies the service times in cold start")
	f.DurationVar(&s.FallOverFor, "fall-over-for", 0, "time for which it fails requests after an overload failure in cold start; 0 means half a second")
	f.DurationVar(&s.ReportLag, "report-lag", 0, "age of the load that it reports")
	f.DurationVar(&s.ProbeLatency, "probe-latency", 0, "time to answer a probe")
	f.DurationVar(&s.ConnectLatency, "connect-latency", 0, "time that a new connection takes to become usable")
	f.IntVar(&s.MostConnections, "most-connections", 0, "maximum number of open connections; 0 means no limit")
	f.DurationVar(&s.DrainFor, "drain-for", 0, "time for which a stopping server refuses requests before it closes its listener; 0 means two seconds")
	if err := f.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil, exitOK
		}
		return nil, exitUsage
	}
	if problems := check(f, s); len(problems) > 0 {
		fmt.Fprintf(stderr, "backend: %s\nRun backend -h for help.\n", strings.Join(problems, "; "))
		return nil, exitUsage
	}
	if *seeds != "" {
		s.Seeds = strings.Split(*seeds, ",")
	}
	return s, exitOK
}

// check returns every problem with the flags.
func check(f *flag.FlagSet, s *server.Server) []string {
	var problems []string
	if f.NArg() > 0 {
		problems = append(problems, fmt.Sprintf("unexpected argument %q", f.Arg(0)))
	}
	if s.Name == "" {
		problems = append(problems, "-name: expected a name")
	}
	if s.Service == "" || strings.Contains(s.Service, "/") {
		problems = append(problems, fmt.Sprintf("-service %q: expected one path segment", s.Service))
	}
	if s.Slots < 1 {
		problems = append(problems, fmt.Sprintf("-slots %d: expected at least 1", s.Slots))
	}
	if s.ColdBearing < 1 {
		problems = append(problems, fmt.Sprintf("-cold-bearing %d: expected at least 1", s.ColdBearing))
	}
	if s.ColdSlow <= 0 {
		problems = append(problems, fmt.Sprintf("-cold-slow %v: expected more than 0", s.ColdSlow))
	}
	if min(s.Latency, s.ColdFor, s.FallOverFor, s.ReportLag, s.ProbeLatency, s.ConnectLatency, s.DrainFor) < 0 {
		problems = append(problems, "durations: expected at least 0")
	}
	return problems
}
