package demo

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/snipefront/snipefront/internal/stand/caller"
)

const columnGap = 2

// print prints the results of the callers, the counters of the instances, and the
// counts of the backend servers.
func (d *Demo) print(r *caller.Result) error {
	fmt.Fprint(d.Output, "\nWhat callers saw:\n")
	if err := r.Print(d.Output); err != nil {
		return errors.Wrap(err, "print results of callers")
	}
	counters, err := d.sumCounters()
	if err != nil {
		return err
	}
	if err := printCounters(d.Output, counters); err != nil {
		return err
	}
	if err := d.printPhases(); err != nil {
		return err
	}
	d.printSafety(r)
	return nil
}

// printPhases prints how many requests per second began to run in each phase, in
// outDataCentre and elsewhere.
func (d *Demo) printPhases() error {
	fmt.Fprintf(d.Output, "\nWhat happened as %s was taken out and brought back:\n", outDataCentre)
	w := newTable(d.Output)
	fmt.Fprintf(w, "phase\tin force after\trun at %s\trun elsewhere\t\n", outDataCentre)
	for _, p := range d.phases {
		change := "-"
		if p.inForceAfter > 0 {
			change = fmt.Sprintf("%.2f s", p.inForceAfter.Seconds())
		}
		fmt.Fprintf(w, "%s\t%s\t%.0f/s\t%.0f/s\t\n", p.name, change, float64(p.outRuns)/p.seconds, float64(p.otherRuns)/p.seconds)
	}
	return errors.Wrap(w.Flush(), "print phases")
}

// printSafety prints the counts that must be 0: charges that ran twice, requests that ran
// although they were refused as not run, and overloads in cold start. It also prints the
// highest number of requests that a backend server had in flight at once in cold start,
// and the number of probes.
func (d *Demo) printSafety(r *caller.Result) {
	overloads, mostAtOnceCold, probes := 0, 0, 0
	for _, s := range d.fleet.BackendServers() {
		report := s.Report()
		overloads += report.FellOver
		mostAtOnceCold = max(mostAtOnceCold, report.MostAtOnceCold)
		probes += report.Probes
	}
	a := r.Audit(d.keyRuns())
	fmt.Fprintf(d.Output, "\ncharges run twice: %d, refusals as not run that had run: %d\n", len(a.Double), len(a.Untrue))
	fmt.Fprintf(d.Output, "backend servers overloaded in cold start: %d, most requests at once in cold start: %d\n", overloads, mostAtOnceCold)
	fmt.Fprintf(d.Output, "probes: %d\n", probes)
}

// counter is the total of a counter metric over all instances, for one service and
// reason.
type counter struct {
	metric, service, reason string
	total                   float64
}

// sumCounters returns the counters of refusals and retries, summed over all instances.
func (d *Demo) sumCounters() ([]counter, error) {
	var list []counter
	for _, g := range d.fleet.Metrics() {
		families, err := g.Gather()
		if err != nil {
			return nil, errors.Wrap(err, "gather metrics")
		}
		for _, f := range families {
			name := f.GetName()
			if name != "snipefront_refusals_total" && name != "snipefront_retries_total" {
				continue
			}
			for _, m := range f.GetMetric() {
				c := counter{metric: name, total: m.GetCounter().GetValue()}
				for _, l := range m.GetLabel() {
					switch l.GetName() {
					case "service":
						c.service = l.GetValue()
					case "reason":
						c.reason = l.GetValue()
					}
				}
				list = addCounter(list, c)
			}
		}
	}
	slices.SortFunc(list, func(a, b counter) int {
		return cmp.Or(cmp.Compare(a.metric, b.metric), cmp.Compare(a.service, b.service), cmp.Compare(a.reason, b.reason))
	})
	return list, nil
}

// addCounter adds the total of c to the counter in list with the same labels, or appends c
// if there is none.
func addCounter(list []counter, c counter) []counter {
	for i := range list {
		sum := &list[i]
		if sum.metric == c.metric && sum.service == c.service && sum.reason == c.reason {
			sum.total += c.total
			return list
		}
	}
	return append(list, c)
}

func printCounters(output io.Writer, counters []counter) error {
	fmt.Fprint(output, "\nRefusals and retries by reason, as instances counted them:\n")
	if len(counters) == 0 {
		fmt.Fprintln(output, "  none")
		return nil
	}
	w := newTable(output)
	fmt.Fprint(w, "counter\tservice\treason\tcount\t\n")
	for _, c := range counters {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t\n", c.metric, c.service, c.reason, c.total)
	}
	return errors.Wrap(w.Flush(), "print counters")
}

func newTable(output io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(output, 0, 0, columnGap, ' ', 0)
}
