// Package load implements the command snipeload. It sends requests on a schedule
// that does not depend on the answers (open-loop load), through the instances or directly
// to backend servers, and prints a summary of the answers.
package load

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/snipefront/snipefront/internal/observe/logfmt"
	"github.com/snipefront/snipefront/internal/stand/caller"
)

const (
	exitOK = iota
	exitFailure
	exitUsage
)

const usage = `usage: snipeload -seeds ADDRESSES -service SPEC [-service SPEC ...] [flags]

Fetches addresses from the instances, sends requests there on a Poisson schedule,
checks each answer and prints a table. A SPEC is a name and settings:
  NAME,rate=100,timeout=250ms,method=GET,weight=1,crash-every=0

Examples:
  snipeload -seeds 127.0.0.1:8001,127.0.0.2:8001 -duration 10s \
      -service balance,rate=400,timeout=250ms,weight=3 \
      -service charge,rate=100,timeout=1s,method=POST,weight=3
  snipeload -direct 127.0.0.1:9001 -service balance,rate=100 -json

Exit status: 1 on failure, 2 on wrong usage. With -strict also 1 if an answer
was crossed or cut short.

Flags:
`

// options holds the values of the flags.
type options struct {
	caller caller.Caller
	json   bool
	strict bool
}

// Main runs the command with the arguments of the process, and exits.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	o, status := parse(args, stderr)
	if o == nil {
		return status
	}
	r, err := o.caller.Run(ctx)
	if err == nil {
		err = o.print(stdout, r)
	}
	if err != nil {
		o.caller.Log.Error("load run failed", "error", err.Error())
		return exitFailure
	}
	if n := r.Faulty(); o.strict && n > 0 {
		o.caller.Log.Error("some answers were crossed or cut short", "count", n)
		return exitFailure
	}
	return exitOK
}

// print writes r as a table, or as JSON with -json.
func (o *options) print(w io.Writer, r *caller.Result) error {
	if !o.json {
		return r.Print(w)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// parse returns the options in args, or nil and an exit status.
func parse(args []string, stderr io.Writer) (*options, int) {
	o := &options{}
	c := &o.caller
	c.Log = logfmt.New(stderr, slog.LevelInfo)
	f := flag.NewFlagSet("snipeload", flag.ContinueOnError)
	f.SetOutput(stderr)
	f.Usage = func() {
		fmt.Fprint(stderr, usage)
		f.PrintDefaults()
	}
	seeds := f.String("seeds", "", "`addresses` of instances to fetch addresses from, separated by commas")
	direct := f.String("direct", "", "`addresses` of backend servers to call instead, separated by commas")
	f.Func("service", "`spec` of a service; may be repeated", func(text string) error {
		v, err := parseService(text)
		c.Services = append(c.Services, v)
		return err
	})
	f.DurationVar(&c.Duration, "duration", 10*time.Second, "length of the schedule")
	f.IntVar(&c.Connections, "connections", 64, "maximum number of connections in use at once")
	f.IntVar(&c.Resends, "resends", 0, "maximum number of resends of a request that timed out or may have run")
	f.Uint64Var(&c.Seed, "seed", 1, "seed of the schedule")
	f.BoolVar(&o.json, "json", false, "print a JSON object")
	f.BoolVar(&o.strict, "strict", false, "fail if an answer was crossed or cut short")
	if err := f.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil, exitOK
		}
		return nil, exitUsage
	}
	c.Seeds, c.Direct = splitList(*seeds), splitList(*direct)
	err := c.Check()
	if f.NArg() > 0 {
		err = fmt.Errorf("unexpected argument %q", f.Arg(0))
	}
	if err != nil {
		fmt.Fprintf(stderr, "snipeload: %v\nRun snipeload -h for help.\n", err)
		return nil, exitUsage
	}
	return o, exitOK
}

// parseService parses a SPEC of a service: NAME,key=value,...
func parseService(text string) (caller.Service, error) {
	name, rest, _ := strings.Cut(text, ",")
	s := caller.Service{Name: name, Rate: 100, Timeout: 250 * time.Millisecond, Weight: 1}
	for _, part := range splitList(rest) {
		key, value, _ := strings.Cut(part, "=")
		if err := setParameter(&s, key, value); err != nil {
			return s, fmt.Errorf("%s: %w", part, err)
		}
	}
	return s, nil
}

// setParameter sets the field of s for one key of a SPEC.
func setParameter(s *caller.Service, key, value string) error {
	var err error
	switch key {
	case "rate":
		s.Rate, err = strconv.ParseFloat(value, 64)
	case "weight":
		s.Weight, err = strconv.ParseFloat(value, 64)
	case "timeout":
		s.Timeout, err = time.ParseDuration(value)
	case "crash-every":
		s.CrashEvery, err = strconv.Atoi(value)
	case "method":
		s.Method = value
	default:
		err = errors.New("expected rate, timeout, method, weight or crash-every")
	}
	return err
}

func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
