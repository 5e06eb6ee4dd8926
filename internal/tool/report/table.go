package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
)

// mostLosses is the number of losses that a row of the table names.
const mostLosses = 3

// table writes a row for each day, as a table in Markdown.
func table(w io.Writer, runs []Run) error {
	var b strings.Builder
	b.WriteString("| site | day | runs | first | best | last | served | refused | failed | broken | lost most to |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, d := range daysOf(runs) {
		last := d.runs[len(d.runs)-1]
		fmt.Fprintf(&b, "| %s | %s | %d | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %d | %s |\n",
			d.site, d.name, len(d.runs), d.runs[0].Worth, d.best(), last.Worth, last.Served, last.Refused, last.Failed,
			d.broken(), last.dearest())
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// best returns the highest worth of a run that broke no rule.
func (d day) best() float64 {
	best := 0.0
	for _, r := range d.runs {
		if len(r.Broken) == 0 {
			best = max(best, r.Worth)
		}
	}
	return best
}

// broken returns the number of runs that broke a rule.
func (d day) broken() int {
	n := 0
	for _, r := range d.runs {
		if len(r.Broken) > 0 {
			n++
		}
	}
	return n
}

// dearest names the causes that the worth lost most to.
func (r Run) dearest() string {
	losses := slices.Clone(r.Losses)
	slices.SortStableFunc(losses, func(a, b Loss) int { return cmp.Compare(b.Worth, a.Worth) })
	var parts []string
	for _, l := range losses[:min(len(losses), mostLosses)] {
		parts = append(parts, fmt.Sprintf("%s %.3f", l.Cause, l.Worth))
	}
	return strings.Join(parts, ", ")
}
