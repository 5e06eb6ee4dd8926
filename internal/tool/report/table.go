package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
)

// maxLosses is the maximum number of losses in a row of the table.
const maxLosses = 3

// writeTable writes a Markdown table with a row for each day.
func writeTable(w io.Writer, runs []Run) error {
	var b strings.Builder
	b.WriteString("| site | day | runs | first | best | last | served | refused | failed | broken | lost most to |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, d := range groupByDay(runs) {
		last := d.runs[len(d.runs)-1]
		fmt.Fprintf(&b, "| %s | %s | %d | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %d | %s |\n",
			d.site, d.name, len(d.runs), d.runs[0].Worth, d.bestValue(), last.Worth, last.Served, last.Refused, last.Failed,
			d.brokenRuns(), last.largestLosses())
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// bestValue returns the highest value of the runs that violated no rule, or 0 if there are
// none.
func (d day) bestValue() float64 {
	best := 0.0
	for _, r := range d.runs {
		if len(r.Broken) == 0 {
			best = max(best, r.Worth)
		}
	}
	return best
}

// brokenRuns returns the number of runs that violated a rule.
func (d day) brokenRuns() int {
	n := 0
	for _, r := range d.runs {
		if len(r.Broken) > 0 {
			n++
		}
	}
	return n
}

// largestLosses returns the causes of the largest losses, each with the value that it
// cost.
func (r Run) largestLosses() string {
	losses := slices.Clone(r.Losses)
	slices.SortStableFunc(losses, func(a, b Loss) int { return cmp.Compare(b.Worth, a.Worth) })
	var parts []string
	for _, l := range losses[:min(len(losses), maxLosses)] {
		parts = append(parts, fmt.Sprintf("%s %.3f", l.Cause, l.Worth))
	}
	return strings.Join(parts, ", ")
}
