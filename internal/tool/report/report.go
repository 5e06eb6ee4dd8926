// Package report implements the command snipereport. It shows how the results of the
// measured days of a deployment changed from run to run, as a table or as a plot.
//
// snipereport exits with status 0 on success, 1 on failure and 2 on wrong usage.
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

// Run is one measurement of a day of traffic at a site.
type Run struct {
	At time.Time
	// Why is the reason that was given for the measurement.
	Why string
	// Trial is true if the run measured a change that was only tried out.
	Trial bool
	// Scored is true if the run was part of a full measurement: one of all standard days
	// that charges for processor time.
	Scored bool
	Site   string
	Day    string
	// Worth is the value that the run achieved, at most 1.
	Worth float64
	// Served, Refused and Failed are shares of all requests, from 0 to 1.
	Served  float64
	Refused float64
	Failed  float64
	Losses  []Loss
	// Broken holds the names of the rules that were violated in the run.
	Broken []string
}

// Loss is the part of the value of a run that is lost to one cause.
type Loss struct {
	Cause string
	// Worth is the lost value.
	Worth float64
}

// Read returns all runs that are recorded in a folder.
type Read func(folder string) ([]Run, error)

const usage = `usage: snipereport COMMAND [flags] FOLDER
  table   the first, best and last value of each day, and the largest losses of its last run
  plot    a plot of the value of each day of a site over its runs
flags:
  -all         include trials and runs of single days, not only scored runs
  -site NAME   the site to show
  -out FILE    the file of the plot, .svg, .png or .pdf
`

const (
	exitFailure = 1
	exitUsage   = 2
)

// options holds the flags and the folder of a command.
type options struct {
	all    bool
	site   string
	out    string
	folder string
}

// Main runs the command that the process was started with, and exits. The command shows
// the runs that read returns.
func Main(read Read) { os.Exit(Execute(os.Args[1:], read, os.Stdout, os.Stderr)) }

// Execute runs the command that args name on the runs that read returns. It returns the
// exit status.
func Execute(args []string, read Read, stdout, stderr io.Writer) int {
	o, err := parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "snipereport: %v\n%s", err, usage)
		return exitUsage
	}
	if err := runCommand(args[0], o, read, stdout); err != nil {
		fmt.Fprintln(stderr, "snipereport:", err)
		return exitFailure
	}
	return 0
}

// parse parses args: the command, its flags and the folder.
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

func runCommand(command string, o options, read Read, stdout io.Writer) error {
	runs, err := read(o.folder)
	if err != nil {
		return err
	}
	runs = selectRuns(runs, o)
	if len(runs) == 0 {
		return errors.Errorf("no matching runs in %s", o.folder)
	}
	if command == "table" {
		return writeTable(stdout, runs)
	}
	if sites := sitesOf(runs); len(sites) > 1 {
		return errors.Errorf("runs of %s: name one with -site", strings.Join(sites, ", "))
	}
	return savePlot(o.out, runs)
}

// selectRuns returns the runs that o selects, oldest first.
func selectRuns(runs []Run, o options) []Run {
	var list []Run
	for _, r := range runs {
		if (o.all || r.Scored && !r.Trial) && (o.site == "" || r.Site == o.site) {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b Run) int { return a.At.Compare(b.At) })
	return list
}

// sitesOf returns the sites of runs, sorted and without duplicates.
func sitesOf(runs []Run) []string {
	var sites []string
	for _, r := range runs {
		sites = append(sites, r.Site)
	}
	slices.Sort(sites)
	return slices.Compact(sites)
}

// day holds the runs of one day of a site, oldest first.
type day struct {
	site, name string
	runs       []Run
}

// groupByDay groups runs, which are sorted by time, by their day. The days are sorted by
// site and name.
func groupByDay(runs []Run) []day {
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
