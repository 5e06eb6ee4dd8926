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

// print prints what callers, instances and backend servers saw.
func (d *Demo) print(r *caller.Result) error {
	fmt.Fprint(d.Output, "\nWhat callers saw:\n")
	if err := r.Print(d.Output); err != nil {
		return errors.Wrap(err, "print")
	}
	counts, err := d.gather()
	if err != nil {
		return err
	}
	if err := printCounts(d.Output, counts); err != nil {
		return err
	}
	if err := d.printPhases(); err != nil {
		return err
	}
	d.printSafety(r)
	return nil
}

// printPhases prints where work began in each phase.
func (d *Demo) printPhases() error {
	fmt.Fprintf(d.Output, "\nWhat happened as %s was taken out and brought back:\n", out)
	w := newTable(d.Output)
	fmt.Fprintf(w, "phase\tin force after\trun at %s\trun elsewhere\t\n", out)
	for _, p := range d.phases {
		change := "-"
		if p.change > 0 {
			change = fmt.Sprintf("%.2f s", p.change.Seconds())
		}
		fmt.Fprintf(w, "%s\t%s\t%.0f/s\t%.0f/s\t\n", p.name, change, float64(p.inside)/p.seconds, float64(p.elsewhere)/p.seconds)
	}
	return errors.Wrap(w.Flush(), "print")
}

// printSafety prints what must be zero.
func (d *Demo) printSafety(r *caller.Result) {
	fellOver, cold, probes := 0, 0, 0
	for _, s := range d.fleet.BackendServers() {
		c := s.Report()
		fellOver += c.FellOver
		cold = max(cold, c.MostAtOnceCold)
		probes += c.Probes
	}
	a := r.Audit(d.keys())
	fmt.Fprintf(d.Output, "\ncharges run twice: %d, refusals as not run that had run: %d\n", len(a.Double), len(a.Untrue))
	fmt.Fprintf(d.Output, "backend servers overloaded in cold start: %d, most requests at once in cold start: %d\n", fellOver, cold)
	fmt.Fprintf(d.Output, "probes: %d\n", probes)
}

// count is a counter of all instances together.
type count struct {
	metric, service, reason string
	total                   float64
}

// gather adds up the counters of refusals and retries over all instances.
func (d *Demo) gather() ([]count, error) {
	var list []count
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
				c := count{metric: name, total: m.GetCounter().GetValue()}
				for _, l := range m.GetLabel() {
					switch l.GetName() {
					case "service":
						c.service = l.GetValue()
					case "reason":
						c.reason = l.GetValue()
					}
				}
				list = add(list, c)
			}
		}
	}
	slices.SortFunc(list, func(a, b count) int {
		return cmp.Or(cmp.Compare(a.metric, b.metric), cmp.Compare(a.service, b.service), cmp.Compare(a.reason, b.reason))
	})
	return list, nil
}

func add(list []count, c count) []count {
	for i := range list {
		o := &list[i]
		if o.metric == c.metric && o.service == c.service && o.reason == c.reason {
			o.total += c.total
			return list
		}
	}
	return append(list, c)
}

func printCounts(out io.Writer, counts []count) error {
	fmt.Fprint(out, "\nRefusals and retries by reason, as instances counted them:\n")
	if len(counts) == 0 {
		fmt.Fprintln(out, "  none")
		return nil
	}
	w := newTable(out)
	fmt.Fprint(w, "counter\tservice\treason\tcount\t\n")
	for _, c := range counts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t\n", c.metric, c.service, c.reason, c.total)
	}
	return errors.Wrap(w.Flush(), "print")
}

func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
}
