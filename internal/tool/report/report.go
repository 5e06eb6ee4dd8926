// Package report is the program snipereport. It shows how the measured days of a
// deployment changed from run to run, as a table or as a plot.
//
// It exits with status 0 on success, 1 on failure and 2 on wrong usage.
package report

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Run is one measured day.
type Run struct {
	At time.Time
	// Why says what was measured.
	Why string
	// Trial is true for a run of sources that were tried only.
	Trial bool
	// Scored is true for a run among all standard days, with processor time charged.
	Scored bool
	Site   string
	Day    string
	// Worth is what the day was worth, 1 at most.
	Worth float64
	// Served, Refused and Failed are shares of the requests.
	Served  float64
	Refused float64
	Failed  float64
	Losses  []Loss
	// Broken holds the rules that were broken.
	Broken []string
}

// Loss is what the worth lost to one cause.
type Loss struct {
	Cause string
	Worth float64
}

// Read reads all runs from a folder.
type Read func(folder string) ([]Run, error)

const usage = `usage: snipereport COMMAND [flags] FOLDER
  table   the first, the last and the best worth of each day, and what the last lost most to
  plot    a picture of the worth of each day of a site over its runs
flags:
  -all         take in trials and single days as well as scores
  -site NAME   the site to show
  -out FILE    the picture, .svg, .png or .pdf
`

const (
	exitFailure = 1
	exitUsage   = 2
)

// options are the flags of a command.
type options struct {
	all    bool
	site   string
	out    string
	folder string
}

// Main runs the command that the process was started with on what read reads, and
// exits.
func Main(read Read) { os.Exit(Execute(os.Args[1:], read, os.Stdout, os.Stderr)) }

// Execute runs a command and returns the exit status.
func Execute(args []string, read Read, output, errs io.Writer) int {
	o, err := parse(args)
	if err != nil {
		fmt.Fprintf(errs, "snipereport: %v\n%s", err, usage)
		return exitUsage
	}
	if err := execute(args[0], o, read, output); err != nil {
		fmt.Fprintln(errs, "snipereport:", err)
		return exitFailure
	}
	return 0
}

// parse reads the flags after the command.
func parse(args []string) (options, error) {
	var o options
	if len(args) == 0 || args[0] != "table" && args[0] != "plot" {
		return o, errors.New("no command")
	}
	f := flag.NewFlagSet(args[0], flag.ContinueOnError)
	f.SetOutput(io.Discard)
	f.BoolVar(&o.all, "all", false, "")
	f.StringVar(&o.site, "site", "", "")
	f.StringVar(&o.out, "out", "", "")
	if err := f.Parse(args[1:]); err != nil {
		return o, err
	}
	if f.NArg() != 1 {
		return o, errors.Errorf("%d folders, want 1", f.NArg())
	}
	o.folder = f.Arg(0)
	if args[0] == "plot" && o.out == "" {
		return o, errors.New("plot needs -out FILE")
	}
	return o, nil
}

func execute(command string, o options, read Read, output io.Writer) error {
	runs, err := read(o.folder)
	if err != nil {
		return err
	}
	runs = choose(runs, o)
	if len(runs) == 0 {
		return errors.Errorf("no such runs in %s", o.folder)
	}
	if command == "table" {
		return table(output, runs)
	}
	if sites := sitesOf(runs); len(sites) > 1 {
		return errors.Errorf("runs of %s: name one with -site", strings.Join(sites, ", "))
	}
	return plotTo(o.out, runs)
}

// choose returns the runs that o asks for, the oldest first.
func choose(runs []Run, o options) []Run {
	var list []Run
	for _, r := range runs {
		if (o.all || r.Scored && !r.Trial) && (o.site == "" || r.Site == o.site) {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b Run) int { return a.At.Compare(b.At) })
	return list
}

func sitesOf(runs []Run) []string {
	var sites []string
	for _, r := range runs {
		sites = append(sites, r.Site)
	}
	slices.Sort(sites)
	return slices.Compact(sites)
}

// day is all runs of one day of a site.
type day struct {
	site, name string
	runs       []Run
}

// daysOf returns the days by site and name.
func daysOf(runs []Run) []day {
	var days []day
	for _, r := range runs {
		i := slices.IndexFunc(days, func(d day) bool { return d.site == r.Site && d.name == r.Day })
		if i < 0 {
			days = append(days, day{site: r.Site, name: r.Day})
			i = len(days) - 1
		}
		days[i].runs = append(days[i].runs, r)
	}
	slices.SortFunc(days, func(a, b day) int { return strings.Compare(a.site+" "+a.name, b.site+" "+b.name) })
	return days
}
